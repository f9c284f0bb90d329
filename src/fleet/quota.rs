//! Partners' quotas over all gateways, in the daemon: settings, admission, and what is shown. The decisions are
//! `ashtide_quota`, the rights `ashtide_fleet::state`. Knows no socket and no clock.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ashtide_fleet::state::{
    Allocation, AllocationAgreement, BudgetKind, Exchange, ExchangeConfig, LeaseConfig, Mismatch,
    OutlierLimits, PersistedAllocation, Slot, StaleAllocation,
};
use ashtide_quota::{ConnectionKind, Decision, PartnerBudgets, Quota};
use serde_json::{Value, json};
use toml::{Table, Value as Toml};

use crate::decision::interface::RequestId;
use crate::fleet::shared_state::name_hash;
use crate::metrics::METRIC_PREFIX;
use crate::settings::TenantQuota;

/// Partners that a file may name.
pub const MAX_PARTNERS: usize = 128;
/// How often [`Admission::at`] is to be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// A partner is within its quota again so long after the last refusal.
const WITHIN_QUOTA_AFTER: Duration = Duration::from_secs(5);

/// A key that holds a whole number: its name, least, most, usual value where it may be left out, and what it is.
type IntegerKey = (&'static str, u32, u32, Option<u32>, &'static str);

const INTEGER_KEYS: [IntegerKey; 4] = [
    (
        "generation",
        1,
        i32::MAX as u32,
        None,
        "Counted on by whoever changes this file, and the same in all copies of one text.",
    ),
    (
        "reserve",
        0,
        1000,
        Some(100),
        "Thousandths of each quota that are never lent: each gateway has its part for certain.",
    ),
    ("burst_ms", 1, 60_000, Some(1000), "How long rights to new connections are stored that are not used."),
    ("max_wait_ms", 1, 10_000, Some(2000), "The longest that a refused client is told to wait."),
];
const VOUCHED_DESCRIPTION: &str =
    "An operator's word that no gateway runs that is not at this generation: where one is gone for good.";
const BORROW_DESCRIPTION: &str = "Whether what a partner leaves unused at a gateway may be used by another there, while no server refuses.";
const PARTNERS_DESCRIPTION: &str =
    "Each partner's quota over all gateways. Without the table: the settings' customers.";
const PER_S_DESCRIPTION: &str = "New connections a second.";
const CONNECTIONS_DESCRIPTION: &str = "Open connections; without it they are not limited.";

/// Why quotas cannot be had.
#[derive(Debug, thiserror::Error)]
pub enum QuotaError {
    /// The file cannot be read.
    #[error("quota: {path}: {problem}")]
    File {
        /// Which file.
        path: PathBuf,
        /// What the system says.
        problem: std::io::Error,
    },
    /// The file is no TOML.
    #[error("quota: found {problem}; expected TOML")]
    Syntax {
        /// What the parser found, and where.
        problem: String,
    },
    /// A key's value, or its absence, cannot be used.
    #[error("quota: {key}: found {found}; expected {expected}")]
    Key {
        /// Which key.
        key: String,
        /// What stands there.
        found: String,
        /// What should.
        expected: String,
    },
    /// There is nothing to share the rights by.
    #[error("quota: found no table 'state' in the file of --view; expected one")]
    NoSharedState,
}

impl QuotaError {
    /// The error with what an operator can do, for the log.
    pub fn with_help(self) -> String {
        format!("{self}; {}", self.help())
    }

    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Self::File { .. } => "name a file that this process may read, or leave --quota out",
            Self::Syntax { .. } => "compare the file with deploy/quota.toml",
            Self::Key { .. } => "correct the key; deploy/quota.schema.json says what each may be",
            Self::NoSharedState => "start with --view and a file that has the table, or leave --quota out",
        }
    }
}

fn invalid_key(key: &str, found: impl ToString, expected: impl ToString) -> QuotaError {
    QuotaError::Key { key: key.to_owned(), found: found.to_string(), expected: expected.to_string() }
}

