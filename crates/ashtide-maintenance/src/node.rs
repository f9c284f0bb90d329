//! One gateway's part: it votes, asks how things stand, proposes what is due, and keeps out what it knows to be out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use ashtide_fleet::state::{Slot, mix, rendezvous};
use bytes::Bytes;

use crate::broken::{ActiveMutation, Mutation};
use crate::message::{DecodeError, Message, MessageAssembler, encode_message};
use crate::register::{Acceptor, AcceptorState, Ballot, LeasedState, Proposal, majority};
use crate::table::{Change, ChangeRejected, Limits, MachineKind, MaintenanceQueue, Phase};
use crate::violation::Violation;

/// Operators' calls that wait at a gateway.
pub const MAX_PENDING_REQUESTS: usize = 16;
/// How long an operator's call is tried.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// More time than this between two looks at the clock is a stall or a leap: as it is not known which, what another
/// gateway must have done meanwhile is not taken for done.
const MAX_OBSERVED_STEP: Duration = Duration::from_millis(100);
/// How often a round asks those again that are silent.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(150);
/// Asks that are waited for at a time; the oldest goes.
const MAX_OUTSTANDING_READS: usize = 4;
/// Values kept by their ballots.
const MAX_KNOWN_VALUES: usize = 4;
/// Changes of one round.
const MAX_CHANGES_PER_PROPOSAL: usize = 16;

/// Lengths of time, the same at all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TimingConfig {
    /// How long what is known may be acted on, from when it was asked for.
    pub lease: Duration,
    /// By how much longer others wait: for clocks that run differently.
    pub margin: Duration,
    /// How long a round may take.
    pub proposal_timeout: Duration,
    /// How often a gateway asks.
    pub read_interval: Duration,
    /// How much longer each further gateway waits before it does what another should have.
    pub takeover_step: Duration,
    /// How long a drain may last.
    pub max_drain: Duration,
    /// How long a machine stays out at most, once drained.
    pub max_work: Duration,
    /// Whether a server that is drained is back at once, nobody being waited for.
    pub return_when_drained: bool,
}

impl Default for TimingConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            margin: Duration::from_secs(1),
            proposal_timeout: Duration::from_secs(2),
            read_interval: Duration::from_millis(500),
            takeover_step: Duration::from_millis(500),
            max_drain: Duration::from_secs(60),
            max_work: Duration::from_secs(3600),
            return_when_drained: false,
        }
    }
}

/// Who is who.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaConfig {
    /// The tier's key.
    pub tier: u32,
    /// This gateway.
    pub own_slot: Slot,
    /// All gateways that may be there; the same at all of them.
    pub members: Vec<Slot>,
    /// Those that vote, some of `members`; the same at all gateways.
    pub acceptors: Vec<Slot>,
    /// What may be out.
    pub limits: Limits,
    /// How long things last.
    pub timing: TimingConfig,
}

/// What a voter brings from its last life.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PersistedVote {
    /// Its vote.
    Stored(AcceptorState),
    /// None is there, or it cannot be read.
    Lost,
}

/// What this gateway sees for itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Observations {
    /// Servers that are ready.
    pub ready_servers: BTreeSet<String>,
    /// Connections that it has with each server.
    pub open_connections: BTreeMap<String, u32>,
    /// Gateways that may still have connections: a drain is over once all of them have said that they have none.
    pub present_gateways: BTreeSet<Slot>,
}

/// What has become of an operator's call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It is done, and a majority has it on disk.
    Committed,
    /// It is not done.
    Rejected(ChangeRejected),
    /// No majority answered in time; it may be done yet. Asking again does no harm.
    Unknown,
}

/// What the driver is to do, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Have this on disk before anything after it is done.
    Persist(Box<AcceptorState>),
    /// Send it.
    Send(Slot, Bytes),
    /// Send nothing new to it, and move what it holds.
    Drain {
        /// What it is.
        kind: MachineKind,
        /// Which.
        name: String,
        /// The grant's token.
        token: u64,
    },
    /// It is back.
    Return {
        /// What it is.
        kind: MachineKind,
        /// Which.
        name: String,
    },
    /// Answer an operator.
    Answer {
        /// The call.
        request_id: u64,
        /// What has become of it.
        outcome: RequestOutcome,
    },
    /// A line for the log.
    Log(String),
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaMetrics {
    /// Rounds begun.
    pub proposals: u64,
    /// Rounds that a majority took.
    pub chosen: u64,
    /// Changes under an old token that were refused.
    pub fenced: u64,
    /// Datagrams sent, and their bytes.
    pub sent: (u64, u64),
    /// Datagrams that were not heard.
    pub rejected_datagrams: u64,
    /// How often this gateway had to stop keeping machines out because it had heard nothing for a lease.
    pub lease_lapses: u64,
}

