//! What happened in a simulation, as a complete observer saw it.

use std::collections::{BTreeMap, BTreeSet};

use ashtide::{Outcome, RequestClass, RequestId, ServerId, Settings, Span, Time};

/// Longest time that a report or a command is on its way; by so much a first byte may follow its permission.
pub const MAX_DELIVERY_DELAY: Span = Span::from_micros(10_000);
/// Longest delay of an answer: that of the client's line, of the engine's timer and of the answer itself.
const MAX_ANSWER_DELAY: Span = Span::from_micros(30_000);

/// A client's final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientAnswer {
    Served,
    Rejected,
    Failed,
}

/// An event of the simulation.
#[derive(Debug, Clone, PartialEq)]
pub enum Occurrence {
    /// A client's line is complete at a frontend.
    Arrived {
        id: RequestId,
        class: usize,
        process: usize,
        time_left: Span,
    },
    /// The request is reported to the engine.
    Admitted {
        id: RequestId,
    },
    /// A process has been told the state of a server, by the list or by a cordon, and its start.
    Listed {
        process: usize,
        server: ServerId,
        ready: bool,
        started: Option<Time>,
    },
    /// A process has been told that its watch has been silent since then.
    WatchLost {
        process: usize,
        since: Time,
    },
    /// A process has been told that its watch answers again.
    WatchRestored {
        process: usize,
    },
    /// An engine has chosen a server.
    Chosen {
        id: RequestId,
        attempt: u32,
        server: ServerId,
        timeout: Span,
    },
    /// An engine has abandoned an attempt, because it timed out or for another reason.
    Abandoned {
        id: RequestId,
        attempt: u32,
        timed_out: bool,
    },
    /// The end of an attempt was reported to the engine.
    AttemptEndReported {
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
    },
    /// An engine gives the final answer.
    AnswerDecided {
        id: RequestId,
    },
    FirstByte {
        id: RequestId,
        attempt: u32,
    },
    LastByte {
        id: RequestId,
        attempt: u32,
    },
    /// The frontend's socket of the attempt is closed; the last outcome that the server showed.
    Closed {
        id: RequestId,
        attempt: u32,
        outcome: Option<Outcome>,
    },
    /// The client has a final answer.
    Answered {
        id: RequestId,
        answer: ClientAnswer,
    },
    /// The client has gone.
    ClientLeft {
        id: RequestId,
    },
    /// The departure of the client was reported to the engine.
    DepartureReported {
        id: RequestId,
    },
    /// The process of the request has died.
    ProcessDied {
        id: RequestId,
    },
    /// Time has passed.
    TimeAdvanced,
}

impl Occurrence {
    /// The request that it is about.
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
            | Self::ProcessDied { id } => Some(id),
            Self::Listed { .. }
            | Self::WatchLost { .. }
            | Self::WatchRestored { .. }
            | Self::TimeAdvanced => None,
        }
    }
}

/// When an attempt ended for the engine.
#[derive(Debug, Clone, Copy)]
pub struct AttemptEnd {
    pub at: Time,
    /// Whether a retry has to wait for its backoff.
    pub needs_backoff: bool,
}

/// One attempt.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    pub server: ServerId,
    pub first_byte_at: Option<Time>,
    pub last_byte_at: Option<Time>,
    pub closed: bool,
    /// It was rejected, or closed before the server had received it completely.
    pub never_ran: bool,
    pub end: Option<AttemptEnd>,
}

impl AttemptRecord {
    fn new(server: ServerId) -> Self {
        Self { server, first_byte_at: None, last_byte_at: None, closed: false, never_ran: false, end: None }
    }

    fn record_end(&mut self, now: Time, needs_backoff: bool) {
        self.end.get_or_insert(AttemptEnd { at: now, needs_backoff });
    }

    fn record_close(&mut self, outcome: Option<Outcome>) {
        self.closed = true;
        self.never_ran = self.last_byte_at.is_none() || outcome == Some(Outcome::QueueFull);
    }
}