/// The ids of a partner's budgets: by its name, as partners come and go.
fn budget_ids(it: &TenantQuota) -> (u32, Option<u32>) {
    let id = |what: &str| name_hash(&format!("{what}/{}", it.name));
    (id("pace"), it.max_open_connections.map(|_| id("held")))
}

/// What the file of `--quota` says.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Counted on with every change.
    pub generation: u32,
    /// Whether an operator vouches for all gateways.
    pub operator_confirmed: bool,
    /// Thousandths that are floors.
    pub floor_permille: u32,
    /// How long unused rights are stored.
    pub burst: Duration,
    /// Longest wait that is told.
    pub max_wait: Duration,
    /// Whether unused rights of another partner may be used.
    pub allow_borrowing: bool,
    /// All partners; none where the file leaves them to the settings.
    pub partners: Vec<TenantQuota>,
}

fn parse_integer(table: &Table, (key, least, most, usual, _): IntegerKey) -> Result<u32, QuotaError> {
    let expected = format!("a whole number from {least} to {most}");
    match table.get(key) {
        Some(value) => value
            .as_integer()
            .and_then(|it| u32::try_from(it).ok())
            .filter(|it| (least..=most).contains(it))
            .ok_or_else(|| invalid_key(key, value, &expected)),
        None => usual.ok_or_else(|| invalid_key(key, "nothing", &expected)),
    }
}

fn parse_flag(table: &Table, key: &str) -> Result<bool, QuotaError> {
    table.get(key).map_or(Ok(false), |it| it.as_bool().ok_or_else(|| invalid_key(key, it, "true or false")))
}

fn check_known_keys(table: &Table, within: &str, known: &[&str]) -> Result<(), QuotaError> {
    match table.keys().find(|key| !known.contains(&key.as_str())) {
        Some(key) => Err(invalid_key(&format!("{within}{key}"), "an unknown key", known.join(", "))),
        None => Ok(()),
    }
}

impl Settings {
    /// Reads the file; `customers` are the settings' own, for where it names none.
    ///
    /// # Errors
    ///
    /// Says which key is at fault.
    pub fn read(path: &Path, customers: &[TenantQuota]) -> Result<Self, QuotaError> {
        let text = std::fs::read_to_string(path)
            .map_err(|problem| QuotaError::File { path: path.to_owned(), problem })?;
        Self::parse(&text, customers)
    }

    /// Checks a file's text.
    ///
    /// # Errors
    ///
    /// Says which key is at fault.
    pub fn parse(text: &str, customers: &[TenantQuota]) -> Result<Self, QuotaError> {
        let table: Table = text
            .parse()
            .map_err(|e: toml::de::Error| QuotaError::Syntax { problem: e.to_string().trim().to_owned() })?;
        let known: Vec<&str> =
            INTEGER_KEYS.iter().map(|it| it.0).chain(["vouched", "borrow", "partners"]).collect();
        check_known_keys(&table, "", &known)?;
        let mut numbers = [0; INTEGER_KEYS.len()];
        for (key, value) in INTEGER_KEYS.into_iter().zip(&mut numbers) {
            *value = parse_integer(&table, key)?;
        }
        let [generation, reserve, burst, max_wait] = numbers;
        let (vouched, borrow) = (parse_flag(&table, "vouched")?, parse_flag(&table, "borrow")?);
        let partners = match table.get("partners") {
            Some(all) => {
                let all = all.as_table().ok_or_else(|| invalid_key("partners", all, "a table"))?;
                all.iter().map(|(name, it)| parse_partner(name, it)).collect::<Result<_, _>>()?
            }
            None => customers.to_vec(),
        };
        if partners.is_empty() || partners.len() > MAX_PARTNERS {
            let found = format_args!("{} partners", partners.len());
            return Err(invalid_key(
                "partners",
                found,
                format_args!("1 to {MAX_PARTNERS}, here or as the settings' customers"),
            ));
        }
        let mut taken = BTreeMap::new();
        for it in &partners {
            let (pace, held) = budget_ids(it);
            for id in held.into_iter().chain([pace]) {
                if let Some(other) = taken.insert(id, &it.name) {
                    let found = format_args!("a name that looks the same as {other} to gateways");
                    return Err(invalid_key(&format!("partners.{}", it.name), found, "another name for one"));
                }
            }
        }
        let ms = |it: u32| Duration::from_millis(it.into());
        Ok(Self {
            generation,
            operator_confirmed: vouched,
            floor_permille: reserve,
            burst: ms(burst),
            max_wait: ms(max_wait),
            allow_borrowing: borrow,
            partners,
        })
    }