struct ClientRequest {
    change: Change,
    request_id: u64,
    expires_at: Duration,
}

struct OutstandingRead {
    sequence: u64,
    sent_at: Duration,
    answers: BTreeMap<Slot, Ballot>,
}

/// A round, what it is to change, and what became of that.
struct ProposalAttempt {
    proposal: Proposal,
    changes: Vec<Change>,
    results: Vec<Result<(), ChangeRejected>>,
}

/// What a gateway said with its last ask.
struct PeerReport {
    received_at: Duration,
    incarnation: u64,
    sequence: u64,
    acting_version: u64,
    open_connections: Vec<(u64, u32)>,
}

struct CatchUp {
    started_at: Duration,
    next_request_at: Duration,
    replies: BTreeMap<Slot, Option<AcceptorState>>,
}

/// One gateway.
pub struct Replica {
    config: ReplicaConfig,
    incarnation: u64,
    now: Duration,
    /// Time as far as this gateway has seen it pass.
    observed_time: Duration,
    acceptor: Option<Acceptor>,
    catch_up: Option<CatchUp>,
    leased_state: LeasedState,
    observations: Observations,
    attempt: Option<ProposalAttempt>,
    retransmit_at: Duration,
    highest_round: u32,
    propose_not_before: Duration,
    pending_requests: VecDeque<ClientRequest>,
    outstanding_reads: VecDeque<OutstandingRead>,
    next_read_at: Duration,
    last_read_sequence: u64,
    split_reads: u32,
    known_values: BTreeMap<Ballot, MaintenanceQueue>,
    peer_reports: BTreeMap<Slot, PeerReport>,
    /// Since when each machine's phase is known here.
    phase_since: BTreeMap<String, (u64, Duration)>,
    due_since: Option<(u64, Duration)>,
    /// What the driver was told to keep out.
    kept_out: BTreeMap<String, (MachineKind, u64)>,
    request_count: u64,
    random_state: u64,
    assembler: MessageAssembler,
    loopback: VecDeque<Message>,
    actions: VecDeque<Action>,
    metrics: ReplicaMetrics,
    mutation: ActiveMutation,
    has_unsynced_vote: bool,
}

impl Replica {
    /// A life that begins now. `life` is a number that no earlier life of this gateway had, whatever became of its disk:
    /// Unix milliseconds, or one more than what the disk says.
    #[must_use]
    pub fn new(setup: ReplicaConfig, life: u64, memory: PersistedVote, now: Duration) -> Self {
        let knowledge = LeasedState::new(setup.timing.lease);
        let votes = setup.acceptors.contains(&setup.own_slot);
        let (mut voter, mut recall) = (None, None);
        match memory {
            PersistedVote::Stored(vote) if votes => voter = Some(Acceptor::new(vote)),
            PersistedVote::Lost if votes => {
                recall = Some(CatchUp {
                    started_at: Duration::ZERO,
                    next_request_at: Duration::ZERO,
                    replies: BTreeMap::new(),
                });
            }
            _ => {}
        }
        let chance = mix(life, u64::from(setup.own_slot.0));
        Self {
            config: setup,
            incarnation: life,
            now,
            observed_time: Duration::ZERO,
            acceptor: voter,
            catch_up: recall,
            leased_state: knowledge,
            observations: Observations::default(),
            attempt: None,
            retransmit_at: Duration::ZERO,
            highest_round: 0,
            propose_not_before: Duration::ZERO,
            pending_requests: VecDeque::new(),
            outstanding_reads: VecDeque::new(),
            next_read_at: Duration::ZERO,
            last_read_sequence: 0,
            split_reads: 0,
            known_values: BTreeMap::from([(Ballot::NONE, MaintenanceQueue::default())]),
            peer_reports: BTreeMap::new(),
            phase_since: BTreeMap::new(),
            due_since: None,
            kept_out: BTreeMap::new(),
            request_count: 0,
            random_state: chance,
            assembler: MessageAssembler::default(),
            loopback: VecDeque::new(),
            actions: VecDeque::new(),
            metrics: ReplicaMetrics::default(),
            mutation: ActiveMutation::default(),
            has_unsynced_vote: false,
        }
    }

