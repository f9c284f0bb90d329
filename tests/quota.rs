//! Quotas of partners: the settings file, and admission at one gateway.

use std::time::Duration;

use ashtide::RequestId;
use ashtide::fleet::quota::{Admission, QuotaError, Settings, schema};
use ashtide::settings::TenantQuota;
use ashtide_fleet::state::{
    AllocationAgreement, Exchange, ExchangeConfig, LeaseConfig, OutlierLimits, Slot, StaleAllocation,
};
use ashtide_quota::ConnectionKind;

fn parse_error(text: &str) -> String {
    Settings::parse(text, &[]).err().map(QuotaError::with_help).unwrap_or_default()
}

#[test]
fn schema_deploy_file_and_parser_have_the_same_keys_and_bounds() {
    let schema = schema();
    let stored: serde_json::Value =
        serde_json::from_str(include_str!("../deploy/quota.schema.json")).expect("the schema is JSON");
    assert_eq!(stored, schema, "deploy/quota.schema.json should be:\n{schema:#}");
    let file = include_str!("../deploy/quota.toml");
    Settings::parse(file, &[]).expect("deploy/quota.toml is valid");
    let keys = schema["properties"].as_object().expect("properties");
    let table: toml::Table = file.parse().expect("TOML");
    assert!(keys.keys().all(|key| table.contains_key(key)) && table.len() == keys.len());
    for (key, property) in keys.iter().filter(|(_, property)| property["type"] == "integer") {
        let parse_with = |value: i64| {
            let mut table = table.clone();
            table.insert(key.clone(), value.into());
            Settings::parse(&table.to_string(), &[])
        };
        let bound = |name: &str| property[name].as_i64().expect("a bound");
        assert!(parse_with(bound("minimum")).is_ok() && parse_with(bound("maximum")).is_ok(), "{key}");
        for out_of_range in [bound("minimum") - 1, bound("maximum") + 1] {
            let error = parse_with(out_of_range).err().map(|error| error.to_string()).unwrap_or_default();
            assert!(error.contains(&format!("{key}: found {out_of_range}; expected")), "{key}: {error}");
        }
    }
}

#[test]
fn errors_name_the_key_what_was_found_and_what_was_expected() {
    for (text, expected) in [
        ("vouched = true", "generation: found nothing; expected a whole number"),
        ("generation = 1\nquota = 3", "quota: found an unknown key; expected generation"),
        ("generation = 1", "partners: found 0 partners; expected 1 to"),
        ("generation = 1\nborrow = 1", "borrow: found 1; expected true or false"),
        ("generation = 1\n[partners.a]", "partners.a.per_s: found nothing; expected a number"),
        ("generation = 1\n[partners.a]\nper_s = 0", "partners.a.per_s: found 0; expected a number above 0"),
        (
            "generation = 1\n[partners.a]\nper_s = 2\nopen = 3",
            "partners.a.open: found an unknown key; expected per_s",
        ),
        (
            "generation = 1\n[partners.a]\nper_s = 2\nconnections = -1",
            "partners.a.connections: found -1; expected a whole",
        ),
        ("generation =", "expected TOML"),
    ] {
        let error = parse_error(text);
        assert!(error.contains(expected) && error.contains("; "), "{text}: {error}");
    }
    let tenants =
        [TenantQuota { name: "a".to_owned(), connections_per_second: 3.0, max_open_connections: Some(4) }];
    let settings = Settings::parse("generation = 1", &tenants).expect("the tenants of the settings");
    assert_eq!(settings.partners, tenants);
}

/// The only gateway of a fleet, which has all units of the quotas.
struct Gateway {
    exchange: Exchange,
    admission: Admission,
    now: Duration,
    next_request: u32,
}

fn settings(generation: u32, per_s: u32, connections: u32) -> Settings {
    let text = format!(
        "generation = {generation}\nburst_ms = 1000\n\
         [partners.a]\nper_s = {per_s}\nconnections = {connections}"
    );
    Settings::parse(&text, &[]).expect("valid settings")
}

impl Gateway {
    fn new() -> Self {
        let now = Duration::from_secs(50);
        let config = ExchangeConfig {
            fleet_id: 1,
            slot_count: 1,
            datagrams_per_second: 10,
            lease: LeaseConfig::default(),
            outlier_limits: OutlierLimits::default(),
        };
        let exchange = Exchange::new(config, Slot(0), 7, 7, now);
        let admission = Admission::new(settings(1, 10, 15), Slot(0), 1, now);
        Self { exchange, admission, now, next_request: 0 }
    }

    fn advance(&mut self, ms: u64) -> Vec<String> {
        let mut lines = Vec::new();
        for _ in 0..ms / 50 {
            self.now += Duration::from_millis(50);
            self.exchange.advance_to(self.now);
            lines.extend(self.admission.advance_to(self.now, &mut self.exchange));
            if let Some(persisted) = self.admission.allocation_to_persist(&self.exchange) {
                self.admission.mark_persisted(&mut self.exchange, persisted);
            }
            assert_eq!((self.admission.check(), self.exchange.check(&[])), (Ok(()), Ok(())));
        }
        lines
    }

    fn request(&mut self, tenant: &str, kind: ConnectionKind) -> Result<RequestId, Duration> {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let now_and_exchange = (self.now, &mut self.exchange);
        self.admission.admit(now_and_exchange, id, tenant, kind, true).map(|()| id)
    }