    /// What all gateways must have alike, over a list of so many.
    pub fn allocation(&self, slots: u16) -> Allocation {
        let pace = |it: &TenantQuota| {
            (
                budget_ids(it).0,
                (
                    (it.connections_per_second * 1_000.0).round() as u64,
                    BudgetKind::Rate { burst: self.burst },
                ),
            )
        };
        let held =
            |it: &TenantQuota| Some((budget_ids(it).1?, (it.max_open_connections?, BudgetKind::Concurrency)));
        let totals = self.partners.iter().map(pace).chain(self.partners.iter().filter_map(held));
        let (generation, floors) = (self.generation, self.floor_permille.into());
        Allocation { generation, slot_count: slots, floor_permille: floors, totals: totals.collect() }
    }

    /// A gateway that shares nothing yet: its floors, and no more.
    fn standalone_allocation(&self, slots: u16) -> Allocation {
        let mut split = self.allocation(slots);
        split.generation = 1;
        for total in split.totals.values_mut() {
            total.0 = total.0 * split.floor_permille / 1_000;
        }
        split.floor_permille = 1_000;
        split
    }

    fn partner_budgets(&self) -> Vec<PartnerBudgets> {
        let each = |it: &TenantQuota| {
            let (pace, held) = budget_ids(it);
            PartnerBudgets { rate_budget: pace, burst: self.burst, connections_budget: held }
        };
        self.partners.iter().map(each).collect()
    }
}

fn parse_partner(name: &str, value: &Toml) -> Result<TenantQuota, QuotaError> {
    let key = |key: &str| format!("partners.{name}.{key}");
    let table = value.as_table().ok_or_else(|| invalid_key(&format!("partners.{name}"), value, "a table"))?;
    check_known_keys(table, &format!("partners.{name}."), &["per_s", "connections"])?;
    let per_s =
        table.get("per_s").ok_or_else(|| invalid_key(&key("per_s"), "nothing", "a number above 0"))?;
    let told = per_s.as_float().or(per_s.as_integer().map(|it| it as f64));
    let told = told.filter(|it| *it > 0.0 && *it <= 1e6);
    let connections = table.get("connections").map(|value| {
        let told = value.as_integer().and_then(|it| u64::try_from(it).ok()).filter(|it| *it <= 1_000_000_000);
        told.ok_or_else(|| invalid_key(&key("connections"), value, "a whole number from 0 to 1000000000"))
    });
    Ok(TenantQuota {
        name: name.to_owned(),
        connections_per_second: told
            .ok_or_else(|| invalid_key(&key("per_s"), per_s, "a number above 0, at most 1000000"))?,
        max_open_connections: connections.transpose()?,
    })
}

