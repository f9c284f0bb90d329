//! What happened, as the world saw it, and what may never have: one function an invariant.

use std::collections::{BTreeMap, BTreeSet};

use ashtide::{
    DeduplicationScope, Idempotency, Outcome, RequestClass, RequestId, ServerId, Settings, Span, Time,
};

/// What a report or a command takes to cross, at most: by so much a front writes later than its core allowed it.
pub const MAX_DELIVERY_DELAY: Span = Span::from_micros(10_000);
/// By so much an answer is late where its line, the core's timer and the answer each are, at most.
const MAX_ANSWER_DELAY: Span = Span::from_micros(30_000);
/// What a silent watch has missed counts as told this long after (STANDING, "One clock for silence").
const SILENCE_GRACE: Span = Span::from_micros(6_000_000);
/// The part of a class's aim that is waited before a repeat, at least, doubled with each attempt.
const MIN_BACKOFF_FACTOR: f64 = 0.5 * 0.2;
/// Spans are computed in whole microseconds, in one order or another.
const ROUNDING: Span = Span::from_micros(2);

/// The names by which violations are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    OneFinalAnswer,
    OneAttemptInFlight,
    NothingNewOnDrainingServer,
    NothingNewOnExpiredList,
    NothingForDepartedClient,
    RetryWithinKeyWindow,
    RetryWithinKeyGroup,
    NonIdempotentOnce,
    RejectionIsHarmless,
    PermitsWithinLimit,
    TimeoutOfOwnClass,
}

/// What was found, and by which invariant.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{invariant:?}: {what}")]
pub struct Violation {
    pub invariant: Invariant,
    pub what: String,
}

/// A client's final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientAnswer {
    Served,
    Rejected,
    Failed,
}

/// One thing that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Occurrence {
    /// A client's line is whole at a front.
    Arrived {
        id: RequestId,
        class: usize,
        process: usize,
        time_left: Span,
    },
    /// The core hears of it.
    Admitted {
        id: RequestId,
    },
    /// A process has been told that a server is ready or not, by the list or by operators, and of its start.
    Listed {
        process: usize,
        server: ServerId,
        ready: bool,
        started: Option<Time>,
    },
    /// A process has been told that its watch has said nothing since then; and that it answers again.
    WatchLost {
        process: usize,
        since: Time,
    },
    WatchRestored {
        process: usize,
    },
    /// A core has chosen a server.
    Chosen {
        id: RequestId,
        attempt: u32,
        server: ServerId,
        timeout: Span,
    },
    /// A core has given an attempt up, as its time was up or for another reason.
    Abandoned {
        id: RequestId,
        attempt: u32,
        late: bool,
    },
    /// A core has heard how an attempt ended.
    AttemptEndReported {
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
    },
    /// A core gives the final answer.
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
    /// The front's socket of the attempt is closed; the server said or showed this last.
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
    /// The client has gone; the core has been told.
    ClientLeft {
        id: RequestId,
    },
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

/// One attempt.
#[derive(Debug, Clone)]
struct AttemptRecord {
    server: ServerId,
    first_byte_at: Option<Time>,
    last_byte_at: Option<Time>,
    closed: bool,
    /// It was turned away, or closed before the server had it whole.
    never_ran: bool,
    /// When the core took it to have ended, and whether a repeat has to wait.
    ended: Option<(Time, bool)>,
}

/// One request.
#[derive(Debug, Clone)]
struct RequestRecord {
    class: usize,
    process: usize,
    arrived_at: Time,
    admitted_at: Time,
    time_left: Span,
    attempts: Vec<AttemptRecord>,
    answers: Vec<ClientAnswer>,
    /// Final answers of the core.
    answers_decided: u32,
    left: bool,
    departure_reported: bool,
    /// No answer is owed.
    answer_not_required: bool,
}

impl RequestRecord {
    fn deadline(&self) -> Time {
        self.admitted_at + self.time_left
    }

