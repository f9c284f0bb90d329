//! Exchange of shared state between gateways: recipients, timing and datagrams.
//!
//! Gateways do not forward messages of others. So no gateway can send state in the name of another, and only
//! the network delays messages. The one exception is the snapshot for a gateway that starts, which includes
//! counts only.
//!
//! The traffic of a gateway does not grow with the fleet:
//!
//! - For each key, [`SAMPLE_SIZE`] gateways send their count to [`REPLICAS`] others. Rendezvous hashing
//!   selects both.
//! - A gateway requests leases from [`GRANTORS_PER_BUDGET`] grantors of a budget.
//! - A gateway sends its evidence to a few peers at a time. When it matters, many gateways have observed the
//!   same, so each gateway receives the evidence of a quorum within seconds.

mod budgets;
mod counting;
mod outbox;
mod receive;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::message::{StateMessage, encode_header};
use super::{AllocationAgreement, Escrow, LeaseConfig, OutlierLimits, OutlierReports, Slot, Violation, mix};
use crate::{DatagramCount, DecodeError, MAX_DATAGRAM};
pub use budgets::GRANTORS_PER_BUDGET;
use budgets::SharedBudget;
use counting::CountSync;
pub use counting::{REPLICAS, SAMPLE_SIZE};
use outbox::{MAX_QUEUED_MESSAGES, Outbox};

/// Number of peers that evidence and commitments are sent to at a time.
const FANOUT: usize = 2;
/// Maximum number of evidence messages sent to one peer at a time.
const MAX_EVIDENCE_PER_PEER: usize = MAX_QUEUED_MESSAGES / 4;
/// Interval between the snapshot requests of a starting gateway.
const SNAPSHOT_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a starting gateway stops waiting for a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);

/// The configuration of an [`Exchange`].
#[derive(Debug, Clone, Copy)]
pub struct ExchangeConfig {
    /// ID of the fleet: the same at all its gateways and different from other fleets.
    pub fleet_id: u32,
    /// Number of slots in the configured list of all possible gateways.
    pub slot_count: u16,
    /// Maximum number of datagrams sent per second.
    pub datagrams_per_second: u32,
    /// Durations of leases.
    pub lease: LeaseConfig,
    /// Limits on the effect of outlier reports.
    pub outlier_limits: OutlierLimits,
}

/// Traffic of an [`Exchange`] since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent, and their bytes.
    pub sent: DatagramCount,
    /// Messages dropped because a queue was full. Later messages replace them.
    pub dropped_messages: u64,
    /// Number of rejected datagrams, by reason.
    pub rejected: BTreeMap<DecodeError, u64>,
}

/// A task that runs periodically.
#[derive(Debug, Clone, Copy)]
enum PeriodicTask {
    RequestLeases,
    SendEvidence,
    SendCounts,
}

impl PeriodicTask {
    const ALL: [Self; 3] = [Self::RequestLeases, Self::SendEvidence, Self::SendCounts];

    fn interval(self) -> Duration {
        match self {
            Self::RequestLeases | Self::SendEvidence => Duration::from_millis(500),
            Self::SendCounts => Duration::from_millis(1_000),
        }
    }
}

/// The shared state of one gateway, and its exchange with other gateways.
pub struct Exchange {
    own_slot: Slot,
    incarnation: u64,
    config: ExchangeConfig,
    counting: CountSync,
    outlier_reports: OutlierReports,
    budgets: BTreeMap<u32, SharedBudget>,
    agreement: Option<AllocationAgreement>,
    peers: Vec<Slot>,
    rng: ChaCha8Rng,
    now: Duration,
    /// Due time of each task of [`PeriodicTask::ALL`].
    next_due: [Duration; PeriodicTask::ALL.len()],
    /// Index of the peer that evidence was last sent to.
    next_evidence_peer: usize,
    started_at: Duration,
    is_started: bool,
    /// Time of the next snapshot request, relative to the start, plus one interval.
    next_snapshot_request: Duration,
    outbox: Outbox,
    traffic: Traffic,
}

