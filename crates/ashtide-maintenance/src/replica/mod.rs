//! One gateway's part: it votes, reads the queue, proposes the changes that are due, and keeps out what the queue says.
//! One file a Paxos role; this one has what they share.

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

/// More time than this between two looks at the clock is a stall or a leap: as it is not known which, what another
/// gateway must have done meanwhile is not taken for done.
const MAX_OBSERVED_STEP: Duration = Duration::from_millis(100);
/// How often those that have not answered are asked again.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(150);

/// What a gateway reported with its last read.
struct PeerReport {
    received_at: Duration,
    incarnation: u64,
    sequence: u64,
    acting_version: u64,
    /// Open connections by token.
    open_connections: Vec<(u64, u32)>,
}

/// One gateway's replica of the maintenance queue.
pub struct Replica {
    config: ReplicaConfig,
    incarnation: u64,
    now: Duration,
    /// Time as far as this gateway has observed it pass.
    observed_time: Duration,
    acceptor: Option<Acceptor>,
    catch_up: Option<CatchUp>,
    leased_state: LeasedState,
    observations: Observations,
    proposer: Proposer,
    reader: Reader,
    peer_reports: BTreeMap<Slot, PeerReport>,
    /// Since when each machine's phase has been known here.
    phase_since: BTreeMap<String, Duration>,
    /// What the driver was told to keep out.
    cordoned: BTreeMap<String, CordonedMachine>,
    random_state: u64,
    assembler: MessageAssembler,
    /// Messages to this gateway itself.
    loopback: VecDeque<Message>,
    actions: VecDeque<Action>,
    metrics: ReplicaMetrics,
    mutation: ActiveMutation,
    /// Used by a mutation.
    has_unsynced_vote: bool,
}

impl Replica {
    /// A replica that begins now. `incarnation` is a number that no earlier process of this gateway had, whatever
    /// became of its disk: Unix milliseconds, or one more than what the disk says.
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

    /// Puts a mutation in; to be called before anything else.
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

    /// What the driver is to do next.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Sets what this gateway observes.
    pub fn set_observations(&mut self, observations: Observations) {
        self.observations = observations;
    }

    /// The last queue that it learned, and whether its lease lasts.
    #[must_use]
    pub fn queue(&self) -> (&MaintenanceQueue, bool) {
        (self.leased_state.queue(), self.has_lease())
    }

    /// For how long the phase of a machine has been known here.
    #[must_use]
    pub fn phase_age(&self, name: &str) -> Option<Duration> {
        self.phase_since.get(name).map(|&since| self.observed_time.saturating_sub(since))
    }

    /// Counts since the start.
    #[must_use]
    pub fn metrics(&self) -> &ReplicaMetrics {
        &self.metrics
    }

    /// Whether it votes: an acceptor that has lost its state catches up first.
    #[must_use]
    pub fn is_voting(&self) -> bool {
        self.acceptor.is_some()
    }

    /// The machines of this kind that it keeps out now.
    pub fn cordoned_machines(&self, kind: MachineKind) -> impl Iterator<Item = &str> {
        self.cordoned.iter().filter(move |(_, machine)| machine.kind == kind).map(|(name, _)| name.as_str())
    }

    /// Requests maintenance of a machine for an operator. Gives the number that comes back with its
    /// [`Action::Answer`]; none where [`MAX_PENDING_REQUESTS`] wait.
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

    /// Cancels the maintenance of a machine for an operator; as [`request`](Self::request).
    pub fn cancel(&mut self, name: &str) -> Option<u64> {
        self.enqueue_request(|request_id| Change::Cancel { request_id, name: name.to_owned() })
    }

    /// Ends the maintenance of a machine for an operator; as [`request`](Self::request).
    pub fn complete(&mut self, name: &str) -> Option<u64> {
        self.enqueue_request(|request_id| Change::Done { request_id, name: name.to_owned() })
    }

    /// Lets time pass; to be called at least every 100 ms.
    pub fn advance_to(&mut self, now: Duration) {
        self.update_clock(now);
        self.continue_catch_up();
        self.send_reads();
        self.propose();
        self.deliver_loopback();
        self.apply_leased_state();
    }

    /// Handles a datagram.
    ///
    /// # Errors
    ///
    /// Says why it is rejected.
    pub fn handle_datagram(&mut self, now: Duration, datagram: &[u8]) -> Result<(), DecodeError> {
        // First of all: a lease may have ended while this gateway slept.
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
            Some(passed) => self.observed_time += passed.min(MAX_OBSERVED_STEP),
            None => self.handle_clock_put_back(now),
        }
        self.now = now;
        self.proposer.give_up_after(self.config.timing.proposal_timeout, now);
        self.apply_leased_state();
    }

    /// Nobody knows how much time has passed.
    fn handle_clock_put_back(&mut self, now: Duration) {
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
        if self.peer_reports.get(&from).is_none_or(|known| order(known) < order(&report)) {
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

    /// Checks the invariants M2 to M6, as far as one gateway can see them.
    ///
    /// # Errors
    ///
    /// Names the first that does not hold.
    pub fn check(&self) -> Result<(), Violation> {
        self.leased_state.queue().check(&self.config.limits)?;
        self.proposer.check()?;
        self.reader.check()?;
        let found = self.peer_reports.len();
        let capacity = self.config.members.len();
        if found > capacity {
            return Err(Violation::OverFull { what: "the list of gateways heard", found, capacity });
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

/// Checks the invariant M1, which no gateway can see: what all gateways keep out together at one moment is no more than
/// may be out.
///
/// # Errors
///
/// Says how many are out, and which.
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