    /// The first attempt that may have run, by what the servers saw, of those before this one.
    fn first_possible_execution(&self, attempt: usize) -> Option<&AttemptRecord> {
        self.attempts[..attempt].iter().find(|it| it.last_byte_at.is_some() && !it.never_ran)
    }
}

/// All that has happened.
pub struct History {
    settings: Settings,
    locations: BTreeMap<ServerId, (u32, u32)>,
    requests: BTreeMap<RequestId, RequestRecord>,
    /// Who is owed an answer, by when.
    unanswered: BTreeSet<(Time, RequestId)>,
    /// Since when a process knows that a server is not ready, and its start as told.
    not_ready_since: BTreeMap<(usize, ServerId), Option<Time>>,
    started_at: BTreeMap<(usize, ServerId), Option<Time>>,
    watch_lost: BTreeMap<usize, (Time, Time)>,
    /// Attempts chosen for a server since its start.
    attempts_since_start: BTreeMap<(ServerId, Time), Vec<Time>>,
    /// Connections that fill a server, as any gateway had reason to think.
    pub connections_when_full: f64,
    now: Time,
}

type Check = fn(&History, &Occurrence) -> Result<(), String>;

const CHECKS: [(Invariant, Check); 11] = [
    (Invariant::OneFinalAnswer, one_final_answer),
    (Invariant::OneAttemptInFlight, one_attempt_in_flight),
    (Invariant::NothingNewOnDrainingServer, nothing_new_on_draining_server),
    (Invariant::NothingNewOnExpiredList, nothing_new_on_expired_list),
    (Invariant::NothingForDepartedClient, nothing_for_departed_client),
    (Invariant::RetryWithinKeyWindow, retry_within_key_window),
    (Invariant::RetryWithinKeyGroup, retry_within_key_group),
    (Invariant::NonIdempotentOnce, non_idempotent_once),
    (Invariant::RejectionIsHarmless, rejection_is_harmless),
    (Invariant::PermitsWithinLimit, permits_within_limit),
    (Invariant::TimeoutOfOwnClass, timeout_of_own_class),
];