    /// Puts a fault in; to be called before anything else.
    #[cfg(feature = "broken")]
    pub fn set_mutation(&mut self, broken: Mutation) {
        self.mutation.mutation = Some(broken);
        self.leased_state.set_mutation(broken);
        if broken == Mutation::VoteWithoutCatchUp && self.catch_up.take().is_some() {
            self.acceptor = Some(Acceptor::default());
        }
        if let (Mutation::ActOnPersistedGrant, Some(voter)) = (broken, &self.acceptor) {
            let table = voter.state().queue.clone();
            self.leased_state.learn(self.now, self.now, &table);
        }
    }

    /// What it does next.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// What this gateway sees for itself has changed.
    pub fn set_observations(&mut self, facts: Observations) {
        self.observations = facts;
    }

    /// The last table that it heard of, and whether that is new enough to act on.
    #[must_use]
    pub fn queue(&self) -> (&MaintenanceQueue, bool) {
        (self.leased_state.queue(), self.leased_state.valid_as_of(self.now).is_some())
    }

    /// For how long the phase of a machine has been known here.
    #[must_use]
    pub fn phase_age(&self, name: &str) -> Option<Duration> {
        self.phase_since.get(name).map(|&(_, since)| self.observed_time.saturating_sub(since))
    }

    /// Counts since the start.
    #[must_use]
    pub fn metrics(&self) -> &ReplicaMetrics {
        &self.metrics
    }

    /// Whether it votes, or is yet to learn what it must not forget.
    #[must_use]
    pub fn is_voting(&self) -> bool {
        self.acceptor.is_some()
    }

    /// The machines of this kind that it keeps out now.
    pub fn machines_kept_out(&self, kind: MachineKind) -> impl Iterator<Item = &str> {
        self.kept_out.iter().filter(move |(_, it)| it.0 == kind).map(|(name, _)| name.as_str())
    }

    /// An operator asks for a machine; the call's number comes back with its [`Action::Answer`].
    pub fn request(&mut self, kind: MachineKind, name: &str, reason: &str, asked_ms: u64) -> Option<u64> {
        let (name, reason) = (name.to_owned(), reason.to_owned());
        self.enqueue_request(|call| Change::Request {
            request_id: call,
            kind,
            name,
            reason,
            requested_at_ms: asked_ms,
        })
    }

    /// An operator no longer wants a machine out.
    pub fn cancel(&mut self, name: &str) -> Option<u64> {
        self.enqueue_request(|call| Change::Cancel { request_id: call, name: name.to_owned() })
    }

    /// An operator has finished with a machine.
    pub fn complete(&mut self, name: &str) -> Option<u64> {
        self.enqueue_request(|call| Change::Done { request_id: call, name: name.to_owned() })
    }

    /// Nothing where [`MAX_WAITING`] wait already.
    fn enqueue_request(&mut self, change: impl FnOnce(u64) -> Change) -> Option<u64> {
        if self.pending_requests.len() >= MAX_PENDING_REQUESTS {
            return None;
        }
        self.request_count += 1;
        let call = mix(mix(self.incarnation, u64::from(self.config.own_slot.0)), self.request_count);
        self.pending_requests.push_back(ClientRequest {
            change: change(call),
            request_id: call,
            expires_at: self.observed_time + REQUEST_TIMEOUT,
        });
        Some(call)
    }

    /// Time has come to this; to be told at least every 100 ms.
    pub fn advance_to(&mut self, now: Duration) {
        self.update_clock(now);
        self.continue_catch_up();
        self.send_reads();
        self.propose();
        self.deliver_loopback();
        self.apply_leased_state();
    }

    /// A datagram has come.
    ///
    /// # Errors
    ///
    /// Says why it is not heard.
    pub fn handle_datagram(&mut self, now: Duration, datagram: &[u8]) -> Result<(), DecodeError> {
        // First of all: what was known when this gateway fell asleep may be old by now.
        self.update_clock(now);
        let heard = self.assembler.add_datagram(self.config.tier, datagram).and_then(|whole| match whole {
            Some((from, _)) if from == self.config.own_slot || !self.config.members.contains(&from) => {
                Err(DecodeError::UnknownSender)
            }
            whole => Ok(whole),
        });
        match heard {
            Ok(Some((from, message))) => {
                self.handle_message(from, message);
                self.deliver_loopback();
                self.apply_leased_state();
                Ok(())
            }
            Ok(None) => Ok(()),
            Err(why) => {
                self.metrics.rejected_datagrams += 1;
                Err(why)
            }
        }
    }

