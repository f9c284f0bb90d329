//! The library beside clients without one: the same users, site and trouble, in virtual time.

use std::time::Duration;

use ashtide_client::Settings;
use serde::Serialize;

use crate::simulation::{ClientBehavior, DeploymentModel, Fault, Measurements, Simulation, TRY, UserModel};

/// The trouble begins and ends at these seconds, and the run ends at the last.
pub const TIMES: (u64, u64, u64) = (30, 50, 150);
/// A site has recovered once, for so many seconds, no more users wait than...
const STEADY: usize = 5;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Every server works at a fifth of its speed, and three tenths of the connections break.
    Slowed,
    /// Half of the servers refuse everything, and three tenths of the connections break.
    HalfRefuse,
}

/// What one kind of clients came to.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Which clients.
    pub clients: String,
    /// Which trouble.
    pub kind: FaultKind,
    /// Attempts that reached the site, from the trouble's beginning on.
    pub attempts: u64,
    /// Connections that came up in that time.
    pub useful: u64,
    /// Attempts for each of them.
    pub attempts_per_useful: f64,
    /// Most attempts in a second.
    pub peak: u64,
    /// Seconds from the trouble's end until the site had recovered; none where it had not by the end.
    pub recovered_s: Option<u64>,
    /// Time connected over time connected or waited, from the trouble's beginning to the end of the run.
    pub share_served: f64,
    /// Users who left without what they wanted.
    pub lost: u64,
    /// Attempts beside an older one of the same session.
    pub overlaps: u64,
}

/// The clients that are compared.
pub fn clients() -> Vec<(&'static str, ClientBehavior)> {
    let ms = Duration::from_millis;
    vec![
        ("library", library(Settings::default())),
        (
            "library, 30 s a press",
            ClientBehavior::Library(Box::new(Settings { tries: 6, ..Settings::default() }), 10 * ms(3000)),
        ),
        ("again after 0.2 to 1.7 s", ClientBehavior::Baseline(ms(200), ms(1700))),
        ("again at once", ClientBehavior::Baseline(ms(0), ms(0))),
    ]
}

/// The library with these settings, whose session ends with its first deadline.
pub fn library(settings: Settings) -> ClientBehavior {
    ClientBehavior::Library(Box::new(settings), TRY)
}

/// Plays one trouble with one kind of clients. `scale` 1 is 10 servers, 120 new users a second and 7,200
/// standing connections; a set-up takes a twentieth of a second, so that six tenths of the site are in use.
pub fn run_comparison(
    name: &str,
    behaviour: ClientBehavior,
    kind: FaultKind,
    scale: f64,
    seed: u64,
) -> Outcome {
    let site = DeploymentModel {
        servers: ((10.0 * scale).round() as usize).max(2),
        rate: 20.0,
        queue: 40,
        refusal: 0.005,
        busy: Duration::from_secs(1),
        way: Duration::from_millis(10),
    };
    let people = UserModel {
        rate: 12.0 * site.servers as f64,
        life: 60.0,
        patience: Duration::from_secs(60),
        press: (Duration::from_secs(5), Duration::from_secs(20)),
    };
    let (from, to, end) = (TIMES.0 * 1_000_000, TIMES.1 * 1_000_000, TIMES.2 * 1_000_000);
    let (bad, well) = match kind {
        FaultKind::Slowed => (Fault::Speed(0.2), Fault::Speed(1.0)),
        FaultKind::HalfRefuse => (Fault::Refusing(0.5), Fault::Refusing(0.0)),
    };
    let standing = (people.rate * people.life) as usize;
    let mut world = Simulation::new(
        behaviour,
        site,
        people,
        vec![(from, bad), (from, Fault::Cut(0.3)), (to, well)],
        seed,
    );
    world.stand(standing);
    world.from = from;
    world.run(end);
    outcome(name, kind, &world.tally)
}

fn outcome(name: &str, kind: FaultKind, tally: &Measurements) -> Outcome {
    let since = &tally.seconds[TIMES.0 as usize..];
    let (attempts, useful) =
        since.iter().fold((0, 0), |(attempts, up), second| (attempts + second.attempts, up + second.up));
    // Before the trouble a few users wait at any time, as a set-up takes its time.
    let calm = &tally.seconds[TIMES.0 as usize / 2..TIMES.0 as usize];
    let usual = calm.iter().map(|second| second.waiting).sum::<u64>() / calm.len() as u64;
    let after = &tally.seconds[TIMES.1 as usize..TIMES.2 as usize];
    let recovered =
        after.windows(STEADY).position(|few| few.iter().all(|second| second.waiting <= 2 * usual + 10));
    Outcome {
        clients: name.to_owned(),
        kind,
        attempts,
        useful,
        attempts_per_useful: attempts as f64 / useful.max(1) as f64,
        peak: since.iter().map(|second| second.attempts).max().unwrap_or_default(),
        recovered_s: recovered.map(|second| second as u64),
        share_served: tally.connected as f64 / (tally.connected + tally.waited).max(1) as f64,
        lost: tally.lost,
        overlaps: tally.overlaps,
    }
}
