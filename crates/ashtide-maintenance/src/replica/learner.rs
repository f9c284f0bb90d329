//! Learner role of a replica: reads the queue from the acceptors, and cordons the machines that are out.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ashtide_fleet::state::Slot;

use super::{Action, Replica};
use crate::message::Message;
use crate::paxos::{Ballot, majority};
use crate::queue::{MachineKind, MaintenanceEntry, MaintenanceQueue, Phase};
use crate::violation::Violation;

/// Maximum number of outstanding reads; the oldest is dropped.
const MAX_OUTSTANDING_READS: usize = 4;
/// Maximum number of values that are stored by their ballots.
const MAX_KNOWN_VALUES: usize = 4;
/// Number of successive reads that found different values at the acceptors after which the value is written
/// again.
const MAX_SPLIT_READS: u32 = 2;
/// Number of reads after which the mutation `UnsyncedVote` persists a delayed vote.
const UNSYNCED_VOTE_READS: u64 = 8;

/// Machine that this gateway has cordoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CordonedMachine {
    pub(super) kind: MachineKind,
    pub(super) token: u64,
}

/// Read that has not been answered by a quorum yet.
struct OutstandingRead {
    sequence: u64,
    sent_at: Duration,
    /// Ballot of the accepted value by acceptor.
    answers: BTreeMap<Slot, Ballot>,
}

/// Reads of this gateway.
pub(super) struct Reader {
    outstanding: VecDeque<OutstandingRead>,
    next_read_at: Duration,
    last_sequence: u64,
    /// Number of successive reads that a majority answered with different values.
    split_reads: u32,
    /// Last received values by ballot.
    known_values: BTreeMap<Ballot, MaintenanceQueue>,
}

impl Default for Reader {
    fn default() -> Self {
        Self {
            outstanding: VecDeque::new(),
            next_read_at: Duration::ZERO,
            last_sequence: 0,
            split_reads: 0,
            known_values: BTreeMap::from([(Ballot::NONE, MaintenanceQueue::default())]),
        }
    }
}

impl Reader {
    /// Discards the outstanding reads, and schedules the next read at once.
    pub(super) fn restart(&mut self, now: Duration) {
        self.outstanding.clear();
        self.next_read_at = now;
    }

    /// Checks whether successive reads found different values at the acceptors, so that the value must be
    /// written again.
    pub(super) fn is_split(&self) -> bool {
        self.split_reads >= MAX_SPLIT_READS
    }

    fn remember(&mut self, ballot: Ballot, queue: MaintenanceQueue) {
        self.known_values.insert(ballot, queue);
        while self.known_values.len() > MAX_KNOWN_VALUES {
            self.known_values.pop_first();
        }
    }

    fn newest_ballot(&self) -> Ballot {
        self.known_values.last_key_value().map_or(Ballot::NONE, |(ballot, _)| *ballot)
    }

    /// Starts a read and returns its sequence number. Drops the oldest read if too many are outstanding.
    fn begin(&mut self, now: Duration, acceptors: usize) -> u64 {
        if self.outstanding.len() >= MAX_OUTSTANDING_READS
            && let Some(read) = self.outstanding.pop_front()
        {
            self.split_reads += u32::from(read.answers.len() >= majority(acceptors));
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.outstanding.push_back(OutstandingRead { sequence, sent_at: now, answers: BTreeMap::new() });
        sequence
    }

    /// Records an acceptor's answer. Returns the time at which the read was sent once a quorum has answered
    /// with the same ballot. The value of that ballot is then chosen, and it is current as of that time: a
    /// later ballot chosen before the read would be contained in at least one answer.
    fn record_answer(
        &mut self,
        from: Slot,
        sequence: u64,
        accepted: Ballot,
        quorum: usize,
    ) -> Option<Duration> {
        let index = self.outstanding.iter().position(|read| read.sequence == sequence)?;
        let read = &mut self.outstanding[index];
        read.answers.insert(from, accepted);
        if read.answers.values().filter(|&&ballot| ballot == accepted).count() < quorum {
            return None;
        }
        let sent_at = read.sent_at;
        self.split_reads = 0;
        self.outstanding.drain(..=index);
        Some(sent_at)
    }

    pub(super) fn check(&self) -> Result<(), Violation> {
        for (what, found, capacity) in [
            ("the list of outstanding reads", self.outstanding.len(), MAX_OUTSTANDING_READS),
            ("the list of known values", self.known_values.len(), MAX_KNOWN_VALUES),
        ] {
            if found > capacity {
                return Err(Violation::OverFull { what, found, capacity });
            }
        }
        Ok(())
    }
}

impl Replica {
    pub(super) fn send_reads(&mut self) {
        if self.now < self.reader.next_read_at {
            return;
        }
        self.reader.next_read_at = self.now + self.config.timing.read_interval;
        let persists_delayed_vote = self.reader.last_sequence.is_multiple_of(UNSYNCED_VOTE_READS);
        if persists_delayed_vote && std::mem::take(&mut self.has_unsynced_vote) {
            self.persist_vote();
        }
        let sequence = self.reader.begin(self.now, self.config.acceptors.len());
        let acting_version = if self.has_lease() { self.leased_state.queue().version } else { 0 };
        let open_on =
            |(name, machine): (&String, &CordonedMachine)| (machine.token, self.observations.open_on(name));
        let request = Message::ReadRequest {
            incarnation: self.incarnation,
            sequence,
            known_ballot: self.reader.newest_ballot(),
            acting_version,
            open_connections: self.cordoned.iter().map(open_on).collect(),
        };
        self.send_to_acceptors(&request);
    }