    fn update_clock(&mut self, now: Duration) {
        match now.checked_sub(self.now) {
            Some(passed) => self.observed_time += passed.min(MAX_OBSERVED_STEP),
            None => {
                // Nobody knows how long it really was.
                self.leased_state.invalidate();
                self.attempt = None;
                self.outstanding_reads.clear();
                self.next_read_at = now;
            }
        }
        self.now = now;
        if self.attempt.as_ref().is_some_and(|ProposalAttempt { proposal: round, .. }| {
            now >= round.started_at + self.config.timing.proposal_timeout
        }) {
            self.attempt = None;
        }
        self.apply_leased_state();
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.random_state = mix(self.random_state, 1);
        self.random_state % below
    }

    fn send(&mut self, to: Slot, message: Message) {
        if to == self.config.own_slot {
            self.loopback.push_back(message);
            return;
        }
        for datagram in encode_message(self.config.tier, self.config.own_slot, &message) {
            self.metrics.sent.0 += 1;
            self.metrics.sent.1 += datagram.len() as u64;
            self.actions.push_back(Action::Send(to, datagram));
        }
    }

    fn deliver_loopback(&mut self) {
        while let Some(message) = self.loopback.pop_front() {
            self.handle_message(self.config.own_slot, message);
        }
    }

    fn log(&mut self, line: String) {
        self.actions.push_back(Action::Log(format!("maintenance: {line}")));
    }

    fn persist_vote(&mut self) {
        if let Some(voter) = &self.acceptor {
            self.actions.push_back(Action::Persist(Box::new(voter.state().clone())));
        }
    }

    fn quorum(&self) -> usize {
        if self.mutation.is(Mutation::MajorityOfResponders) {
            let there = self.config.acceptors.iter().filter(|&&it| {
                it == self.config.own_slot || self.observations.present_gateways.contains(&it)
            });
            return majority(there.count());
        }
        majority(self.config.acceptors.len())
    }

    fn remember_value(&mut self, ballot: Ballot, table: MaintenanceQueue) {
        self.highest_round = self.highest_round.max(ballot.round);
        self.known_values.insert(ballot, table);
        while self.known_values.len() > MAX_KNOWN_VALUES {
            self.known_values.pop_first();
        }
    }

    fn handle_message(&mut self, from: Slot, message: Message) {
        match message {
            Message::Prepare { ballot } => {
                let Some(voter) = &mut self.acceptor else { return };
                let answer = match voter.prepare(ballot) {
                    Ok(news) => {
                        let AcceptorState { accepted, queue: table, .. } = voter.state().clone();
                        self.persist_if_changed(news);
                        Message::Promise { ballot, accepted, queue: table }
                    }
                    Err(behind) => Message::Nack { ballot, promised: behind.0 },
                };
                self.send(from, answer);
            }
            Message::Accept { ballot, queue: table } => {
                let Some(voter) = &mut self.acceptor else { return };
                let answer = match voter.accept(ballot, &table) {
                    Ok(news) => {
                        self.persist_if_changed(news);
                        Message::Accepted { ballot }
                    }
                    Err(behind) => Message::Nack { ballot, promised: behind.0 },
                };
                self.send(from, answer);
            }
            Message::Promise { ballot, accepted, queue: table } => {
                self.handle_promise(from, ballot, accepted, table)
            }
            Message::Accepted { ballot } => {
                if self.attempt.as_mut().is_some_and(|ProposalAttempt { proposal: round, .. }| {
                    round.handle_accepted(from, ballot)
                }) {
                    self.handle_chosen();
                }
            }
            Message::Nack { ballot, promised } => {
                self.highest_round = self.highest_round.max(promised.round);
                if self
                    .attempt
                    .as_ref()
                    .is_some_and(|ProposalAttempt { proposal: round, .. }| round.ballot == ballot)
                {
                    self.attempt = None;
                    self.propose_not_before =
                        self.observed_time + Duration::from_millis(50 + self.random_below(350));
                }
            }
            Message::ReadRequest {
                incarnation: life,
                sequence: number,
                known_ballot: known,
                acting_version: acts,
                open_connections: open,
            } => {
                let (at, later) = (self.observed_time, (life, number));
                if self.peer_reports.get(&from).is_none_or(|it| (it.incarnation, it.sequence) < later) {
                    self.peer_reports.insert(
                        from,
                        PeerReport {
                            received_at: at,
                            incarnation: life,
                            sequence: number,
                            acting_version: acts,
                            open_connections: open,
                        },
                    );
                }
                let Some(voter) = &self.acceptor else { return };
                let AcceptorState { accepted, queue: table, .. } = voter.state();
                let (accepted, table) = (*accepted, (*accepted != known).then(|| table.clone()));
                self.send(
                    from,
                    Message::ReadReply { incarnation: life, sequence: number, accepted, queue: table },
                );
            }
            Message::ReadReply { incarnation: life, sequence: number, accepted, queue: table }
                if life == self.incarnation =>
            {
                if let Some(table) = table {
                    self.remember_value(accepted, table);
                }
                self.handle_read_reply(from, number, accepted);
            }
            Message::CatchUpRequest { incarnation: life } => {
                let memory = self.acceptor.as_ref().map(|voter| voter.state().clone());
                self.send(from, Message::CatchUpReply { incarnation: life, state: memory });
            }
            Message::CatchUpReply { incarnation: life, state: memory } if life == self.incarnation => {
                if let Some(recall) = &mut self.catch_up {
                    recall.replies.insert(from, memory);
                }
                self.finish_catch_up();
            }
            Message::ReadReply { .. } | Message::CatchUpReply { .. } => {}
        }
    }

