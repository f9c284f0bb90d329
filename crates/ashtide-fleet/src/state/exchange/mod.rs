//! Delivery: which gateway is sent what, when, in how many datagrams.
//!
//! Nothing is passed on, so nobody can speak for another and a late message is late by the network alone; a snapshot for
//! a gateway that starts is the one exception, and has counts only. What a gateway sends does not grow with the fleet:
//! of each key [`SAMPLE_SIZE`] gateways send their count to [`REPLICAS`] others, both by rendezvous hashing; a gateway
//! requests leases of [`GRANTORS_PER_BUDGET`] of a budget's grantors; evidence goes to a few peers at a time, and as
//! those who observed the same are many where it matters, each receives a quorum of them within seconds.

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

/// Peers that own evidence is sent to at a time, and commitments are.
const FANOUT: usize = 2;
/// Messages of evidence that one peer is sent at a time.
const MAX_EVIDENCE_PER_PEER: usize = MAX_QUEUED_MESSAGES / 4;
/// How often a gateway that starts requests a snapshot.
const SNAPSHOT_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// How long it waits for one.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);

/// The configuration of an exchange.
#[derive(Debug, Clone, Copy)]
pub struct ExchangeConfig {
    /// A number that the gateways of one tier have in common, and no other tier.
    pub fleet_id: u32,
    /// Slots of the settings' list: all that may be there.
    pub slot_count: u16,
    /// Datagrams that may be sent a second.
    pub datagrams_per_second: u32,
    /// The lengths of leases.
    pub lease: LeaseConfig,
    /// What outlier reports may do.
    pub outlier_limits: OutlierLimits,
}

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent.
    pub sent: DatagramCount,
    /// Messages that there was no room for: later ones replace them.
    pub dropped_messages: u64,
    /// Datagrams rejected, by reason.
    pub rejected: BTreeMap<DecodeError, u64>,
}

/// What is done now and then.
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

/// One gateway's shared state, and what it sends of it.
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
    /// When each of [`PeriodicTask::ALL`] is due.
    next_due: [Duration; PeriodicTask::ALL.len()],
    /// The peer that evidence was sent to last.
    next_evidence_peer: usize,
    started_at: Duration,
    is_started: bool,
    /// By the time since the start.
    next_snapshot_request: Duration,
    outbox: Outbox,
    traffic: Traffic,
}

impl Exchange {
    /// The exchange of the gateway at `own_slot`, in this incarnation. `seed` feeds its random choices.
    #[must_use]
    pub fn new(config: ExchangeConfig, own_slot: Slot, incarnation: u64, seed: u64, now: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Not at one moment for all gateways that are restarted together.
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

    /// Sets the other gateways that the view holds to be alive.
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

    /// Uses this gateway's shares no more, as another process has its slot now.
    pub fn relinquish(&mut self) {
        let now = self.now;
        self.budgets.values_mut().for_each(|shared| shared.budget.with_escrow(now, Escrow::relinquish));
    }

    /// Goes on as a later incarnation, as others know one that is later than this one was. What it held of others is
    /// that process's or lost, and for a lease it lends nothing, as that process may have lent. What is in use stays
    /// counted.
    pub fn restart(&mut self, incarnation: u64) {
        let now = self.now;
        self.reset_counts(incarnation);
        self.outlier_reports.restart(incarnation);
        for shared in self.budgets.values_mut() {
            shared.budget.with_escrow(now, |escrow| escrow.restart(incarnation));
        }
    }

    /// The other gateways that the view holds to be alive.
    #[must_use]
    pub fn peers(&self) -> &[Slot] {
        &self.peers
    }

    /// The outlier reports, to be read.
    #[must_use]
    pub fn outlier_reports(&self) -> &OutlierReports {
        &self.outlier_reports
    }

    /// The outlier reports.
    pub fn outlier_reports_mut(&mut self) -> &mut OutlierReports {
        &mut self.outlier_reports
    }

    /// True once a peer has sent a snapshot, or none has for as long as is waited: until then nothing is decided by
    /// shared state, afterwards by what there is.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.is_started
    }

    fn enqueue(&mut self, to: Slot, message: StateMessage) {
        self.traffic.dropped_messages += self.outbox.enqueue(to, message);
    }

    /// Sets the time and does no more: before budgets are spent at a time that [`advance_to`](Self::advance_to) has not
    /// been told, as to them a time before the last is a clock that was put back.
    pub fn set_time(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.now);
        self.outbox.add_tokens(f64::from(self.config.datagrams_per_second), passed);
        self.now = now;
    }

    /// Lets time pass; to be called every 50 ms.
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
                // A clock that is put back does not silence it.
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
            // In turn, from a random one on: by chance alone one in a few receives it when it is old.
            self.next_evidence_peer = (self.next_evidence_peer + 1) % self.peers.len();
            let peer = self.peers[self.next_evidence_peer];
            for &message in evidence.iter().take(MAX_EVIDENCE_PER_PEER) {
                self.enqueue(peer, StateMessage::Evidence(message));
            }
        }
    }

    /// The next datagram to be sent, and to which gateway: the most useful first, several messages in one.
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

    /// A datagram of at most `room` bytes for `to`, which is sent to anyway: it is carried with the view's.
    pub fn piggyback_datagram(&mut self, to: Slot, room: usize) -> Option<Vec<u8>> {
        let mut bytes = encode_header(self.config.fleet_id, self.own_slot, self.incarnation);
        (self.outbox.fill_datagram(to, &mut bytes, room) > 0).then_some(bytes)
    }

    /// Counts since the start.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Checks the invariants of all of it; `ready` as in [`OutlierReports::check`].
    ///
    /// # Errors
    ///
    /// Names the first that does not hold.
    pub fn check(&self, ready: &[(u32, u64)]) -> Result<(), Violation> {
        self.counting.counts.check()?;
        self.outlier_reports.check(ready)?;
        self.agreement.as_ref().map_or(Ok(()), AllocationAgreement::check)?;
        self.budgets.values().try_for_each(|shared| shared.budget.check())?;
        self.outbox.check()
    }
}
