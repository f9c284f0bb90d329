//! The history of a simulation, as recorded by an observer of all parts.

use std::collections::{BTreeMap, BTreeSet};

use ashtide::{Outcome, RequestClass, RequestId, ServerId, Settings, Span, Time};

/// The longest delivery time of a report or a command. A first byte follows its permission by at most this
/// time.
pub const MAX_DELIVERY_DELAY: Span = Span::from_micros(10_000);
/// The longest delay of an answer: 10 ms each for the client's line, the engine's timer and the answer
/// itself.
const MAX_ANSWER_DELAY: Span = Span::from_micros(30_000);

/// The final answer to a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientAnswer {
    Served,
    Rejected,
    Failed,
}

/// An event of the simulation.
#[derive(Debug, Clone, PartialEq)]
pub enum Occurrence {
    /// A front end has received the complete line of a client.
    Arrived { id: RequestId, class: usize, process: usize, time_left: Span },
    /// The driver has passed the request to the engine.
    Admitted { id: RequestId },
    /// A process has received the state and the start time of a server, from the list or from a cordon.
    Listed { process: usize, server: ServerId, ready: bool, started_at: Option<Time> },
    /// A process has received the report that its watch has been closed or silent since then.
    WatchLost { process: usize, silent_since: Time },
    /// A process has received the report that its watch is restored.
    WatchRestored { process: usize },
    /// An engine has chosen a server.
    Chosen { id: RequestId, attempt: u32, server: ServerId, timeout: Span },
    /// An engine has closed an attempt, because it timed out or was cancelled.
    Abandoned { id: RequestId, attempt: u32, timed_out: bool },
    /// The driver has reported the end of an attempt to the engine.
    AttemptEndReported { id: RequestId, attempt: u32, outcome: Outcome },
    /// An engine has decided the final answer.
    AnswerDecided { id: RequestId },
    /// The front end writes the first byte of an attempt.
    FirstByte { id: RequestId, attempt: u32 },
    /// The front end has written the last byte of an attempt.
    LastByte { id: RequestId, attempt: u32 },
    /// The front end has closed the socket of the attempt, with its outcome, or `None` if it reports no end
    /// to the engine.
    Closed { id: RequestId, attempt: u32, outcome: Option<Outcome> },
    /// The front end has sent the final answer to the client.
    Answered { id: RequestId, answer: ClientAnswer },
    /// The client has left before it was served.
    ClientLeft { id: RequestId },
    /// The driver has reported the departure of the client to the engine.
    DepartureReported { id: RequestId },
    /// The process of the request has exited.
    ProcessExited { id: RequestId },
    /// A tick has ended.
    TimeAdvanced,
}

impl Occurrence {
    /// Returns the request that the occurrence concerns, if it concerns one.
    pub fn request_id(&self) -> Option<RequestId> {
        match *self {
            Self::Arrived { id, .. }
            | Self::Admitted { id }
            | Self::Chosen { id, .. }
            | Self::Abandoned { id, .. }
            | Self::AttemptEndReported { id, .. }
            | Self::AnswerDecided { id }
            | Self::FirstByte { id, .. }
            | Self::LastByte { id, .. }
            | Self::Closed { id, .. }
            | Self::Answered { id, .. }
            | Self::ClientLeft { id }
            | Self::DepartureReported { id }
            | Self::ProcessExited { id } => Some(id),
            Self::Listed { .. }
            | Self::WatchLost { .. }
            | Self::WatchRestored { .. }
            | Self::TimeAdvanced => None,
        }
    }
}

/// The end of an attempt as the engine observes it.
#[derive(Debug, Clone, Copy)]
pub struct AttemptEnd {
    pub at: Time,
    /// Whether a retry after this end has to wait for its backoff.
    pub needs_backoff: bool,
}

/// The record of one attempt.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    pub server: ServerId,
    pub first_byte_at: Option<Time>,
    pub last_byte_at: Option<Time>,
    /// Whether the socket of the attempt is closed.
    pub closed: bool,
    /// Whether the server cannot have executed the request: it rejected it, or the connection was closed
    /// before the last byte.
    pub not_executed: bool,
    /// The first end of the attempt that the engine observed.
    pub end: Option<AttemptEnd>,
}