    fn persist_if_changed(&mut self, news: bool) {
        if news && self.mutation.is(Mutation::UnsyncedVote) {
            self.has_unsynced_vote = true;
        } else if news {
            self.persist_vote();
        }
    }

    fn handle_promise(&mut self, from: Slot, ballot: Ballot, accepted: Ballot, table: MaintenanceQueue) {
        self.highest_round = self.highest_round.max(accepted.round);
        let Some(ProposalAttempt { proposal: round, changes, results }) = &mut self.attempt else { return };
        let Some(mut table) = round.handle_promise(from, ballot, accepted, table) else { return };
        let (rules, ready) = (&self.config.limits, &self.observations.ready_servers);
        *results =
            changes.iter().map(|change| table.apply_mutated(change, rules, ready, self.mutation)).collect();
        let fenced = |it: &&Result<(), ChangeRejected>| **it == Err(ChangeRejected::Fenced);
        self.metrics.fenced += results.iter().filter(fenced).count() as u64;
        let told: Vec<String> = changes
            .iter()
            .zip(results.iter())
            .filter(|(_, result)| **result == Err(ChangeRejected::Fenced))
            .map(|(change, _)| format!("state=fenced change={change:?}"))
            .collect();
        round.propose(table.clone());
        told.into_iter().for_each(|line| self.log(line));
        self.retransmit_at = self.observed_time + RETRANSMIT_INTERVAL;
        for voter in self.config.acceptors.clone() {
            self.send(voter, Message::Accept { ballot, queue: table.clone() });
        }
    }

    fn handle_chosen(&mut self) {
        let Some(ProposalAttempt { proposal: round, changes, results }) = self.attempt.take() else { return };
        self.metrics.chosen += 1;
        let Some(table) = round.proposed().cloned() else { return };
        self.remember_value(round.ballot, table.clone());
        for (change, result) in changes.iter().zip(results) {
            let call = match change {
                Change::Request { request_id: call, .. }
                | Change::Cancel { request_id: call, .. }
                | Change::Done { request_id: call, .. } => *call,
                _ => continue,
            };
            let Some(at) = self.pending_requests.iter().position(|wish| wish.request_id == call) else {
                continue;
            };
            self.pending_requests.remove(at);
            let outcome = result.map_or_else(RequestOutcome::Rejected, |()| RequestOutcome::Committed);
            self.actions.push_back(Action::Answer { request_id: call, outcome });
        }
        self.split_reads = 0;
        self.learn(round.started_at, &table);
    }

    fn handle_read_reply(&mut self, from: Slot, number: u64, accepted: Ballot) {
        let needed = self.quorum();
        let Some(at) = self.outstanding_reads.iter().position(|ask| ask.sequence == number) else { return };
        let ask = &mut self.outstanding_reads[at];
        if !self.config.acceptors.contains(&from) {
            return;
        }
        ask.answers.insert(from, accepted);
        // What a majority has of one ballot is chosen; anything chosen before the ask would have shown in one answer.
        if ask.answers.values().filter(|&&it| it == accepted).count() >= needed {
            let began = ask.sent_at;
            self.split_reads = 0;
            self.outstanding_reads.drain(..=at);
            if let Some(table) = self.known_values.get(&accepted).cloned() {
                self.learn(began, &table);
            }
        }
    }

