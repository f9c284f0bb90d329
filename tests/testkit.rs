//! Every scenario of the rehearsal kit, against the daemon's binary.

use std::path::Path;

use ashtide_testkit::scenarios::{MIGRATION_CLIENTS, run_scenario};

fn rehearse(name: &str) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let checks = runtime
        .block_on(run_scenario(name, Path::new(env!("CARGO_BIN_EXE_ashtide")), MIGRATION_CLIENTS))
        .expect("the scenario is played to its end");
    let failed: Vec<_> = checks.0.iter().filter(|check| !check.passed).collect();
    assert!(checks.passed(), "{failed:#?}");
}

macro_rules! scenarios {
    ($($test:ident: $name:literal;)*) => {$(
        #[test]
        fn $test() {
            rehearse($name);
        }
    )*};
}

scenarios! {
    thousands_migrate_and_none_is_misplaced: "migration";
    an_unknown_id_gets_one_final_answer: "unknown-id";
    refusals_and_timeouts_reach_the_client_once: "refusal";
    a_draining_server_loses_its_clients_politely: "drain";
    clients_of_lost_servers_are_told: "loss";
    a_planned_stop_moves_everyone: "stop";
    a_reload_moves_to_the_new_discovery: "reload";
    a_pushed_list_is_followed: "pushed";
    the_rude_are_told_and_the_others_served: "rude";
    a_new_version_takes_the_clients_over: "upgrade";
    connections_are_inherited_by_the_successor: "inheritance";
    the_backup_takes_over: "vrrp-failover";
    a_killed_balancers_devices_return_in_no_wave: "return";
}