/// The JSON Schema of the file.
pub fn schema() -> Value {
    let mut keys = serde_json::Map::new();
    for (key, least, most, usual, what) in INTEGER_KEYS {
        let mut number = json!({"type": "integer", "minimum": least, "maximum": most, "description": what});
        if let Some(usual) = usual {
            number["default"] = usual.into();
        }
        keys.insert(key.to_owned(), number);
    }
    for (key, what) in [("vouched", VOUCHED_DESCRIPTION), ("borrow", BORROW_DESCRIPTION)] {
        keys.insert(key.to_owned(), json!({"type": "boolean", "default": false, "description": what}));
    }
    let partner = json!({
        "type": "object", "required": ["per_s"], "additionalProperties": false,
        "properties": {
            "per_s": {"type": "number", "exclusiveMinimum": 0, "maximum": 1_000_000, "description": PER_S_DESCRIPTION},
            "connections": {"type": "integer", "minimum": 0, "maximum": 1_000_000_000, "description": CONNECTIONS_DESCRIPTION},
        },
    });
    keys.insert(
        "partners".to_owned(),
        json!({"type": "object", "minProperties": 1, "maxProperties": MAX_PARTNERS,
               "additionalProperties": partner, "description": PARTNERS_DESCRIPTION}),
    );
    json!({
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "Partners' quotas, the file of --quota",
        "type": "object", "properties": keys, "required": ["generation"], "additionalProperties": false,
    })
}

/// What was decided about a partner's connections here, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct DecisionCounts {
    within: u64,
    migrated: u64,
    borrowed: u64,
    rejected: u64,
}

#[derive(Debug, Clone, Default)]
struct PartnerAccount {
    counts: DecisionCounts,
    /// Refusals since the last look, and when there were any, while it counts as beyond its quota.
    rejected_since_tick: u64,
    over_quota_since: Option<Duration>,
}

/// Who may have a connection at this gateway.
pub struct Admission {
    settings: Settings,
    /// The partners' budgets, and their places by name.
    partners: Vec<PartnerBudgets>,
    partner_index: BTreeMap<String, usize>,
    slot_count: u16,
    own_slot: Slot,
    quota: Quota,
    /// Whether the rights are shared with others.
    is_shared: bool,
    /// By the pace's id, as partners come and go.
    accounts: BTreeMap<u32, PartnerAccount>,
    /// Whose each open request or connection is, and how many each has.
    partner_by_request: BTreeMap<RequestId, u32>,
    open_connections: BTreeMap<u32, u64>,
    persisted: Option<PersistedAllocation>,
    was_agreed: bool,
    known_mismatches: BTreeMap<Slot, Mismatch>,
}

impl Admission {
    /// By these settings, at the gateway `own` of a list of so many.
    pub fn new(settings: Settings, own: Slot, slots: u16, now: Duration) -> Self {
        let mut new = Self {
            partners: Vec::new(),
            partner_index: BTreeMap::new(),
            quota: Quota::new([], settings.max_wait, now),
            is_shared: false,
            settings,
            slot_count: slots,
            own_slot: own,
            accounts: BTreeMap::new(),
            partner_by_request: BTreeMap::new(),
            open_connections: BTreeMap::new(),
            persisted: None,
            was_agreed: false,
            known_mismatches: BTreeMap::new(),
        };
        new.index_partners();
        new
    }

    fn index_partners(&mut self) {
        self.partners = self.settings.partner_budgets();
        let names = self.settings.partners.iter().map(|it| it.name.clone());
        self.partner_index = names.zip(0..).collect();
        self.quota.set_partners(self.partners.iter().copied(), self.settings.max_wait);
    }

    fn allowances_with_budgets(&self) -> impl Iterator<Item = (&TenantQuota, &PartnerBudgets)> {
        self.settings.partners.iter().zip(&self.partners)
    }

    /// The rights of a gateway that shares nothing yet: its floors.
    pub fn standalone_exchange(&self, now: Duration) -> Exchange {
        let (terms, rules) = (LeaseConfig::default(), OutlierLimits::default());
        let setup = ExchangeConfig {
            tier: 0,
            slot_count: self.slot_count,
            datagrams_per_second: 0,
            lease: terms,
            outlier_limits: rules,
        };
        let mut exchange = Exchange::new(setup, self.own_slot, 0, 0, now);
        self.share_standalone(&mut exchange);
        exchange
    }

