//! Replica of the maintenance queue in one gateway: it votes, reads the queue, proposes the changes that are
//! due, and cordons the machines that are out. Each Paxos role has its own file; this file contains the
//! shared parts.

mod acceptor;
mod catch_up;
mod config;
mod due;
mod learner;
mod proposer;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use ashtide_fleet::state::{Slot, mix};

pub use config::{
    Action, Observations, PersistedVote, ReplicaConfig, ReplicaMetrics, RequestOutcome, TimingConfig,
};
pub use proposer::MAX_PENDING_REQUESTS;

use crate::assembler::MessageAssembler;
use crate::leased_state::LeasedState;
use crate::message::{DecodeError, Message, encode_message};
use crate::mutation::{ActiveMutation, Mutation};
use crate::paxos::{Acceptor, majority};
use crate::queue::{Change, MachineKind, MaintenanceQueue};
use crate::violation::Violation;
use catch_up::CatchUp;
use learner::{CordonedMachine, Reader};
use proposer::Proposer;

/// Longest step of the observed time. A longer time between two clock readings means that the process stalled
/// or the clock was set forward. Which of the two happened is unknown, so the excess doesn't count as time in
/// which another gateway's lease has expired.
const MAX_OBSERVED_STEP: Duration = Duration::from_millis(100);
/// Interval at which a request is sent again to acceptors that have not answered.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(150);

/// Report of a gateway with its last read.
struct PeerReport {
    received_at: Duration,
    incarnation: u64,
    sequence: u64,
    acting_version: u64,
    /// Number of open connections by fencing token.
    open_connections: Vec<(u64, u32)>,
}

/// One gateway's replica of the maintenance queue.
pub struct Replica {
    config: ReplicaConfig,
    incarnation: u64,
    now: Duration,
    /// Sum of the elapsed times between clock readings, each limited to [`MAX_OBSERVED_STEP`].
    observed_time: Duration,
    acceptor: Option<Acceptor>,
    catch_up: Option<CatchUp>,
    leased_state: LeasedState,
    observations: Observations,
    proposer: Proposer,
    reader: Reader,
    peer_reports: BTreeMap<Slot, PeerReport>,
    /// Observed time at which this gateway learned of the current phase, by machine name.
    phase_since: BTreeMap<String, Duration>,
    /// Machines that the driver was instructed to cordon, by name.
    cordoned: BTreeMap<String, CordonedMachine>,
    random_state: u64,
    assembler: MessageAssembler,
    /// Messages from this gateway to itself.
    loopback: VecDeque<Message>,
    actions: VecDeque<Action>,
    metrics: ReplicaMetrics,
    mutation: ActiveMutation,
    /// Whether a vote was answered but not persisted. Set only by the mutation `UnsyncedVote`.
    has_unsynced_vote: bool,
}

impl Replica {
    /// Creates a replica that starts at `now`. `incarnation` must differ from those of all earlier processes
    /// of this gateway, even if its disk was lost. Suitable numbers are the Unix time in milliseconds, or the
    /// persisted incarnation plus one.
    #[must_use]
    pub fn new(config: ReplicaConfig, incarnation: u64, vote: PersistedVote, now: Duration) -> Self {
        let (acceptor, catch_up) = match vote {
            _ if !config.is_acceptor() => (None, None),
            PersistedVote::Stored(state) => (Some(Acceptor::new(state)), None),
            PersistedVote::Lost => (None, Some(CatchUp::default())),
        };
        Self {
            leased_state: LeasedState::new(config.timing.lease),
            random_state: mix(incarnation, u64::from(config.own_slot.0)),
            config,
            incarnation,
            now,
            observed_time: Duration::ZERO,
            acceptor,
            catch_up,
            observations: Observations::default(),
            proposer: Proposer::default(),
            reader: Reader::default(),
            peer_reports: BTreeMap::new(),
            phase_since: BTreeMap::new(),
            cordoned: BTreeMap::new(),
            assembler: MessageAssembler::default(),
            loopback: VecDeque::new(),
            actions: VecDeque::new(),
            metrics: ReplicaMetrics::default(),
            mutation: ActiveMutation::default(),
            has_unsynced_vote: false,
        }
    }