impl AttemptRecord {
    fn new(server: ServerId) -> Self {
        Self {
            server,
            first_byte_at: None,
            last_byte_at: None,
            closed: false,
            not_executed: false,
            end: None,
        }
    }

    fn record_end(&mut self, now: Time, needs_backoff: bool) {
        self.end.get_or_insert(AttemptEnd { at: now, needs_backoff });
    }

    fn record_close(&mut self, outcome: Option<Outcome>) {
        self.closed = true;
        self.not_executed = self.last_byte_at.is_none() || outcome == Some(Outcome::QueueFull);
    }
}

/// The record of one request.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The index of the class in the settings.
    pub class: usize,
    /// The index of the process that received the request.
    pub process: usize,
    pub arrived_at: Time,
    pub admitted_at: Time,
    /// The time from admission to the deadline.
    pub time_left: Span,
    pub attempts: Vec<AttemptRecord>,
    /// The final answers that the client has received.
    pub answers: Vec<ClientAnswer>,
    /// The number of final answers that the engine has decided.
    pub answers_decided: u32,
    pub client_left: bool,
    pub departure_reported: bool,
    /// Whether the request was answered or needs no answer because its client or process is gone.
    pub answer_not_required: bool,
}

impl RequestRecord {
    fn new(class: usize, process: usize, now: Time, time_left: Span) -> Self {
        Self {
            class,
            process,
            arrived_at: now,
            admitted_at: now,
            time_left,
            attempts: Vec::new(),
            answers: Vec::new(),
            answers_decided: 0,
            client_left: false,
            departure_reported: false,
            answer_not_required: false,
        }
    }

    fn record(&mut self, now: Time, occurrence: &Occurrence) {
        match *occurrence {
            Occurrence::Admitted { .. } => self.admitted_at = now,
            Occurrence::Chosen { server, .. } => self.attempts.push(AttemptRecord::new(server)),
            Occurrence::Abandoned { attempt, timed_out, .. } => {
                self.attempts[attempt as usize].record_end(now, timed_out);
            }
            Occurrence::AttemptEndReported { attempt, outcome, .. } => {
                self.attempts[attempt as usize].record_end(now, outcome != Outcome::ConnectError);
            }
            Occurrence::AnswerDecided { .. } => self.answers_decided += 1,
            Occurrence::FirstByte { attempt, .. } => {
                self.attempts[attempt as usize].first_byte_at = Some(now);
            }
            Occurrence::LastByte { attempt, .. } => {
                self.attempts[attempt as usize].last_byte_at = Some(now);
            }
            Occurrence::Closed { attempt, outcome, .. } => {
                self.attempts[attempt as usize].record_close(outcome);
            }
            Occurrence::Answered { answer, .. } => {
                self.answers.push(answer);
                self.answer_not_required = true;
            }
            Occurrence::ClientLeft { .. } => {
                self.client_left = true;
                self.answer_not_required = true;
            }
            Occurrence::DepartureReported { .. } => self.departure_reported = true,
            Occurrence::ProcessExited { .. } => {
                self.answer_not_required = true;
                self.attempts.iter_mut().for_each(|attempt| attempt.closed = true);
            }
            _ => {}
        }
    }

    /// Returns the deadline of the request.
    pub fn deadline(&self) -> Time {
        self.admitted_at + self.time_left
    }

    /// Returns the first attempt before this one that the server may have executed, judged by the received
    /// bytes.
    pub fn first_possible_execution(&self, attempt: usize) -> Option<&AttemptRecord> {
        self.attempts[..attempt]
            .iter()
            .find(|attempt| attempt.last_byte_at.is_some() && !attempt.not_executed)
    }
}

/// A watch that was lost.
#[derive(Debug, Clone, Copy)]
pub struct LostWatch {
    /// The time since which the watch was closed or silent.
    pub silent_since: Time,
    /// The time at which the process received the report of that.
    pub reported_at: Time,
}