    fn learn(&mut self, asked: Duration, table: &MaintenanceQueue) {
        let before = self.leased_state.queue().clone();
        if !self.leased_state.learn(asked, self.now, table) || before.version == table.version {
            return;
        }
        for row in &table.entries {
            let was = before.entries.iter().find(|it| it.name == row.name);
            if was.is_some_and(|it| it.phase_version == row.phase_version) {
                continue;
            }
            self.phase_since.insert(row.name.clone(), (row.phase_version, self.observed_time));
            let name = &row.name;
            let line = match row.phase {
                Phase::Queued => format!("state=queued name={name} call={}", row.request_id),
                Phase::Draining { token, holder } => {
                    format!("state=draining name={name} token={token} holder={}", holder.0)
                }
                Phase::Out { token, holder } => {
                    format!("state=out name={name} token={token} holder={}", holder.0)
                }
                Phase::Released { token } => format!("state=released name={name} token={token}"),
            };
            self.log(line);
        }
        for row in &before.entries {
            if !table.entries.iter().any(|it| it.name == row.name) {
                self.phase_since.remove(&row.name);
                self.log(format!("state=gone name={} token={}", row.name, row.phase.token().unwrap_or(0)));
            }
        }
    }

    /// Tells the driver what is kept out now, where that is not what it was told.
    fn apply_leased_state(&mut self) {
        let table = self.leased_state.queue();
        let fresh = self.leased_state.valid_as_of(self.now).is_some();
        let wanted: BTreeMap<String, (MachineKind, u64)> = match fresh {
            true => table.machines_out().map(|(row, token)| (row.name.clone(), (row.kind, token))).collect(),
            false => BTreeMap::new(),
        };
        if wanted == self.kept_out {
            return;
        }
        if !fresh {
            self.metrics.lease_lapses += 1;
            self.log(format!("state=lapsed machines={}", self.kept_out.len()));
        }
        for (name, &(kind, _)) in &self.kept_out {
            if !wanted.contains_key(name) {
                self.actions.push_back(Action::Return { kind, name: name.clone() });
            }
        }
        for (name, &(kind, token)) in &wanted {
            if !self.kept_out.contains_key(name) {
                self.actions.push_back(Action::Drain { kind, name: name.clone(), token });
            }
        }
        self.kept_out = wanted;
    }

    fn continue_catch_up(&mut self) {
        // Longer than any round may use what this voter answered in its earlier life.
        let quiet = self.config.timing.proposal_timeout * 2 + self.config.timing.margin;
        let now = self.observed_time;
        let Some(recall) = &mut self.catch_up else { return };
        if now < recall.started_at + quiet || now < recall.next_request_at {
            return;
        }
        recall.next_request_at = now + RETRANSMIT_INTERVAL * 3;
        let (own, life) = (self.config.own_slot, self.incarnation);
        for voter in self.config.acceptors.clone() {
            if voter != own {
                self.send(voter, Message::CatchUpRequest { incarnation: life });
            }
        }
        self.finish_catch_up();
    }

    /// Others tell what may have been forgotten: as many as meet every majority that this voter was part of.
    fn finish_catch_up(&mut self) {
        let Some(recall) = &self.catch_up else { return };
        let others = self.config.acceptors.len() - 1;
        let needed = self.config.acceptors.len() - majority(self.config.acceptors.len()) + 1;
        let kept: Vec<&AcceptorState> = recall.replies.values().flatten().collect();
        let blank =
            recall.replies.values().all(|it| it.as_ref().is_none_or(|it| *it == AcceptorState::default()));
        let founds = recall.replies.len() == others
            && blank
            && self.observed_time >= recall.started_at + self.config.timing.proposal_timeout;
        if kept.len() < needed && !founds {
            return;
        }
        let newest = kept.iter().max_by_key(|it| it.accepted).copied().cloned().unwrap_or_default();
        let promised = kept.iter().map(|it| it.promised).max().unwrap_or_default();
        self.catch_up = None;
        let version = newest.queue.version;
        self.acceptor = Some(Acceptor::new(AcceptorState { promised, ..newest }));
        self.persist_vote();
        let state = if founds { "founded" } else { "recalled" };
        self.log(format!("state={state} version={version}"));
    }