impl Exchange {
    /// Creates the exchange of the gateway at `own_slot` in this incarnation. `seed` initializes its random
    /// generator.
    #[must_use]
    pub fn new(config: ExchangeConfig, own_slot: Slot, incarnation: u64, seed: u64, now: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // A random phase prevents gateways that restart together from sending at the same time.
        let next_due = PeriodicTask::ALL.map(|task| now + task.interval().mul_f64(rng.random::<f64>()));
        Self {
            own_slot,
            incarnation,
            config,
            counting: CountSync::new(own_slot, incarnation, now),
            outlier_reports: OutlierReports::new(own_slot, incarnation, config.outlier_limits, now),
            budgets: BTreeMap::new(),
            agreement: None,
            peers: Vec::new(),
            rng,
            now,
            next_due,
            next_evidence_peer: mix(seed, u64::from(own_slot.0)) as usize % usize::from(u16::MAX),
            started_at: now,
            is_started: false,
            next_snapshot_request: Duration::ZERO,
            outbox: Outbox::default(),
            traffic: Traffic::default(),
        }
    }

    /// Sets the other gateways that are alive according to the membership view.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = Slot>) {
        self.peers = peers.into_iter().filter(|&slot| slot != self.own_slot).collect();
        self.peers.sort_unstable();
        self.peers.dedup();
        self.rechoose_recipients();
        let peers: BTreeSet<Slot> = self.peers.iter().copied().collect();
        self.outbox.retain_destinations(&peers);
    }

    fn all_gateways(&self) -> impl Iterator<Item = Slot> {
        self.peers.iter().copied().chain([self.own_slot])
    }

    fn random_peer(&mut self) -> Slot {
        self.peers[self.rng.random_range(0..self.peers.len())]
    }

    /// Stops the use of the shares of this gateway, as another process uses its slot.
    pub fn relinquish(&mut self) {
        let now = self.now;
        self.budgets.values_mut().for_each(|shared| shared.budget.with_escrow(now, Escrow::relinquish));
    }

    /// Continues as a later incarnation, as other gateways have recorded a later one than the current. Leases
    /// from other gateways end, as they belong to the other process or are lost. Nothing is lent for the
    /// duration of a lease, as the other process may have lent units. Uses in progress remain counted.
    pub fn restart(&mut self, incarnation: u64) {
        let now = self.now;
        self.reset_counts(incarnation);
        self.outlier_reports.restart(incarnation);
        for shared in self.budgets.values_mut() {
            shared.budget.with_escrow(now, |escrow| escrow.restart(incarnation));
        }
    }

    /// Returns the other gateways that are alive according to the membership view.
    #[must_use]
    pub fn peers(&self) -> &[Slot] {
        &self.peers
    }

    /// Returns the outlier reports.
    #[must_use]
    pub fn outlier_reports(&self) -> &OutlierReports {
        &self.outlier_reports
    }

    /// Returns the outlier reports for modification.
    pub fn outlier_reports_mut(&mut self) -> &mut OutlierReports {
        &mut self.outlier_reports
    }

    /// Returns true once a peer has sent a snapshot or the wait for one has timed out. Until then, callers
    /// must not base decisions on shared state; afterwards they use the state received so far.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.is_started
    }

    fn enqueue(&mut self, to: Slot, message: StateMessage) {
        self.traffic.dropped_messages += self.outbox.enqueue(to, message);
    }

    /// Sets the time without running any task. Call it before budgets are spent at a time after the last call
    /// of [`advance_to`](Self::advance_to): a budget treats a time before its last one as a backward clock
    /// step.
    pub fn set_time(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.now);
        self.outbox.add_tokens(f64::from(self.config.datagrams_per_second), elapsed);
        self.now = now;
    }

    /// Advances the time to `now` and runs the due tasks. Call it every 50 ms.
    pub fn advance_to(&mut self, now: Duration) {
        self.set_time(now);
        self.counting.counts.advance_to(now);
        self.outlier_reports.advance_to(now);
        for shared in self.budgets.values_mut() {
            shared.budget.advance_to(now);
        }
        let is_within = self.budgets.values().all(|shared| shared.budget.escrow().is_within_share());
        self.with_agreement(|agreement| agreement.commit(is_within));
        if !self.is_started {
            self.request_snapshot();
        }
        for (index, task) in PeriodicTask::ALL.into_iter().enumerate() {
            let interval = task.interval();
            if self.next_due[index] > now {
                // After a backward clock step the task is still due within two intervals.
                self.next_due[index] = self.next_due[index].min(now + 2 * interval);
            } else {
                self.next_due[index] = now + interval.mul_f64(self.rng.random_range(0.9..1.1));
                self.run_task(task);
            }
        }
    }

    fn run_task(&mut self, task: PeriodicTask) {
        match task {
            PeriodicTask::RequestLeases => {
                self.request_leases();
                self.send_allocation_version();
            }
            PeriodicTask::SendEvidence => self.send_evidence(),
            PeriodicTask::SendCounts => self.send_counts(),
        }
    }

    fn request_snapshot(&mut self) {
        let waited = self.now.saturating_sub(self.started_at);
        if waited >= SNAPSHOT_TIMEOUT {
            self.is_started = true;
        } else if waited + SNAPSHOT_REQUEST_INTERVAL > self.next_snapshot_request && !self.peers.is_empty() {
            self.next_snapshot_request = waited + 2 * SNAPSHOT_REQUEST_INTERVAL;
            let peer = self.random_peer();
            self.enqueue(peer, StateMessage::SnapshotRequest);
        }
    }

    fn send_evidence(&mut self) {
        let evidence: Vec<_> = self.outlier_reports.own_evidence().collect();
        if evidence.is_empty() || self.peers.is_empty() {
            return;
        }
        for _ in 0..FANOUT.min(self.peers.len()) {
            // Round robin from a random start: with random peers, some would receive the evidence only when
            // it is old.
            self.next_evidence_peer = (self.next_evidence_peer + 1) % self.peers.len();
            let peer = self.peers[self.next_evidence_peer];
            for &message in evidence.iter().take(MAX_EVIDENCE_PER_PEER) {
                self.enqueue(peer, StateMessage::Evidence(message));
            }
        }
    }

    /// Returns the next datagram and its destination. It includes several messages, those of the highest
    /// priority first. Returns `None` if the rate limit is reached or nothing is queued.
    pub fn next_datagram(&mut self) -> Option<(Slot, Vec<u8>)> {
        if !self.outbox.has_token() {
            return None;
        }
        let destination = self.outbox.next_destination()?;
        let mut bytes = encode_header(self.config.fleet_id, self.own_slot, self.incarnation);
        let sent = self.outbox.fill_datagram(destination, &mut bytes, MAX_DATAGRAM);
        debug_assert!(sent > 0, "a message is shorter than a datagram");
        self.outbox.take_token();
        self.traffic.sent.record(bytes.len());
        Some((destination, bytes))
    }

    /// Returns a datagram of at most `max_len` bytes for `to`, to be sent along with a datagram of the
    /// membership view; `None` if no queued message fits.
    pub fn piggyback_datagram(&mut self, to: Slot, max_len: usize) -> Option<Vec<u8>> {
        let mut bytes = encode_header(self.config.fleet_id, self.own_slot, self.incarnation);
        (self.outbox.fill_datagram(to, &mut bytes, max_len) > 0).then_some(bytes)
    }

    /// Returns the traffic since the start.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Checks the invariants of the entire shared state; for `ready` see [`OutlierReports::check`].
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant.
    pub fn check(&self, ready: &[(u32, u64)]) -> Result<(), Violation> {
        self.counting.counts.check()?;
        self.outlier_reports.check(ready)?;
        self.agreement.as_ref().map_or(Ok(()), AllocationAgreement::check)?;
        self.budgets.values().try_for_each(|shared| shared.budget.check())?;
        self.outbox.check()
    }
}