    fn share_standalone(&self, exchange: &mut Exchange) {
        // The first generation follows on none.
        if let Ok(agreement) = AllocationAgreement::new(
            self.own_slot,
            self.settings.standalone_allocation(self.slot_count),
            None,
        ) {
            exchange.set_agreement(agreement);
        }
        self.adopt_open_connections(exchange);
    }

    /// From now on the rights are those of this exchange, shared with others; `kept` is what an earlier life has
    /// promised.
    ///
    /// # Errors
    ///
    /// Where that life was at later settings.
    pub fn start_sharing(
        &mut self,
        exchange: &mut Exchange,
        kept: Option<PersistedAllocation>,
    ) -> Result<String, StaleAllocation> {
        let agreement =
            AllocationAgreement::new(self.own_slot, self.settings.allocation(self.slot_count), kept)?;
        exchange.set_agreement(agreement);
        self.is_shared = true;
        self.adopt_open_connections(exchange);
        Ok(self.confirm_and_describe(exchange))
    }

    fn confirm_and_describe(&mut self, exchange: &mut Exchange) -> String {
        if self.settings.operator_confirmed {
            exchange.with_agreement(AllocationAgreement::confirm);
        }
        self.was_agreed = exchange.agreement().is_some_and(AllocationAgreement::is_agreed);
        let (generation, partners) = (self.settings.generation, self.settings.partners.len());
        let agreed = if self.was_agreed { "yes" } else { "no" };
        format!("quota: generation={generation} partners={partners} agreed={agreed}")
    }

    /// What stands is counted where it is not yet.
    fn adopt_open_connections(&self, exchange: &mut Exchange) {
        for it in &self.partners {
            let stands = self.open_connections.get(&it.rate_budget).copied().unwrap_or_default();
            if let Some(budget) = it.connections_budget.and_then(|id| exchange.budget_mut(id)) {
                budget.adopt(stands.saturating_sub(budget.in_use()));
            }
        }
    }

    /// The file was read again.
    ///
    /// # Errors
    ///
    /// Where it is of an earlier generation, or another text of the same; nothing has changed then.
    pub fn reload(&mut self, exchange: &mut Exchange, settings: Settings) -> Result<String, StaleAllocation> {
        if self.is_shared {
            exchange.update_allocation(settings.allocation(self.slot_count))?;
        }
        self.settings = settings;
        self.index_partners();
        if self.is_shared {
            self.adopt_open_connections(exchange);
        } else {
            self.share_standalone(exchange);
        }
        Ok(self.confirm_and_describe(exchange))
    }

    fn find_partner(&self, tenant: &str) -> Option<(usize, u32)> {
        let at = *self.partner_index.get(tenant)?;
        Some((at, self.partners[at].rate_budget))
    }

    fn record_open(&mut self, id: RequestId, pace: u32) {
        self.partner_by_request.insert(id, pace);
        *self.open_connections.entry(pace).or_default() += 1;
    }

    /// A client asks for a connection: one offer, whatever its attempts. `room` says that no server has refused lately.
    ///
    /// # Errors
    ///
    /// Where it is refused: how long it is to wait.
    pub fn admit(
        &mut self,
        (now, exchange): (Duration, &mut Exchange),
        id: RequestId,
        tenant: &str,
        offer: ConnectionKind,
        room: bool,
    ) -> Result<(), Duration> {
        let Some((at, pace)) = self.find_partner(tenant) else { return Ok(()) };
        let verdict = self.quota.decide(now, exchange, at, offer, room && self.settings.allow_borrowing);
        let account = self.accounts.entry(pace).or_default();
        match verdict {
            Decision::WithinQuota => account.counts.within += 1,
            Decision::Migrated => account.counts.migrated += 1,
            Decision::Borrowed { .. } => account.counts.borrowed += 1,
            Decision::Rejected { retry_after: wait } => {
                account.counts.rejected += 1;
                account.rejected_since_tick += 1;
                return Err(wait);
            }
        }
        self.record_open(id, pace);
        Ok(())
    }