    fn send_reads(&mut self) {
        if self.now < self.next_read_at {
            return;
        }
        self.next_read_at = self.now + self.config.timing.read_interval;
        if self.last_read_sequence % 8 == 0 && std::mem::take(&mut self.has_unsynced_vote) {
            self.persist_vote();
        }
        if self.outstanding_reads.len() >= MAX_OUTSTANDING_READS {
            if let Some(ask) = self.outstanding_reads.pop_front() {
                self.split_reads += u32::from(ask.answers.len() >= majority(self.config.acceptors.len()));
            }
        }
        self.last_read_sequence += 1;
        let (life, number) = (self.incarnation, self.last_read_sequence);
        let known = self.known_values.last_key_value().map_or(Ballot::NONE, |(ballot, _)| *ballot);
        let fresh = self.leased_state.valid_as_of(self.now).is_some();
        let acts = if fresh { self.leased_state.queue().version } else { 0 };
        let held = |(name, &(_, token)): (&String, &(MachineKind, u64))| {
            (token, self.observations.open_connections.get(name).copied().unwrap_or(0))
        };
        let open = self.kept_out.iter().map(held).collect::<Vec<_>>();
        self.outstanding_reads.push_back(OutstandingRead {
            sequence: number,
            sent_at: self.now,
            answers: BTreeMap::new(),
        });
        for voter in self.config.acceptors.clone() {
            self.send(
                voter,
                Message::ReadRequest {
                    incarnation: life,
                    sequence: number,
                    known_ballot: known,
                    acting_version: acts,
                    open_connections: open.clone(),
                },
            );
        }
    }

    /// What is due by what is known: what falls to this gateway alone, and what any voter may do.
    fn due_changes(&self) -> (Vec<Change>, Vec<Change>) {
        let (mut own, mut any) = (Vec::new(), Vec::new());
        let (table, terms) = (self.leased_state.queue(), &self.config.timing);
        let silent = terms.lease + terms.margin;
        for row in &table.entries {
            let age = self.phase_age(&row.name).unwrap_or_default();
            let name = row.name.clone();
            match row.phase {
                Phase::Queued => {}
                Phase::Released { token } => {
                    let heard = |slot: &Slot| {
                        *slot == self.config.own_slot
                            || self
                                .peer_reports
                                .get(slot)
                                .is_some_and(|it| it.acting_version >= row.phase_version)
                    };
                    if age >= silent || self.config.members.iter().all(heard) {
                        any.push(Change::Removed { name, token });
                    }
                }
                Phase::Draining { token, holder } | Phase::Out { token, holder }
                    if holder != self.config.own_slot =>
                {
                    let since = self.peer_reports.get(&holder).map_or(Duration::ZERO, |it| it.received_at);
                    if self.observed_time >= since + silent {
                        any.push(Change::TakeOver { name, token, holder: self.config.own_slot });
                    }
                }
                Phase::Draining { token, .. } => {
                    let none = |slot: &&Slot| {
                        let said = self.peer_reports.get(slot).map(|it| &it.open_connections);
                        said.is_some_and(|open| open.contains(&(token, 0)))
                    };
                    let gone = self.observations.open_connections.get(&row.name).copied().unwrap_or(0) == 0
                        && self
                            .observations
                            .present_gateways
                            .iter()
                            .filter(|&&it| it != self.config.own_slot)
                            .all(|it| none(&it));
                    if gone || age >= terms.max_drain || row.kind == MachineKind::Gateway {
                        let back = terms.return_when_drained && row.kind == MachineKind::Server;
                        own.push(Change::Drained { name, token, return_at_once: back });
                    }
                }
                Phase::Out { token, .. } => {
                    if age >= terms.max_work {
                        own.push(Change::Expired { name, token });
                    }
                }
            }
        }
        let mut after = table.clone();
        for kind in [MachineKind::Server, MachineKind::Gateway] {
            while let Some(row) = after.next_queued(kind) {
                let grant = Change::Grant { name: row.name.clone(), holder: self.config.own_slot };
                if after.apply(&grant, &self.config.limits, &self.observations.ready_servers).is_err() {
                    break;
                }
                any.push(grant);
            }
        }
        if self.split_reads >= 2 {
            any.push(Change::Nothing);
        }
        (own, any)
    }

    /// How many of those that are there come before this one to do what any may.
    fn takeover_rank(&self) -> u32 {
        let own = self.config.own_slot;
        let silent = self.config.timing.lease + self.config.timing.margin;
        let lately = |slot: &Slot| {
            self.peer_reports.get(slot).is_some_and(|it| self.observed_time < it.received_at + silent)
        };
        let there = |slot: &Slot| *slot == own || self.peer_reports.is_empty() || lately(slot);
        let voters = self.config.acceptors.iter().copied().filter(there);
        let ranked = rendezvous(self.leased_state.queue().version, voters, self.config.acceptors.len());
        ranked.iter().position(|&it| it == own).unwrap_or(ranked.len()) as u32
    }