impl History {
    /// Of a world with these settings, where servers stand in zones and cells.
    pub fn new(settings: Settings, places: BTreeMap<ServerId, (u32, u32)>) -> Self {
        Self {
            settings,
            locations: places,
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

    /// Notes what happened, and looks whether it may have.
    ///
    /// # Errors
    ///
    /// Names the invariant that does not hold.
    pub fn record(&mut self, now: Time, fact: &Occurrence) -> Result<(), Violation> {
        self.now = now;
        self.apply(fact);
        CHECKS.iter().try_for_each(|&(invariant, check)| {
            check(self, fact).map_err(|what| Violation { invariant, what: format!("{fact:?}: {what}") })
        })
    }

    fn apply(&mut self, fact: &Occurrence) {
        let now = self.now;
        if let &Occurrence::Arrived { id, class, process, time_left } = fact {
            let asked = RequestRecord {
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
            };
            self.requests.insert(id, asked);
            self.unanswered.insert((now + time_left + self.settings.answer_slack + MAX_ANSWER_DELAY, id));
            return;
        }
        match *fact {
            Occurrence::Listed { process, server, ready, started } => {
                let drains = self.not_ready_since.entry((process, server)).or_insert(None);
                *drains = if ready { None } else { drains.or(Some(now)) };
                self.started_at.insert((process, server), started);
            }
            Occurrence::WatchLost { process, since } => {
                _ = self.watch_lost.entry(process).or_insert((since, now))
            }
            Occurrence::WatchRestored { process } => _ = self.watch_lost.remove(&process),
            _ => {}
        }
        let Some(asked) = fact.request_id().and_then(|id| self.requests.get_mut(&id)) else { return };
        match *fact {
            Occurrence::Admitted { .. } => asked.admitted_at = now,
            Occurrence::Chosen { server, .. } => {
                let (first, last, over) = (None, None, None);
                let (closed, never_ran) = (false, false);
                asked.attempts.push(AttemptRecord {
                    server,
                    first_byte_at: first,
                    last_byte_at: last,
                    closed,
                    never_ran,
                    ended: over,
                });
                let started = self.started_at.get(&(asked.process, server)).copied().flatten();
                if let Some(started) = started {
                    self.attempts_since_start.entry((server, started)).or_default().push(now);
                }
            }
            Occurrence::Abandoned { attempt, late, .. } => {
                _ = asked.attempts[attempt as usize].ended.get_or_insert((now, late));
            }
            Occurrence::AttemptEndReported { attempt, outcome, .. } => {
                let waits = outcome != Outcome::ConnectError;
                _ = asked.attempts[attempt as usize].ended.get_or_insert((now, waits));
            }
            Occurrence::AnswerDecided { .. } => asked.answers_decided += 1,
            Occurrence::FirstByte { attempt, .. } => {
                asked.attempts[attempt as usize].first_byte_at = Some(now)
            }
            Occurrence::LastByte { attempt, .. } => asked.attempts[attempt as usize].last_byte_at = Some(now),
            Occurrence::Closed { attempt, outcome, .. } => {
                let it = &mut asked.attempts[attempt as usize];
                it.closed = true;
                it.never_ran = it.last_byte_at.is_none() || outcome == Some(Outcome::QueueFull);
            }
            Occurrence::Answered { answer, .. } => {
                asked.answers.push(answer);
                asked.answer_not_required = true;
            }
            Occurrence::ClientLeft { .. } => (asked.left, asked.answer_not_required) = (true, true),
            Occurrence::DepartureReported { .. } => asked.departure_reported = true,
            Occurrence::ProcessDied { .. } => {
                asked.answer_not_required = true;
                asked.attempts.iter_mut().for_each(|it| it.closed = true);
            }
            _ => {}
        }
        if asked.answer_not_required {
            let by = asked.arrived_at + asked.time_left + self.settings.answer_slack + MAX_ANSWER_DELAY;
            self.unanswered.remove(&(by, fact.request_id().expect("just seen")));
        }
    }

    fn request(&self, id: RequestId) -> &RequestRecord {
        &self.requests[&id]
    }

    fn class(&self, asked: &RequestRecord) -> &RequestClass {
        &self.settings.classes[asked.class]
    }

    /// Who asked a process that ends now and has no answer.
    pub fn unanswered_request(&self, process: usize) -> Option<RequestId> {
        self.unanswered.iter().map(|it| it.1).find(|id| self.requests[id].process == process)
    }

    /// The request and its attempt whose first byte this fact is.
    fn first_byte_of(&self, fact: &Occurrence) -> Option<(&RequestRecord, usize, &AttemptRecord)> {
        let &Occurrence::FirstByte { id, attempt } = fact else { return None };
        let asked = self.request(id);
        Some((asked, attempt as usize, &asked.attempts[attempt as usize]))
    }
}

fn fail<T>(what: String) -> Result<T, String> {
    Err(what)
}

/// Never two, none late, and none after it was served.
fn one_final_answer(ledger: &History, fact: &Occurrence) -> Result<(), String> {
    match *fact {
        Occurrence::TimeAdvanced => match ledger.unanswered.first() {
            Some(&(by, id)) if by < ledger.now => fail(format!("{id:?} has no answer, its time is up")),
            _ => Ok(()),
        },
        Occurrence::Answered { id, .. } | Occurrence::AnswerDecided { id } => {
            let asked = ledger.request(id);
            if asked.answers.len() > 1 || asked.answers_decided > 1 {
                return fail(format!("a second answer: {:?}", asked.answers));
            }
            match asked.answers.first() {
                Some(ClientAnswer::Served) if asked.answers_decided > 0 => {
                    fail("answered after it was served".into())
                }
                _ => Ok(()),
            }
        }
        _ => Ok(()),
    }
}

/// An attempt is out from its first byte until it is closed.
fn one_attempt_in_flight(ledger: &History, fact: &Occurrence) -> Result<(), String> {
    let Some((asked, ..)) = ledger.first_byte_of(fact) else { return Ok(()) };
    let out = asked.attempts.iter().filter(|it| it.first_byte_at.is_some() && !it.closed).count();
    if out > 1 { fail(format!("{out} attempts out")) } else { Ok(()) }
}

/// No first byte later than the grace after its server's drain or removal was told to that process.
fn nothing_new_on_draining_server(ledger: &History, fact: &Occurrence) -> Result<(), String> {
    let Some((asked, _, it)) = ledger.first_byte_of(fact) else { return Ok(()) };
    match ledger.not_ready_since.get(&(asked.process, it.server)).copied().flatten() {
        Some(told) if ledger.now > told + ledger.settings.drain_grace + MAX_DELIVERY_DELAY => {
            fail(format!("process {} was told {told:?} that {:?} drains", asked.process, it.server))
        }
        _ => Ok(()),
    }
}

/// No first byte while the list is not vouched for.
fn nothing_new_on_expired_list(ledger: &History, fact: &Occurrence) -> Result<(), String> {
    let Some((asked, ..)) = ledger.first_byte_of(fact) else { return Ok(()) };
    match ledger.watch_lost.get(&asked.process) {
        Some(&(since, told)) if ledger.now > (since + SILENCE_GRACE).max(told) + MAX_DELIVERY_DELAY => {
            fail(format!("process {} has heard nothing since {since:?}", asked.process))
        }
        _ => Ok(()),
    }
}

/// No attempt is chosen for whom the core knows to have left, and no first byte written for who has.
fn nothing_for_departed_client(ledger: &History, fact: &Occurrence) -> Result<(), String> {
    match *fact {
        Occurrence::Chosen { id, .. } if ledger.request(id).departure_reported => {
            fail("chosen for nobody".into())
        }
        Occurrence::FirstByte { id, .. } if ledger.request(id).left => fail("begun for nobody".into()),
        _ => Ok(()),
    }
}

/// No repeat's first byte after the window, from the first byte of the first attempt that may have run.
fn retry_within_key_window(ledger: &History, fact: &Occurrence) -> Result<(), String> {
    let Some((asked, attempt, _)) = ledger.first_byte_of(fact) else { return Ok(()) };
    let Idempotency::WithKey { remembered_for: window, .. } = ledger.class(asked).idempotency else {
        return Ok(());
    };
    match asked.first_possible_execution(attempt).and_then(|it| it.first_byte_at) {
        Some(first) if ledger.now.since(first) > window + MAX_DELIVERY_DELAY => {
            fail(format!("{:?} after the first, of {window:?}", ledger.now.since(first)))
        }
        _ => Ok(()),
    }
}

/// No repeat outside the group of the first server that may have run it.
fn retry_within_key_group(ledger: &History, fact: &Occurrence) -> Result<(), String> {
    let Some((asked, attempt, it)) = ledger.first_byte_of(fact) else { return Ok(()) };
    let Idempotency::WithKey { scope: group, .. } = ledger.class(asked).idempotency else { return Ok(()) };
    let Some(ran) = asked.first_possible_execution(attempt) else { return Ok(()) };
    let ((zone, cell), (first_zone, first_cell)) =
        (ledger.locations[&it.server], ledger.locations[&ran.server]);
    let within = match group {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => zone == first_zone,
        DeduplicationScope::Cell => cell == first_cell,
    };
    if within { Ok(()) } else { fail(format!("{:?} after {:?}, of {group:?}", it.server, ran.server)) }
}

/// No second attempt once one may have run.
fn non_idempotent_once(ledger: &History, fact: &Occurrence) -> Result<(), String> {
    let Some((asked, attempt, _)) = ledger.first_byte_of(fact) else { return Ok(()) };
    match asked.first_possible_execution(attempt) {
        Some(ran) if ledger.class(asked).idempotency == Idempotency::NotIdempotent => {
            fail(format!("may have run: {ran:?}"))
        }
        _ => Ok(()),
    }
}

/// A refusal says that trying again does no harm, at any gateway and server: so nothing may have run, or all
/// servers drop the repeat.
fn rejection_is_harmless(ledger: &History, fact: &Occurrence) -> Result<(), String> {
    let &Occurrence::Answered { id, answer: ClientAnswer::Rejected } = fact else { return Ok(()) };
    let asked = ledger.request(id);
    let harmless = matches!(
        ledger.class(asked).idempotency,
        Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
    );
    match asked.first_possible_execution(asked.attempts.len()) {
        Some(ran) if !harmless => fail(format!("may have run: {ran:?}")),
        _ => Ok(()),
    }
}

/// What all who know of a server's start choose it for within the time that the settings name is no more than may
/// push it over: N and two of its roots and two more (STANDING, on cold servers). Counted when it is chosen, as a
/// right is used then: how late a connection comes up is the network's doing.
fn permits_within_limit(ledger: &History, fact: &Occurrence) -> Result<(), String> {
    let &Occurrence::Chosen { id, server, .. } = fact else { return Ok(()) };
    let process = ledger.request(id).process;
    let Some(started) = ledger.started_at.get(&(process, server)).copied().flatten() else { return Ok(()) };
    let (now, settings) = (ledger.now, &ledger.settings);
    let age = now.since(started);
    if age >= settings.warm_up_time {
        return Ok(());
    }
    let part = settings.initial_capacity_share
        + (1.0 - settings.initial_capacity_share) * age.as_secs() / settings.warm_up_time.as_secs();
    let rate =
        settings.overload_factor * part * ledger.connections_when_full / settings.warm_up_time.as_secs();
    let n = rate * settings.overload_window.as_secs();
    let allowed = n + 2.0 * n.sqrt() + 2.0;
    let times = &ledger.attempts_since_start[&(server, started)];
    let lately = times.iter().rev().take_while(|&&at| now.since(at) < settings.overload_window).count();
    if lately as f64 > allowed {
        return fail(format!(
            "{lately} within {:?}, {allowed:.1} push it over at {age:?}",
            settings.overload_window
        ));
    }
    Ok(())
}

/// An attempt's time and the wait before it follow from the request's own class.
fn timeout_of_own_class(ledger: &History, fact: &Occurrence) -> Result<(), String> {
    let &Occurrence::Chosen { id, attempt, timeout, .. } = fact else { return Ok(()) };
    let asked = ledger.request(id);
    let (class, left) = (ledger.class(asked), asked.deadline().since(ledger.now));
    let near = |a: Span, b: Span| a <= b + ROUNDING && b <= a + ROUNDING;
    let last = attempt + 1 >= ledger.settings.max_attempts || class.idempotency == Idempotency::NotIdempotent;
    let part = class.latency_objective.max(left.scale(0.5)).min(left);
    if !near(timeout, left) && (last || !near(timeout, part)) {
        return fail(format!("not the time-out of {class:?}, {left:?} before its deadline"));
    }
    let Some(before) = (attempt as usize).checked_sub(1).map(|it| &asked.attempts[it]) else { return Ok(()) };
    let wait = class.latency_objective.scale(MIN_BACKOFF_FACTOR * f64::from(1 << (attempt - 1).min(6)));
    match before.ended {
        Some((at, true)) if ledger.now + ROUNDING < at + wait => {
            fail(format!("repeated {:?} after the end of {before:?}, not {wait:?}", ledger.now.since(at)))
        }
        _ => Ok(()),
    }
}