    /// Activates a mutation. To be called before any other method.
    #[cfg(feature = "mutation")]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation.mutation = Some(mutation);
        self.leased_state.set_mutation(mutation);
        if mutation == Mutation::VoteWithoutCatchUp && self.catch_up.take().is_some() {
            self.acceptor = Some(Acceptor::default());
        }
        if let (Mutation::ActOnPersistedGrant, Some(acceptor)) = (mutation, &self.acceptor) {
            let queue = acceptor.state().queue.clone();
            self.leased_state.learn(self.now, self.now, &queue);
        }
    }

    /// Returns the next action of the driver.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Sets the current state of servers and gateways as seen by this gateway.
    pub fn set_observations(&mut self, observations: Observations) {
        self.observations = observations;
    }

    /// Returns the last learned queue, and whether its lease is valid.
    #[must_use]
    pub fn queue(&self) -> (&MaintenanceQueue, bool) {
        (self.leased_state.queue(), self.has_lease())
    }

    /// Returns the time since this gateway learned of a machine's current phase.
    #[must_use]
    pub fn phase_age(&self, name: &str) -> Option<Duration> {
        self.phase_since.get(name).map(|&since| self.observed_time.saturating_sub(since))
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn metrics(&self) -> &ReplicaMetrics {
        &self.metrics
    }

    /// Checks whether this gateway votes. An acceptor that has lost its state votes only after its catch-up.
    #[must_use]
    pub fn is_voting(&self) -> bool {
        self.acceptor.is_some()
    }

    /// Returns the names of the machines of this kind that this gateway has cordoned.
    pub fn cordoned_machines(&self, kind: MachineKind) -> impl Iterator<Item = &str> {
        self.cordoned.iter().filter(move |(_, machine)| machine.kind == kind).map(|(name, _)| name.as_str())
    }

    /// Requests maintenance of a machine for an operator. Returns the request id, which its
    /// [`Action::Answer`] contains, or `None` if [`MAX_PENDING_REQUESTS`] requests are pending.
    pub fn request(
        &mut self,
        kind: MachineKind,
        name: &str,
        reason: &str,
        requested_at_ms: u64,
    ) -> Option<u64> {
        self.enqueue_request(|request_id| Change::Request {
            request_id,
            kind,
            name: name.to_owned(),
            reason: reason.to_owned(),
            requested_at_ms,
        })
    }

    /// Cancels the maintenance of a machine for an operator. Returns the request id like
    /// [`request`](Self::request).
    pub fn cancel(&mut self, name: &str) -> Option<u64> {
        self.enqueue_request(|request_id| Change::Cancel { request_id, name: name.to_owned() })
    }

    /// Ends the maintenance of a machine for an operator. Returns the request id like
    /// [`request`](Self::request).
    pub fn complete(&mut self, name: &str) -> Option<u64> {
        self.enqueue_request(|request_id| Change::Done { request_id, name: name.to_owned() })
    }

    /// Advances the time to `now`, and sends what is due. To be called at least every 100 ms.
    pub fn advance_to(&mut self, now: Duration) {
        self.update_clock(now);
        self.continue_catch_up();
        self.send_reads();
        self.propose();
        self.deliver_loopback();
        self.apply_leased_state();
    }

    /// Handles a received datagram.
    ///
    /// # Errors
    ///
    /// Returns the reason why the datagram is rejected.
    pub fn handle_datagram(&mut self, now: Duration, datagram: &[u8]) -> Result<(), DecodeError> {
        // The clock is updated before the datagram is handled, because the lease may have expired during a
        // stall.
        self.update_clock(now);
        match self.decode(datagram) {
            Ok(Some((from, message))) => {
                self.handle_message(from, message);
                self.deliver_loopback();
                self.apply_leased_state();
                Ok(())
            }
            Ok(None) => Ok(()),
            Err(error) => {
                self.metrics.rejected_datagrams += 1;
                Err(error)
            }
        }
    }

    fn decode(&mut self, datagram: &[u8]) -> Result<Option<(Slot, Message)>, DecodeError> {
        let received = self.assembler.add_datagram(self.config.fleet_id, datagram)?;
        match &received {
            Some((from, _)) if *from == self.config.own_slot || !self.config.members.contains(from) => {
                Err(DecodeError::UnknownSender)
            }
            _ => Ok(received),
        }
    }

    fn update_clock(&mut self, now: Duration) {
        match now.checked_sub(self.now) {
            Some(elapsed) => self.observed_time += elapsed.min(MAX_OBSERVED_STEP),
            None => self.handle_clock_set_back(now),
        }
        self.now = now;
        self.proposer.cancel_expired(self.config.timing.proposal_timeout, now);
        self.apply_leased_state();
    }

    /// Ends the lease, the proposal and the reads, because the time since their start is unknown after the
    /// clock was set back.
    fn handle_clock_set_back(&mut self, now: Duration) {
        self.leased_state.invalidate();
        self.proposer.attempt = None;
        self.reader.restart(now);
    }

    fn handle_message(&mut self, from: Slot, message: Message) {
        match message {
            Message::Prepare { ballot } => self.handle_prepare(from, ballot),
            Message::Accept { ballot, queue } => self.handle_accept(from, ballot, &queue),
            Message::Promise { ballot, accepted, queue } => {
                self.handle_promise(from, ballot, accepted, queue);
            }
            Message::Accepted { ballot } => self.handle_accepted(from, ballot),
            Message::Nack { ballot, promised } => self.handle_nack(ballot, promised),
            Message::ReadRequest {
                incarnation,
                sequence,
                known_ballot,
                acting_version,
                open_connections,
            } => {
                let received_at = self.observed_time;
                self.record_report(
                    from,
                    PeerReport { received_at, incarnation, sequence, acting_version, open_connections },
                );
                self.handle_read_request(from, incarnation, sequence, known_ballot);
            }
            Message::ReadReply { incarnation, sequence, accepted, queue } => {
                if incarnation == self.incarnation {
                    self.handle_read_reply(from, sequence, accepted, queue);
                }
            }
            Message::CatchUpRequest { incarnation } => self.handle_catch_up_request(from, incarnation),
            Message::CatchUpReply { incarnation, state } => {
                if incarnation == self.incarnation {
                    self.handle_catch_up_reply(from, state);
                }
            }
        }
    }

    fn record_report(&mut self, from: Slot, report: PeerReport) {
        let order = |report: &PeerReport| (report.incarnation, report.sequence);
        if self.peer_reports.get(&from).is_none_or(|previous| order(previous) < order(&report)) {
            self.peer_reports.insert(from, report);
        }
    }

    fn send(&mut self, to: Slot, message: Message) {
        if to == self.config.own_slot {
            self.loopback.push_back(message);
            return;
        }
        for datagram in encode_message(self.config.fleet_id, self.config.own_slot, &message) {
            self.metrics.sent.record(datagram.len());
            self.actions.push_back(Action::Send(to, datagram));
        }
    }

    fn send_to_acceptors(&mut self, message: &Message) {
        for acceptor in self.config.acceptors.clone() {
            self.send(acceptor, message.clone());
        }
    }

    fn deliver_loopback(&mut self) {
        while let Some(message) = self.loopback.pop_front() {
            self.handle_message(self.config.own_slot, message);
        }
    }

    fn log(&mut self, line: &str) {
        self.actions.push_back(Action::Log(format!("maintenance: {line}")));
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.random_state = mix(self.random_state, 1);
        self.random_state % bound
    }

    fn has_lease(&self) -> bool {
        self.leased_state.valid_as_of(self.now).is_some()
    }

    fn quorum(&self) -> usize {
        if self.mutation.is(Mutation::MajorityOfResponders) {
            let present = self.config.acceptors.iter().filter(|&&acceptor| {
                acceptor == self.config.own_slot || self.observations.present_gateways.contains(&acceptor)
            });
            return majority(present.count());
        }
        majority(self.config.acceptors.len())
    }

    /// Checks the invariants M2 to M6 with the state of this gateway.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        self.leased_state.queue().check(&self.config.limits)?;
        self.proposer.check()?;
        self.reader.check()?;
        let found = self.peer_reports.len();
        let capacity = self.config.members.len();
        if found > capacity {
            return Err(Violation::OverFull { what: "the list of gateway reports", found, capacity });
        }
        let lease = self.config.timing.lease;
        match self.leased_state.requested_at().map(|requested_at| self.now.saturating_sub(requested_at)) {
            Some(age) if !self.cordoned.is_empty() && age > lease => {
                Err(Violation::LeaseExpired { age, lease })
            }
            _ => Ok(()),
        }
    }
}

/// Checks the invariant M1: the number of different machines that all gateways together cordon at a time is
/// at most `most`. A single gateway cannot check this.
///
/// # Errors
///
/// Returns [`Violation::TooManyOut`] with the number and names of the machines.
pub fn check_machines_out<'a>(
    most: usize,
    machines: impl IntoIterator<Item = &'a str>,
) -> Result<(), Violation> {
    let names: BTreeSet<&str> = machines.into_iter().collect();
    let found = names.len();
    if found <= most {
        return Ok(());
    }
    Err(Violation::TooManyOut { found, names: names.into_iter().collect::<Vec<_>>().join(", "), most })
}