    fn admit_new(&mut self, count: usize) -> Vec<RequestId> {
        (0..count).filter_map(|_| self.request("a", ConnectionKind::New).ok()).collect()
    }
}

#[test]
fn a_tenant_is_limited_to_its_quota_and_others_are_unlimited() {
    let mut gateway = Gateway::new();
    gateway.admission.start_sharing(&mut gateway.exchange, None).expect("the first generation");
    gateway.advance(3_500);
    let admitted = gateway.admit_new(14);
    assert_eq!(admitted.len(), 10, "its rate and burst of 10");
    assert!((0..50).all(|_| gateway.request("nobody", ConnectionKind::New).is_ok()));
    assert!(
        gateway
            .advance(100)
            .iter()
            .any(|line| line == "quota: partner a is over its quota; rejecting new connections")
    );
    gateway.advance(1_000);
    assert_eq!(gateway.admit_new(14).len(), 5, "15 may be open, and 10 are");
    admitted.into_iter().for_each(|id| gateway.admission.release(&mut gateway.exchange, id));
    gateway.advance(1_000);
    assert_eq!(gateway.admit_new(4).len(), 4, "the first 10 connections have ended");
    let text = gateway.admission.status_text(&mut gateway.exchange);
    let expected = "within=19 moved=0 borrowed=0 refused=13";
    assert!(text.contains(expected) && text.contains("quota_open=15 rights_open=15 open=9"), "{text}");
    let lines = gateway.advance(6_000);
    assert!(
        lines
            .iter()
            .any(|line| line == "quota: partner a is within its quota again (13 connections rejected)"),
        "{lines:?}"
    );
}

#[test]
fn connections_open_before_a_limit_are_counted_once() {
    let mut gateway = Gateway::new();
    let mut standalone = gateway.admission.standalone_exchange(gateway.now);
    for id in 100..106 {
        gateway.admission.adopt_connection(&mut standalone, RequestId(id), "a");
    }
    gateway.admission.start_sharing(&mut gateway.exchange, None).expect("the first generation");
    gateway.advance(3_500);
    let open_connections = |gateway: &mut Gateway| {
        let text = gateway.admission.status_text(&mut gateway.exchange);
        text.split_once(" open=").and_then(|(_, count)| count.split(' ').next()?.parse::<u64>().ok())
    };
    assert_eq!(open_connections(&mut gateway), Some(6));
    gateway.admission.reload(&mut gateway.exchange, settings(2, 10, 7)).expect("a later generation");
    assert_eq!((open_connections(&mut gateway), gateway.admit_new(5).len()), (Some(6), 1));
    gateway.admission.release(&mut gateway.exchange, RequestId(103));
    gateway.admission.release(&mut gateway.exchange, RequestId(103));
    assert_eq!(open_connections(&mut gateway), Some(6), "the end of a connection is counted once");
}

#[test]
fn a_reloaded_file_applies_once_agreed_and_an_older_one_is_rejected() {
    let mut gateway = Gateway::new();
    gateway.admission.start_sharing(&mut gateway.exchange, None).expect("the first generation");
    gateway.advance(3_500);
    let line =
        gateway.admission.reload(&mut gateway.exchange, settings(2, 20, 90)).expect("a later generation");
    assert_eq!(line, "quota: generation 2 with 1 partners is not agreed by all gateways yet");
    assert_eq!(gateway.admit_new(30).len(), 10, "generation 1 still applies");
    let lines = gateway.advance(3_000);
    assert!(lines.iter().any(|line| line == "quota: generation 2 is agreed by all gateways"), "{lines:?}");
    assert_eq!(gateway.admit_new(40).len(), 20);
    let older = gateway.admission.reload(&mut gateway.exchange, settings(1, 10, 15));
    assert_eq!(older, Err(StaleAllocation::Older { found: 1, at: 2 }));
    gateway.admission.reload(&mut gateway.exchange, settings(3, 5, 90)).expect("a later generation");
    assert!(gateway.admit_new(40).len() <= 5);
    gateway.advance(1_500);
    assert_eq!(gateway.admit_new(40).len(), 5, "a lower quota applies at once");
    let persisted = gateway.exchange.agreement().map(AllocationAgreement::persisted);
    let mut restarted = Gateway::new();
    assert!(
        restarted.admission.start_sharing(&mut restarted.exchange, persisted).is_err(),
        "its file is older than the one that its previous incarnation persisted"
    );
}

#[test]
fn a_gateway_that_does_not_share_yet_admits_its_minimum() {
    let mut gateway = Gateway::new();
    let mut standalone = gateway.admission.standalone_exchange(gateway.now);
    for _ in 0..200 {
        gateway.now += Duration::from_millis(50);
        standalone.advance_to(gateway.now);
        gateway.admission.advance_to(gateway.now, &mut standalone);
    }
    let mut admitted = 0;
    for id in 0..50 {
        let now_and_exchange = (gateway.now, &mut standalone);
        admitted += usize::from(
            gateway.admission.admit(now_and_exchange, RequestId(id), "a", ConnectionKind::New, true).is_ok(),
        );
    }
    assert_eq!(admitted, 1, "the floor is a tenth of the quota of 10");
    assert_eq!(
        gateway.admission.allocation_to_persist(&standalone),
        None,
        "a standalone gateway commits to no allocation"
    );
}