    /// A connection that stands already, of a process that this one succeeds: counted, whatever the rights.
    pub fn adopt_connection(&mut self, exchange: &mut Exchange, id: RequestId, tenant: &str) {
        let Some((at, pace)) = self.find_partner(tenant) else { return };
        if let Some(budget) = self.partners[at].connections_budget.and_then(|id| exchange.budget_mut(id)) {
            budget.adopt(1);
        }
        self.record_open(id, pace);
    }

    /// A request, or its connection, is over here.
    pub fn release(&mut self, exchange: &mut Exchange, id: RequestId) {
        let Some(pace) = self.partner_by_request.remove(&id) else { return };
        if let Some(count) = self.open_connections.get_mut(&pace) {
            *count = count.saturating_sub(1);
        }
        if let Some(at) = self.partners.iter().position(|it| it.rate_budget == pace) {
            self.quota.release(exchange, at);
        }
    }

    /// Lets time pass; lines for the log.
    pub fn advance_to(&mut self, now: Duration, exchange: &mut Exchange) -> Vec<String> {
        self.quota.advance_to(now, exchange);
        let mut lines = Vec::new();
        for (it, partner) in self.settings.partners.iter().zip(&self.partners) {
            let Some(account) = self.accounts.get_mut(&partner.rate_budget) else { continue };
            let refused = std::mem::take(&mut account.rejected_since_tick);
            let name = &it.name;
            if refused > 0 && account.over_quota_since.is_none() {
                lines.push(format!("quota: partner={name} state=beyond"));
            }
            if refused > 0 {
                account.over_quota_since = Some(now);
            } else if account.over_quota_since.is_some_and(|at| now.saturating_sub(at) >= WITHIN_QUOTA_AFTER)
            {
                account.over_quota_since = None;
                let DecisionCounts { rejected: refused, .. } = account.counts;
                lines.push(format!("quota: partner={name} state=within refused_total={refused}"));
            }
        }
        if let Some(agreement) = exchange.agreement().filter(|_| self.is_shared) {
            let generation = agreement.allocation().generation;
            if agreement.is_agreed() != self.was_agreed {
                self.was_agreed = agreement.is_agreed();
                lines.push(format!("quota: generation={generation} agreed=yes"));
            }
            if *agreement.mismatches() != self.known_mismatches {
                for (slot, differs) in agreement.mismatches() {
                    if self.known_mismatches.get(slot) != Some(differs) {
                        let (slot, differs) = (slot.0, mismatch_text(*differs));
                        lines.push(format!("quota: generation={generation} gateway={slot} {differs}"));
                    }
                }
                self.known_mismatches = agreement.mismatches().clone();
            }
        }
        lines
    }

    /// What is to be written down before it is promised, if anything is new.
    pub fn allocation_to_persist(&self, exchange: &Exchange) -> Option<PersistedAllocation> {
        let kept = exchange.agreement().filter(|_| self.is_shared)?.persisted();
        (self.persisted.as_ref() != Some(&kept)).then_some(kept)
    }

    /// That is written down.
    pub fn mark_persisted(&mut self, exchange: &mut Exchange, kept: PersistedAllocation) {
        self.persisted = Some(kept);
        exchange.with_agreement(AllocationAgreement::mark_persisted);
    }