/// One request.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub class: usize,
    pub process: usize,
    pub arrived_at: Time,
    pub admitted_at: Time,
    pub time_left: Span,
    pub attempts: Vec<AttemptRecord>,
    pub answers: Vec<ClientAnswer>,
    /// Final answers of the engine.
    pub answers_decided: u32,
    pub left: bool,
    pub departure_reported: bool,
    /// No answer is due any more.
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
            left: false,
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
                self.left = true;
                self.answer_not_required = true;
            }
            Occurrence::DepartureReported { .. } => self.departure_reported = true,
            Occurrence::ProcessDied { .. } => {
                self.answer_not_required = true;
                self.attempts.iter_mut().for_each(|attempt| attempt.closed = true);
            }
            _ => {}
        }
    }

    pub fn deadline(&self) -> Time {
        self.admitted_at + self.time_left
    }

    /// The first attempt that may have run, by what the servers saw, of those before this one.
    pub fn first_possible_execution(&self, attempt: usize) -> Option<&AttemptRecord> {
        self.attempts[..attempt].iter().find(|attempt| attempt.last_byte_at.is_some() && !attempt.never_ran)
    }
}

/// A watch that was lost.
#[derive(Debug, Clone, Copy)]
pub struct LostWatch {
    /// Since when it was silent.
    pub since: Time,
    /// When that was reported.
    pub reported_at: Time,
}

/// All that has happened, as far as an invariant needs it.
pub struct History {
    pub settings: Settings,
    pub locations: BTreeMap<ServerId, (u32, u32)>,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// Requests that need an answer, by the time at which it is due.
    pub unanswered: BTreeSet<(Time, RequestId)>,
    /// Since when a process knows that a server is not ready, and the server's start as it was told.
    pub not_ready_since: BTreeMap<(usize, ServerId), Option<Time>>,
    pub started_at: BTreeMap<(usize, ServerId), Option<Time>>,
    pub watch_lost: BTreeMap<usize, LostWatch>,
    /// Attempts chosen for a server since its start.
    pub attempts_since_start: BTreeMap<(ServerId, Time), Vec<Time>>,
    /// Connections that fill a server, as the most generous gateway counts.
    pub connections_when_full: f64,
    pub now: Time,
}

impl History {
    /// The history of a simulation with these settings, and with servers in these zones and cells.
    pub fn new(settings: Settings, locations: BTreeMap<ServerId, (u32, u32)>) -> Self {
        Self {
            settings,
            locations,
            requests: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            not_ready_since: BTreeMap::new(),
            started_at: BTreeMap::new(),
            watch_lost: BTreeMap::new(),
            attempts_since_start: BTreeMap::new(),
            connections_when_full: 0.0,
            now: Time::default(),
        }
    }

    /// Records an event.
    pub fn record(&mut self, now: Time, occurrence: &Occurrence) {
        self.now = now;
        match *occurrence {
            Occurrence::Arrived { id, class, process, time_left } => {
                self.requests.insert(id, RequestRecord::new(class, process, now, time_left));
                self.unanswered.insert((now + time_left + self.answer_slack(), id));
            }
            Occurrence::Listed { process, server, ready, started } => {
                let not_ready_since = self.not_ready_since.entry((process, server)).or_insert(None);
                *not_ready_since = if ready { None } else { not_ready_since.or(Some(now)) };
                self.started_at.insert((process, server), started);
            }
            Occurrence::WatchLost { process, since } => {
                self.watch_lost.entry(process).or_insert(LostWatch { since, reported_at: now });
            }
            Occurrence::WatchRestored { process } => {
                self.watch_lost.remove(&process);
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
            let started = self.started_at.get(&(request.process, server)).copied().flatten();
            if let Some(started) = started {
                self.attempts_since_start.entry((server, started)).or_default().push(now);
            }
        }
        if request.answer_not_required {
            self.unanswered.remove(&(request.arrived_at + request.time_left + answer_slack, id));
        }
    }

    /// How long after its deadline an answer may come.
    fn answer_slack(&self) -> Span {
        self.settings.answer_slack + MAX_ANSWER_DELAY
    }

    pub fn request(&self, id: RequestId) -> &RequestRecord {
        &self.requests[&id]
    }

    pub fn class(&self, request: &RequestRecord) -> &RequestClass {
        &self.settings.classes[request.class]
    }

    /// A request to a process that has no answer.
    pub fn unanswered_request(&self, process: usize) -> Option<RequestId> {
        self.unanswered.iter().map(|&(_, id)| id).find(|id| self.requests[id].process == process)
    }

    /// The attempt that starts, if this occurrence is its first byte.
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
    /// The first earlier attempt of the request that may have run.
    pub fn earlier_execution(&self) -> Option<&AttemptRecord> {
        self.request.first_possible_execution(self.number)
    }
}