/// The events of a run that the invariants need.
pub struct History {
    pub settings: Settings,
    /// The zone and the cell of each server.
    pub locations: BTreeMap<ServerId, (u32, u32)>,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// Unanswered requests, in the order of the times by which they need an answer.
    pub unanswered: BTreeSet<(Time, RequestId)>,
    /// The time since which a process has the report that a server is not ready; `None` for a ready server.
    pub not_ready_since: BTreeMap<(usize, ServerId), Option<Time>>,
    /// The start time of each server that was last reported to each process.
    pub started_at: BTreeMap<(usize, ServerId), Option<Time>>,
    /// The processes whose watch is lost.
    pub lost_watches: BTreeMap<usize, LostWatch>,
    /// The times at which attempts were placed on a server, by server and start time.
    pub attempts_since_start: BTreeMap<(ServerId, Time), Vec<Time>>,
    /// The number of connections at which a server is full, by the highest estimate of all gateways.
    pub connections_when_full: f64,
    pub now: Time,
}

impl History {
    /// Returns the empty history of a simulation with these settings and servers in these zones and cells.
    pub fn new(settings: Settings, locations: BTreeMap<ServerId, (u32, u32)>) -> Self {
        Self {
            settings,
            locations,
            requests: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            not_ready_since: BTreeMap::new(),
            started_at: BTreeMap::new(),
            lost_watches: BTreeMap::new(),
            attempts_since_start: BTreeMap::new(),
            connections_when_full: 0.0,
            now: Time::default(),
        }
    }

    /// Records an occurrence.
    pub fn record(&mut self, now: Time, occurrence: &Occurrence) {
        self.now = now;
        match *occurrence {
            Occurrence::Arrived { id, class, process, time_left } => {
                self.requests.insert(id, RequestRecord::new(class, process, now, time_left));
                self.unanswered.insert((now + time_left + self.answer_slack(), id));
            }
            Occurrence::Listed { process, server, ready, started_at } => {
                let not_ready_since = self.not_ready_since.entry((process, server)).or_insert(None);
                *not_ready_since = if ready { None } else { not_ready_since.or(Some(now)) };
                self.started_at.insert((process, server), started_at);
            }
            Occurrence::WatchLost { process, silent_since } => {
                self.lost_watches.entry(process).or_insert(LostWatch { silent_since, reported_at: now });
            }
            Occurrence::WatchRestored { process } => {
                self.lost_watches.remove(&process);
            }
            Occurrence::TimeAdvanced => {}
            _ => self.record_request_event(now, occurrence),
        }
    }

    fn record_request_event(&mut self, now: Time, occurrence: &Occurrence) {
        let answer_slack = self.answer_slack();
        let Some(id) = occurrence.request_id() else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.record(now, occurrence);
        if let &Occurrence::Chosen { server, .. } = occurrence {
            let started_at = self.started_at.get(&(request.process, server)).copied().flatten();
            if let Some(started_at) = started_at {
                self.attempts_since_start.entry((server, started_at)).or_default().push(now);
            }
        }
        if request.answer_not_required {
            self.unanswered.remove(&(request.arrived_at + request.time_left + answer_slack, id));
        }
    }

    /// Returns how long after its deadline a request may be answered.
    fn answer_slack(&self) -> Span {
        self.settings.answer_slack + MAX_ANSWER_DELAY
    }

    pub fn request(&self, id: RequestId) -> &RequestRecord {
        &self.requests[&id]
    }

    pub fn class(&self, request: &RequestRecord) -> &RequestClass {
        &self.settings.classes[request.class]
    }

    /// Returns a request to this process that still needs an answer, if there is one.
    pub fn unanswered_request(&self, process: usize) -> Option<RequestId> {
        self.unanswered.iter().map(|&(_, id)| id).find(|id| self.requests[id].process == process)
    }

    /// Returns the attempt that starts with this occurrence, or `None` if the occurrence is not a first byte.
    pub fn starting_attempt(&self, occurrence: &Occurrence) -> Option<StartingAttempt<'_>> {
        let &Occurrence::FirstByte { id, attempt } = occurrence else { return None };
        let request = self.request(id);
        let number = attempt as usize;
        Some(StartingAttempt { request, number, record: &request.attempts[number] })
    }
}

/// An attempt whose first byte is being written.
pub struct StartingAttempt<'a> {
    pub request: &'a RequestRecord,
    pub number: usize,
    pub record: &'a AttemptRecord,
}

impl StartingAttempt<'_> {
    /// Returns the first earlier attempt of the request that a server may have executed.
    pub fn earlier_execution(&self) -> Option<&AttemptRecord> {
        self.request.first_possible_execution(self.number)
    }
}