    pub(super) fn handle_read_reply(
        &mut self,
        from: Slot,
        sequence: u64,
        accepted: Ballot,
        queue: Option<MaintenanceQueue>,
    ) {
        if let Some(queue) = queue {
            self.remember_value(accepted, queue);
        }
        if !self.config.acceptors.contains(&from) {
            return;
        }
        let Some(sent_at) = self.reader.record_answer(from, sequence, accepted, self.quorum()) else {
            return;
        };
        if let Some(queue) = self.reader.known_values.get(&accepted).cloned() {
            self.learn(sent_at, &queue);
        }
    }

    pub(super) fn remember_value(&mut self, ballot: Ballot, queue: MaintenanceQueue) {
        self.proposer.note_round(ballot);
        self.reader.remember(ballot, queue);
    }

    /// Learns the value chosen by this gateway's own proposal.
    pub(super) fn learn_chosen(&mut self, started_at: Duration, queue: &MaintenanceQueue) {
        self.reader.split_reads = 0;
        self.learn(started_at, queue);
    }

    fn learn(&mut self, requested_at: Duration, queue: &MaintenanceQueue) {
        let previous = self.leased_state.queue().clone();
        let is_newer = self.leased_state.learn(requested_at, self.now, queue);
        if !is_newer || previous.version == queue.version {
            return;
        }
        for entry in &queue.entries {
            let previous_entry = previous.entry(&entry.name);
            if previous_entry.is_none_or(|previous| previous.phase_version != entry.phase_version) {
                self.phase_since.insert(entry.name.clone(), self.observed_time);
                self.log(&format_phase(entry));
            }
        }
        for entry in &previous.entries {
            if queue.entry(&entry.name).is_none() {
                self.phase_since.remove(&entry.name);
                let token = entry.phase.token().unwrap_or(0);
                self.log(&format!("{} is removed from the queue (token {token})", entry.name));
            }
        }
    }

    /// Adds actions for the driver to cordon and uncordon machines if the machines that are out have changed.
    pub(super) fn apply_leased_state(&mut self) {
        let has_lease = self.has_lease();
        let wanted = match has_lease {
            true => cordoned_by(self.leased_state.queue()),
            false => BTreeMap::new(),
        };
        if wanted == self.cordoned {
            return;
        }
        if !has_lease {
            self.metrics.lease_lapses += 1;
            let count = self.cordoned.len();
            self.log(&format!("lease on the queue expired without a majority; uncordoned {count} machines"));
        }
        for (name, machine) in &self.cordoned {
            if !wanted.contains_key(name) {
                self.actions.push_back(Action::Return { kind: machine.kind, name: name.clone() });
            }
        }
        for (name, &CordonedMachine { kind, token }) in &wanted {
            if !self.cordoned.contains_key(name) {
                self.actions.push_back(Action::Drain { kind, name: name.clone(), token });
            }
        }
        self.cordoned = wanted;
    }
}

fn cordoned_by(queue: &MaintenanceQueue) -> BTreeMap<String, CordonedMachine> {
    let machines = queue.machines_out();
    machines.map(|(entry, token)| (entry.name.clone(), CordonedMachine { kind: entry.kind, token })).collect()
}

fn format_phase(entry: &MaintenanceEntry) -> String {
    let name = &entry.name;
    match entry.phase {
        Phase::Queued => format!("{name} is queued (request {})", entry.request_id),
        Phase::Draining { token, holder } => {
            format!("{name} is draining (token {token}, holder {})", holder.0)
        }
        Phase::Out { token, holder } => format!("{name} is out (token {token}, holder {})", holder.0),
        Phase::Released { token } => format!("{name} is released (token {token})"),
    }
}
