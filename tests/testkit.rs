//! Runs every scenario of the test kit against the daemon's binary.

use std::path::Path;

use ashtide_testkit::scenarios::{MIGRATION_CLIENTS, run_scenario};

fn check_scenario(name: &str) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let checks = runtime
        .block_on(run_scenario(name, Path::new(env!("CARGO_BIN_EXE_ashtide")), MIGRATION_CLIENTS))
        .expect("the scenario runs to completion");
    let failed: Vec<_> = checks.0.iter().filter(|check| !check.passed).collect();
    assert!(checks.passed(), "{failed:#?}");
}

macro_rules! scenarios {
    ($($test:ident: $name:literal;)*) => {$(
        #[test]
        fn $test() {
            check_scenario($name);
        }
    )*};
}

scenarios! {
    thousands_of_clients_migrate_without_misrouting: "migration";
    an_unknown_connection_id_is_reset_once: "unknown-id";
    rejections_and_timeouts_reach_the_client_once: "refusal";
    clients_of_a_draining_server_are_migrated: "drain";
    clients_of_failed_servers_are_notified: "loss";
    a_planned_stop_migrates_all_clients: "stop";
    a_reload_switches_to_the_new_discovery_service: "reload";
    a_pushed_endpoint_list_is_applied: "pushed";
    misbehaving_clients_are_refused_and_others_served: "rude";
    a_new_version_takes_over_clients: "upgrade";
    established_connections_are_handed_to_the_successor: "inheritance";
    the_backup_virtual_router_takes_over: "vrrp-failover";
    devices_of_a_killed_gateway_reconnect_spread_over_time: "return";
}
