//! Comparison of the client library with baseline clients in virtual time, with the same users, deployment
//! and faults.

use std::time::Duration;

use ashtide_client::Settings;
use serde::Serialize;

use crate::simulation::{
    ATTEMPT_TIMEOUT, ClientBehavior, DeploymentModel, Fault, Measurements, Simulation, UserModel,
};

/// Time at which the fault starts, in seconds.
const FAULT_START_S: u64 = 30;
/// Time at which the fault ends, in seconds.
const FAULT_END_S: u64 = 50;
/// Time at which the run ends, in seconds.
const RUN_END_S: u64 = 150;
/// Duration in seconds for which the number of waiting users must be near its usual value for the deployment
/// to count as recovered.
const RECOVERY_WINDOW_S: usize = 5;

/// Kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Every server runs at a fifth of its speed, and three tenths of the connections break.
    Slowed,
    /// Half of the servers reject every connection, and three tenths of the established connections break.
    HalfRefuse,
}

/// Result of one run with one kind of client.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Name of the kind of client.
    pub clients: String,
    /// Kind of fault.
    pub kind: FaultKind,
    /// Number of attempts that reached the deployment since the start of the fault.
    pub attempts: u64,
    /// Number of connections established since the start of the fault.
    pub useful: u64,
    /// Ratio of `attempts` to `useful`.
    pub attempts_per_useful: f64,
    /// Maximum number of attempts in a second since the start of the fault.
    pub peak: u64,
    /// Time from the end of the fault to the recovery of the deployment in seconds, or `None` if it did not
    /// recover before the end of the run.
    pub recovered_s: Option<u64>,
    /// Share of the users' connected time in their connected and waiting time, from the start of the fault to
    /// the end of the run.
    pub share_served: f64,
    /// Number of users who left without the connection time they wanted.
    pub lost: u64,
    /// Number of attempts that overlapped with an older attempt of the same session.
    pub overlaps: u64,
}

/// Returns the names and behaviours of the compared clients.
pub fn compared_clients() -> Vec<(&'static str, ClientBehavior)> {
    let ms = Duration::from_millis;
    vec![
        ("library", library_client(Settings::default())),
        (
            "library, 30 s a press",
            ClientBehavior::Library(Box::new(Settings { tries: 6, ..Settings::default() }), 10 * ms(3000)),
        ),
        ("again after 0.2 to 1.7 s", ClientBehavior::Baseline(ms(200), ms(1700))),
        ("again at once", ClientBehavior::Baseline(ms(0), ms(0))),
    ]
}

/// Returns the behavior of the client library with these settings. A session request times out together with
/// its first attempt.
pub fn library_client(settings: Settings) -> ClientBehavior {
    ClientBehavior::Library(Box::new(settings), ATTEMPT_TIMEOUT)
}

/// Runs one kind of fault with one kind of client. A `scale` of 1 is 10 servers, 120 new users a second and
/// 7,200 established connections. A connection set-up takes a twentieth of a second, so that the deployment
/// is used to six tenths of its capacity.
pub fn run_comparison(
    name: &str,
    behavior: ClientBehavior,
    kind: FaultKind,
    scale: f64,
    seed: u64,
) -> Outcome {
    let deployment = DeploymentModel {
        servers: ((10.0 * scale).round() as usize).max(2),
        setups_per_s: 20.0,
        max_queue: 40,
        rejection_cost: 0.005,
        retry_delay: Duration::from_secs(1),
        one_way_delay: Duration::from_millis(10),
    };
    let users = UserModel {
        arrivals_per_s: 12.0 * deployment.servers as f64,
        mean_connection_s: 60.0,
        patience: Duration::from_secs(60),
        reopen_delay: (Duration::from_secs(5), Duration::from_secs(20)),
    };
    let (fault_start, fault_end, run_end) =
        (FAULT_START_S * 1_000_000, FAULT_END_S * 1_000_000, RUN_END_S * 1_000_000);
    let (fault, end_of_fault) = match kind {
        FaultKind::Slowed => (Fault::ServerSpeed(0.2), Fault::ServerSpeed(1.0)),
        FaultKind::HalfRefuse => (Fault::RejectingServers(0.5), Fault::RejectingServers(0.0)),
    };
    let established = (users.arrivals_per_s * users.mean_connection_s) as usize;
    let mut simulation = Simulation::new(
        behavior,
        deployment,
        users,
        vec![(fault_start, fault), (fault_start, Fault::BreakConnections(0.3)), (fault_end, end_of_fault)],
        seed,
    );
    simulation.add_established_users(established);
    simulation.measure_from_us = fault_start;
    simulation.run(run_end);
    outcome(name, kind, &simulation.measurements)
}

fn outcome(name: &str, kind: FaultKind, measurements: &Measurements) -> Outcome {
    let since_fault = &measurements.seconds[FAULT_START_S as usize..];
    let (attempts, useful) = since_fault
        .iter()
        .fold((0, 0), |(attempts, up), second| (attempts + second.attempts, up + second.established));
    // Before the fault a few users are waiting at any time, as a connection set-up takes time.
    let before_fault = &measurements.seconds[FAULT_START_S as usize / 2..FAULT_START_S as usize];
    let usual_waiting =
        before_fault.iter().map(|second| second.waiting).sum::<u64>() / before_fault.len() as u64;
    let after_fault = &measurements.seconds[FAULT_END_S as usize..RUN_END_S as usize];
    let recovered = after_fault
        .windows(RECOVERY_WINDOW_S)
        .position(|window| window.iter().all(|second| second.waiting <= 2 * usual_waiting + 10));
    Outcome {
        clients: name.to_owned(),
        kind,
        attempts,
        useful,
        attempts_per_useful: attempts as f64 / useful.max(1) as f64,
        peak: since_fault.iter().map(|second| second.attempts).max().unwrap_or_default(),
        recovered_s: recovered.map(|second| second as u64),
        share_served: measurements.connected_us as f64
            / (measurements.connected_us + measurements.waited_us).max(1) as f64,
        lost: measurements.lost,
        overlaps: measurements.overlaps,
    }
}
