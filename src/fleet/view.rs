//! The fleet view in the daemon: its settings, and what is shown of it. Knows no socket and no clock.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ashtide_fleet::{Member, MemberState, Membership, ViewChange, ViewConfig, ViewMetrics};
use serde_json::{Value, json};
use toml::{Table, Value as Toml};

use crate::fleet::shared_state;
use crate::metrics::METRIC_PREFIX;

/// Seeds that a file may name.
pub const MAX_SEEDS: usize = 64;

/// A key that holds a number: its name, least, most, usual value where it may be left out, and what it is.
type IntegerKey = (&'static str, u32, u32, Option<u32>, &'static str);

const INTEGER_KEYS: [IntegerKey; 4] = [
    ("tier", 1, u32::MAX, None, "The tier's key, the same at all its gateways and at none of another tier."),
    ("size", 2, 8192, Some(9), "About how many gateways there are; suspicions last by its logarithm."),
    ("datagrams_per_s", 16, 1000, Some(24), "Datagrams a second that this gateway sends at most."),
    ("burst", 16, 256, Some(48), "How many of them at once."),
];
const LISTEN_DESCRIPTION: &str =
    "Where this gateway hears, and what it is known by: an address of its own, not 0.0.0.0.";
const PUBLIC_DESCRIPTION: &str =
    "What the others know this gateway by, where addresses are translated on the way. Without it: 'listen'.";
const SEEDS_DESCRIPTION: &str = "Gateways to join by, any that are usually there. Without it: the configuration's 'peers', at \
                     the port of 'listen'. Empty where this is the first.";

/// Why a view cannot be had.
#[derive(Debug, thiserror::Error)]
pub enum ViewError {
    /// The file cannot be read.
    #[error("view: {path}: {problem}")]
    File {
        /// Which file.
        path: PathBuf,
        /// What the system says.
        problem: std::io::Error,
    },
    /// The file is no TOML.
    #[error("view: found {problem}; expected TOML")]
    Syntax {
        /// What the parser found, and where.
        problem: String,
    },
    /// A key's value, or its absence, cannot be used.
    #[error("view: {key}: found {found}; expected {expected}")]
    Key {
        /// Which key.
        key: String,
        /// What stands there.
        found: String,
        /// What should.
        expected: String,
    },
}

impl ViewError {
    /// The error with what an operator can do, for the log.
    pub fn with_help(self) -> String {
        format!("{self}; {}", self.help())
    }

    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Self::File { .. } => "name a file that this process may read, or leave --view out",
            Self::Syntax { .. } => "compare the file with deploy/view.toml",
            Self::Key { .. } => "correct the key; deploy/view.schema.json says what each may be",
        }
    }
}

/// What the file of `--view` says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Where this gateway hears, and what it is known by.
    pub listen: SocketAddr,
    /// What the others know it by.
    pub public: SocketAddr,
    /// Whom it joins by; none where the file leaves that to the configuration.
    pub seeds: Option<Vec<SocketAddr>>,
    /// What the core is told.
    pub view: ViewConfig,
    /// What the gateways share beside the view; nothing without the table.
    pub shared_state: Option<shared_state::Settings>,
}

pub(crate) fn invalid_key(key: &str, found: impl ToString, expected: impl ToString) -> ViewError {
    ViewError::Key { key: key.to_owned(), found: found.to_string(), expected: expected.to_string() }
}

pub(crate) fn parse_address(key: &str, value: &Toml) -> Result<SocketAddr, ViewError> {
    let expected = "an address and a port, as \"127.0.0.1:7946\"";
    let text = value.as_str().ok_or_else(|| invalid_key(key, value, expected))?;
    text.parse().map_err(|_| invalid_key(key, format_args!("\"{text}\""), expected))
}

impl Settings {
    /// Reads the file.
    ///
    /// # Errors
    ///
    /// Says which key is at fault.
    pub fn read(path: &Path) -> Result<Self, ViewError> {
        let text = std::fs::read_to_string(path)
            .map_err(|problem| ViewError::File { path: path.to_owned(), problem })?;
        Self::parse(&text)
    }