    fn propose(&mut self) {
        for _ in 0..self.pending_requests.len() {
            if let Some(wish) = self.pending_requests.pop_front() {
                if wish.expires_at > self.observed_time {
                    self.pending_requests.push_back(wish);
                } else {
                    self.actions.push_back(Action::Answer {
                        request_id: wish.request_id,
                        outcome: RequestOutcome::Unknown,
                    });
                }
            }
        }
        if self.attempt.is_some() {
            self.retransmit();
            return;
        }
        let mut changes: Vec<Change> = self.pending_requests.iter().map(|wish| wish.change.clone()).collect();
        if self.config.acceptors.contains(&self.config.own_slot)
            && (self.leased_state.valid_as_of(self.now).is_some() || self.split_reads >= 2)
        {
            let (own, any) = self.due_changes();
            let version = self.leased_state.queue().version;
            if any.is_empty() {
                self.due_since = None;
            } else if self.due_since.is_none_or(|(of, _)| of != version) {
                self.due_since = Some((version, self.observed_time));
            }
            changes.extend(own);
            let turn = |(_, since)| {
                self.observed_time >= since + self.config.timing.takeover_step * self.takeover_rank()
            };
            if self.due_since.is_some_and(turn) {
                changes.extend(any);
            }
        }
        changes.truncate(MAX_CHANGES_PER_PROPOSAL);
        if changes.is_empty() || self.observed_time < self.propose_not_before {
            return;
        }
        self.highest_round = self.highest_round.saturating_add(1);
        let ballot =
            Ballot { round: self.highest_round, slot: self.config.own_slot.0, incarnation: self.incarnation };
        #[allow(unused_mut)]
        let mut round = Proposal::new(ballot, self.now, self.config.acceptors.iter().copied());
        #[cfg(feature = "broken")]
        round.set_quorum(self.quorum());
        self.metrics.proposals += 1;
        self.attempt = Some(ProposalAttempt { proposal: round, changes, results: Vec::new() });
        self.retransmit_at = self.observed_time + RETRANSMIT_INTERVAL;
        for voter in self.config.acceptors.clone() {
            self.send(voter, Message::Prepare { ballot });
        }
    }

    /// Asks those again that have not answered.
    fn retransmit(&mut self) {
        let Some(ProposalAttempt { proposal: round, .. }) = &self.attempt else { return };
        if self.observed_time < self.retransmit_at {
            return;
        }
        let ballot = round.ballot;
        let silent: Vec<Slot> = round.unanswered().collect();
        let message = match round.proposed() {
            Some(table) => Message::Accept { ballot, queue: table.clone() },
            None => Message::Prepare { ballot },
        };
        self.retransmit_at = self.observed_time + RETRANSMIT_INTERVAL;
        for voter in silent {
            self.send(voter, message.clone());
        }
    }

    /// M2 to M6, as this gateway sees them.
    ///
    /// # Errors
    ///
    /// Names the first that does not hold.
    pub fn check(&self) -> Result<(), Violation> {
        self.leased_state.queue().check(&self.config.limits)?;
        for (what, found, room) in [
            ("the list of calls that wait", self.pending_requests.len(), MAX_PENDING_REQUESTS),
            ("the list of asks", self.outstanding_reads.len(), MAX_OUTSTANDING_READS),
            ("the list of values", self.known_values.len(), MAX_KNOWN_VALUES),
            ("the list of gateways heard", self.peer_reports.len(), self.config.members.len()),
        ] {
            if found > room {
                return Err(Violation::OverFull { what, found, room });
            }
        }
        let lease = self.config.timing.lease;
        match self.leased_state.requested_at() {
            Some(asked) if !self.kept_out.is_empty() && self.now.saturating_sub(asked) > lease => {
                Err(Violation::LeaseExpired { age: self.now.saturating_sub(asked), lease })
            }
            _ => Ok(()),
        }
    }
}

/// M1: what all gateways keep out together at one moment is no more than may be out. No gateway can see this.
///
/// # Errors
///
/// Says how many are out, and which.
pub fn check_machines_out<'a>(most: usize, out: impl IntoIterator<Item = &'a str>) -> Result<(), Violation> {
    let names: BTreeSet<&str> = out.into_iter().collect();
    if names.len() <= most {
        return Ok(());
    }
    let found = names.len();
    Err(Violation::TooManyOut { found, names: names.into_iter().collect::<Vec<_>>().join(", "), most })
}