    /// Each partner's rights and use here, as the door tells them.
    pub fn status_text(&self, exchange: &mut Exchange) -> String {
        let mut text = String::new();
        if !self.is_shared {
            text.push_str("alone\n");
        } else if let Some(agreement) = exchange.agreement() {
            let missing: Vec<String> =
                agreement.uncommitted().iter().take(16).map(|it| it.0.to_string()).collect();
            let agreed = if agreement.is_agreed() { "yes" } else { "no" };
            let generation = agreement.allocation().generation;
            let _ = writeln!(text, "generation {generation} agreed={agreed} missing={}", missing.join(","));
            for (slot, differs) in agreement.mismatches() {
                let _ = writeln!(text, "gateway {} {}", slot.0, mismatch_text(*differs));
            }
        }
        for (at, (it, partner)) in self.allowances_with_budgets().enumerate() {
            let DecisionCounts { within, migrated: moved, borrowed, rejected: refused } =
                self.accounts.get(&partner.rate_budget).map(|it| it.counts).unwrap_or_default();
            let thousandths = |units: u64| units as f64 / 1_000.0;
            let escrow = |budget: &mut ashtide_fleet::state::Budget| {
                (
                    budget.escrow().usable_units(),
                    budget.escrow().lent_units(),
                    budget.escrow().held_units(),
                    budget.in_use(),
                )
            };
            let (rights, lent, held, _) =
                exchange.budget_mut(partner.rate_budget).map(escrow).unwrap_or_default();
            let (rights, lent, held) = (thousandths(rights), thousandths(lent), thousandths(held));
            let wants = thousandths(self.quota.wanted_rate(at));
            let _ = write!(
                text,
                "partner {} quota_per_s={} rights_per_s={rights} wants_per_s={wants} lent_per_s={lent} \
                 leased_per_s={held}",
                it.name, it.connections_per_second
            );
            if let (Some(most), Some(id)) = (it.max_open_connections, partner.connections_budget) {
                let (rights, _, _, taken) = exchange.budget_mut(id).map(escrow).unwrap_or_default();
                let _ = write!(text, " quota_open={most} rights_open={rights} open={taken}");
            }
            let _ = writeln!(text, " within={within} moved={moved} borrowed={borrowed} refused={refused}");
        }
        text
    }

    /// The figures, one a line.
    pub fn metrics_text(&self, exchange: &mut Exchange) -> String {
        let mut text = String::new();
        let agreed = exchange.agreement().is_some_and(AllocationAgreement::is_agreed);
        let generation = exchange.agreement().map_or(0, |it| it.allocation().generation);
        let _ = writeln!(text, "{METRIC_PREFIX}_quota_generation {generation}");
        let _ = writeln!(text, "{METRIC_PREFIX}_quota_agreed {}", u64::from(agreed));
        for (it, partner) in self.allowances_with_budgets() {
            let DecisionCounts { within, migrated: moved, borrowed, rejected: refused } =
                self.accounts.get(&partner.rate_budget).map(|it| it.counts).unwrap_or_default();
            let rights = exchange.budget_mut(partner.rate_budget).map_or(0, |it| it.escrow().usable_units());
            let open = self.open_connections.get(&partner.rate_budget).copied().unwrap_or_default();
            let figures = [
                ("within_total", within),
                ("moved_total", moved),
                ("borrowed_total", borrowed),
                ("refused_total", refused),
                ("rights_thousandths_per_s", rights),
                ("open", open),
            ];
            for (name, value) in figures {
                let _ = writeln!(text, "{METRIC_PREFIX}_quota_{name}{{partner=\"{}\"}} {value}", it.name);
            }
        }
        text
    }

    /// Holds the decisions against their invariants; the rights are the exchange's to check.
    ///
    /// # Errors
    ///
    /// Names what is broken.
    pub fn check(&self) -> Result<(), ashtide_fleet::state::Violation> {
        self.quota.check()
    }
}

fn mismatch_text(differs: Mismatch) -> String {
    match differs {
        Mismatch::LaterGeneration(generation) => format!("is_at={generation} behind=here"),
        Mismatch::EarlierGeneration(generation) => format!("is_at={generation} behind=there"),
        Mismatch::DifferentContent => "has another text under this generation".to_owned(),
    }
}