    /// Checks a file's text.
    ///
    /// # Errors
    ///
    /// Says which key is at fault.
    pub fn parse(text: &str) -> Result<Self, ViewError> {
        let table: Table = text
            .parse()
            .map_err(|e: toml::de::Error| ViewError::Syntax { problem: e.to_string().trim().to_owned() })?;
        let known =
            || ["listen", "public", "seeds", "state"].into_iter().chain(INTEGER_KEYS.iter().map(|it| it.0));
        if let Some(key) = table.keys().find(|&key| !known().any(|it| it == key)) {
            return Err(invalid_key(key, "an unknown key", known().collect::<Vec<_>>().join(", ")));
        }
        let listen = parse_address("listen", table.get("listen").unwrap_or(&Toml::String(String::new())))?;
        if listen.ip().is_unspecified() || listen.port() == 0 {
            return Err(invalid_key(
                "listen",
                listen,
                "an address and port that others reach this gateway by",
            ));
        }
        let public = table.get("public").map_or(Ok(listen), |value| parse_address("public", value))?;
        let state = table.get("state").map(shared_state::Settings::parse).transpose()?;
        let seeds = table.get("seeds").map(|value| {
            let expected =
                || invalid_key("seeds", value, format_args!("a list of at most {MAX_SEEDS} addresses"));
            let each = value.as_array().filter(|it| it.len() <= MAX_SEEDS).ok_or_else(expected)?;
            each.iter().map(|seed| parse_address("seeds", seed)).collect::<Result<Vec<_>, _>>()
        });
        let mut numbers = [0; INTEGER_KEYS.len()];
        for ((key, least, most, usual, _), number) in INTEGER_KEYS.into_iter().zip(&mut numbers) {
            let expected = format!("a whole number from {least} to {most}");
            let told = match table.get(key) {
                Some(value) => value
                    .as_integer()
                    .and_then(|it| u32::try_from(it).ok())
                    .filter(|it| (least..=most).contains(it))
                    .ok_or_else(|| invalid_key(key, value, &expected))?,
                None => usual.ok_or_else(|| invalid_key(key, "nothing", &expected))?,
            };
            *number = told;
        }
        let [tier, size, messages, burst] = numbers;
        let options = ViewConfig { tier, expected_members: size, datagrams_per_second: messages, burst };
        Ok(Self { listen, public, seeds: seeds.transpose()?, view: options, shared_state: state })
    }

    /// All gateways that may be there, by slot, and this one's, where its configuration tells it of these peers.
    ///
    /// # Errors
    ///
    /// Fails where neither names them, or this one is not among them, or one is twice.
    pub fn gateway_slots(
        &self,
        peers: Option<&[SocketAddr]>,
    ) -> Result<shared_state::GatewaySlots, ViewError> {
        let by_peers =
            || peers.map(|all| all.iter().map(|it| SocketAddr::new(it.ip(), self.listen.port())).collect());
        let told = self.shared_state.as_ref().and_then(|state| state.gateways.clone());
        shared_state::GatewaySlots::new(told.or_else(by_peers).unwrap_or_default(), self.public)
    }

    /// Whom the gateway joins by, where its configuration tells it of these peers.
    ///
    /// # Errors
    ///
    /// Fails where neither names anyone.
    pub fn seeds_or_peers(&self, peers: Option<Vec<SocketAddr>>) -> Result<Vec<SocketAddr>, ViewError> {
        let by_peers = || {
            let peers = peers.filter(|it| !it.is_empty());
            let expected = "a list of addresses, or 'peers' in the configuration; [] for the first gateway";
            let peers = peers.ok_or_else(|| invalid_key("seeds", "nothing", expected))?;
            let at = |peer: &SocketAddr| SocketAddr::new(peer.ip(), self.listen.port());
            Ok(peers.iter().map(at).filter(|&it| it != self.listen).take(MAX_SEEDS).collect())
        };
        self.seeds.clone().map_or_else(by_peers, Ok)
    }
}

/// The JSON Schema of the file.
pub fn schema() -> Value {
    let mut keys = serde_json::Map::new();
    keys.insert("listen".to_owned(), json!({"type": "string", "description": LISTEN_DESCRIPTION}));
    keys.insert("public".to_owned(), json!({"type": "string", "description": PUBLIC_DESCRIPTION}));
    keys.insert("state".to_owned(), shared_state::schema());
    let seeds = json!({"type": "array", "items": {"type": "string"}, "maxItems": MAX_SEEDS, "description": SEEDS_DESCRIPTION});
    keys.insert("seeds".to_owned(), seeds);
    for (key, least, most, usual, what) in INTEGER_KEYS {
        let mut number = json!({"type": "integer", "minimum": least, "maximum": most, "description": what});
        if let Some(usual) = usual {
            number["default"] = usual.into();
        }
        keys.insert(key.to_owned(), number);
    }
    let required: Vec<&str> = std::iter::once("listen")
        .chain(INTEGER_KEYS.iter().filter(|it| it.3.is_none()).map(|it| it.0))
        .collect();
    json!({
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "The fleet view's settings, the file of --view",
        "type": "object", "properties": keys, "required": required, "additionalProperties": false,
    })
}

/// The generation of a life that begins now, at this Unix time in milliseconds, where an earlier one had that
/// generation: a later one, even if the clock was put back.
pub fn next_incarnation(now: u64, earlier: Option<u64>) -> u64 {
    earlier.map_or(now, |earlier| now.max(earlier.saturating_add(1)))
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Left => "left",
        MemberState::Dead => "dead",
    }
}

/// A change as the log tells it.
pub fn change_log_line(change: &ViewChange) -> String {
    let told = |state: &str, it: &Member| {
        format!("view: state={state} member={} generation={}", it.address, it.incarnation)
    };
    match change {
        ViewChange::Up(member) => told("alive", member),
        ViewChange::Left(member) => told("left", member),
        ViewChange::Dead(member) => told("dead", member),
        ViewChange::Rejoined(member) => told("back", member),
        ViewChange::Stalled(time) => format!("view: state=stalled ms={}", time.as_millis()),
    }
}

/// All members, this one first, as the door tells them at this time of the view.
pub fn members_text(fleet: &Membership, now: Duration) -> String {
    let own = fleet.own();
    let mut text = format!("{} self generation={}\n", own.address, own.incarnation);
    for row in fleet.members() {
        let since = now.saturating_sub(row.since).as_secs();
        let (state, member, incarnation) = (state_name(row.state), row.member, row.refutations);
        let _ = writeln!(
            text,
            "{} {state} generation={} incarnation={incarnation} for_s={since}",
            member.address, member.incarnation
        );
    }
    text
}

/// The view's figures, one a line.
pub fn metrics_text(fleet: &Membership) -> String {
    let mut text = String::new();
    let mut put = |name: &str, value: u64| {
        let _ = writeln!(text, "{METRIC_PREFIX}_view_{name} {value}");
    };
    for state in [MemberState::Alive, MemberState::Suspect, MemberState::Left, MemberState::Dead] {
        let count = fleet.members().filter(|row| row.state == state).count();
        put(&format!("members{{state=\"{}\"}}", state_name(state)), count as u64);
    }
    let ViewMetrics {
        sent,
        received: heard,
        dropped: unsent,
        rejected: unheard,
        deaths,
        false_deaths,
        own_deaths,
        stalls,
    } = fleet.metrics();
    let counts = [
        ("sent_datagrams_total", sent.0),
        ("sent_bytes_total", sent.1),
        ("heard_datagrams_total", heard.0),
        ("heard_bytes_total", heard.1),
        ("unsent_datagrams_total", *unsent),
        ("unheard_datagrams_total", unheard.values().sum()),
        ("deaths_total", *deaths),
        ("false_deaths_total", *false_deaths),
        ("own_deaths_total", *own_deaths),
        ("stalls_total", *stalls),
    ];
    counts.into_iter().for_each(|(name, value)| put(name, value));
    text
}
