//! What happened, as the world saw it, and what may never have: one function an invariant.

use std::collections::{BTreeMap, BTreeSet};

use ashtide::{Class, Effect, KeyedGroup, Outcome, RequestId, ServerId, Settings, Span, Time};

/// What a report or a command takes to cross, at most: by so much a front writes later than its core allowed it.
pub const CROSSING: Span = Span::from_micros(10_000);
/// By so much an answer is late where its line, the core's timer and the answer each are, at most.
const BEHIND: Span = Span::from_micros(30_000);
/// What a silent watch has missed counts as told this long after (STANDING, "One clock for silence").
const SILENCE_TOLD: Span = Span::from_micros(6_000_000);
/// The part of a class's aim that is waited before a repeat, at least, doubled with each attempt.
const LEAST_WAIT: f64 = 0.5 * 0.2;
/// Spans are computed in whole microseconds, in one order or another.
const ROUNDING: Span = Span::from_micros(2);

/// The names by which violations are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    OneFinalAnswer,
    OneAttemptOut,
    NothingNewWhereItDrains,
    NothingNewUnvouched,
    NothingForWhoHasLeft,
    KeyedWithinWindow,
    KeyedWithinGroup,
    UnsafeOnce,
    HarmlessRefusal,
    RightsWithinRule,
    OwnClass,
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
pub enum Final {
    Served,
    Refused,
    Failed,
}

/// One thing that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Fact {
    /// A client's line is whole at a front.
    Asked {
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
    Unheard {
        process: usize,
        since: Time,
    },
    Vouched {
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
    GivenUp {
        id: RequestId,
        attempt: u32,
        late: bool,
    },
    /// A core has heard how an attempt ended.
    Heard {
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
    },
    /// A core gives the final answer.
    Answering {
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
        answer: Final,
    },
    /// The client has gone; the core has been told.
    Left {
        id: RequestId,
    },
    LeftTold {
        id: RequestId,
    },
    /// The process of the request has died.
    Lost {
        id: RequestId,
    },
    /// Time has passed.
    Passed,
}

impl Fact {
    /// The request that it is about.
    pub fn id(&self) -> Option<RequestId> {
        match *self {
            Self::Asked { id, .. }
            | Self::Admitted { id }
            | Self::Chosen { id, .. }
            | Self::GivenUp { id, .. }
            | Self::Heard { id, .. }
            | Self::Answering { id }
            | Self::FirstByte { id, .. }
            | Self::LastByte { id, .. }
            | Self::Closed { id, .. }
            | Self::Answered { id, .. }
            | Self::Left { id }
            | Self::LeftTold { id }
            | Self::Lost { id } => Some(id),
            Self::Listed { .. } | Self::Unheard { .. } | Self::Vouched { .. } | Self::Passed => None,
        }
    }
}

/// One attempt.
#[derive(Debug, Clone)]
struct Try {
    server: ServerId,
    first: Option<Time>,
    last: Option<Time>,
    closed: bool,
    /// It was turned away, or closed before the server had it whole.
    never_ran: bool,
    /// When the core took it to have ended, and whether a repeat has to wait.
    over: Option<(Time, bool)>,
}

/// One request.
#[derive(Debug, Clone)]
struct Asked {
    class: usize,
    process: usize,
    arrived: Time,
    admitted: Time,
    time_left: Span,
    tries: Vec<Try>,
    answers: Vec<Final>,
    /// Final answers of the core.
    answering: u32,
    left: bool,
    left_told: bool,
    /// No answer is owed.
    free: bool,
}

impl Asked {
    fn deadline(&self) -> Time {
        self.admitted + self.time_left
    }

    /// The first attempt that may have run, by what the servers saw, of those before this one.
    fn ran_before(&self, attempt: usize) -> Option<&Try> {
        self.tries[..attempt].iter().find(|it| it.last.is_some() && !it.never_ran)
    }
}

/// All that has happened.
pub struct Ledger {
    settings: Settings,
    places: BTreeMap<ServerId, (u32, u32)>,
    asked: BTreeMap<RequestId, Asked>,
    /// Who is owed an answer, by when.
    owed: BTreeSet<(Time, RequestId)>,
    /// Since when a process knows that a server is not ready, and its start as told.
    drains: BTreeMap<(usize, ServerId), Option<Time>>,
    started: BTreeMap<(usize, ServerId), Option<Time>>,
    unheard: BTreeMap<usize, (Time, Time)>,
    /// Attempts chosen for a server since its start.
    cold: BTreeMap<(ServerId, Time), Vec<Time>>,
    /// Connections that fill a server, as any gateway had reason to think.
    pub full: f64,
    now: Time,
}

type Check = fn(&Ledger, &Fact) -> Result<(), String>;

const CHECKS: [(Invariant, Check); 11] = [
    (Invariant::OneFinalAnswer, one_final_answer),
    (Invariant::OneAttemptOut, one_attempt_out),
    (Invariant::NothingNewWhereItDrains, nothing_new_where_it_drains),
    (Invariant::NothingNewUnvouched, nothing_new_unvouched),
    (Invariant::NothingForWhoHasLeft, nothing_for_who_has_left),
    (Invariant::KeyedWithinWindow, keyed_within_window),
    (Invariant::KeyedWithinGroup, keyed_within_group),
    (Invariant::UnsafeOnce, unsafe_once),
    (Invariant::HarmlessRefusal, harmless_refusal),
    (Invariant::RightsWithinRule, rights_within_rule),
    (Invariant::OwnClass, own_class),
];

impl Ledger {
    /// Of a world with these settings, where servers stand in zones and cells.
    pub fn new(settings: Settings, places: BTreeMap<ServerId, (u32, u32)>) -> Self {
        Self {
            settings,
            places,
            asked: BTreeMap::new(),
            owed: BTreeSet::new(),
            drains: BTreeMap::new(),
            started: BTreeMap::new(),
            unheard: BTreeMap::new(),
            cold: BTreeMap::new(),
            full: 0.0,
            now: Time::default(),
        }
    }

    /// Notes what happened, and looks whether it may have.
    ///
    /// # Errors
    ///
    /// Names the invariant that does not hold.
    pub fn note(&mut self, now: Time, fact: &Fact) -> Result<(), Violation> {
        self.now = now;
        self.apply(fact);
        CHECKS.iter().try_for_each(|&(invariant, check)| {
            check(self, fact).map_err(|what| Violation { invariant, what: format!("{fact:?}: {what}") })
        })
    }

    fn apply(&mut self, fact: &Fact) {
        let now = self.now;
        if let &Fact::Asked { id, class, process, time_left } = fact {
            let asked = Asked {
                class,
                process,
                arrived: now,
                admitted: now,
                time_left,
                tries: Vec::new(),
                answers: Vec::new(),
                answering: 0,
                left: false,
                left_told: false,
                free: false,
            };
            self.asked.insert(id, asked);
            self.owed.insert((now + time_left + self.settings.answer_slack + BEHIND, id));
            return;
        }
        match *fact {
            Fact::Listed { process, server, ready, started } => {
                let drains = self.drains.entry((process, server)).or_insert(None);
                *drains = if ready { None } else { drains.or(Some(now)) };
                self.started.insert((process, server), started);
            }
            Fact::Unheard { process, since } => _ = self.unheard.entry(process).or_insert((since, now)),
            Fact::Vouched { process } => _ = self.unheard.remove(&process),
            _ => {}
        }
        let Some(asked) = fact.id().and_then(|id| self.asked.get_mut(&id)) else { return };
        match *fact {
            Fact::Admitted { .. } => asked.admitted = now,
            Fact::Chosen { server, .. } => {
                let (first, last, over) = (None, None, None);
                let (closed, never_ran) = (false, false);
                asked.tries.push(Try { server, first, last, closed, never_ran, over });
                let started = self.started.get(&(asked.process, server)).copied().flatten();
                if let Some(started) = started {
                    self.cold.entry((server, started)).or_default().push(now);
                }
            }
            Fact::GivenUp { attempt, late, .. } => {
                _ = asked.tries[attempt as usize].over.get_or_insert((now, late));
            }
            Fact::Heard { attempt, outcome, .. } => {
                let waits = outcome != Outcome::ConnectError;
                _ = asked.tries[attempt as usize].over.get_or_insert((now, waits));
            }
            Fact::Answering { .. } => asked.answering += 1,
            Fact::FirstByte { attempt, .. } => asked.tries[attempt as usize].first = Some(now),
            Fact::LastByte { attempt, .. } => asked.tries[attempt as usize].last = Some(now),
            Fact::Closed { attempt, outcome, .. } => {
                let it = &mut asked.tries[attempt as usize];
                it.closed = true;
                it.never_ran = it.last.is_none() || outcome == Some(Outcome::QueueFull);
            }
            Fact::Answered { answer, .. } => {
                asked.answers.push(answer);
                asked.free = true;
            }
            Fact::Left { .. } => (asked.left, asked.free) = (true, true),
            Fact::LeftTold { .. } => asked.left_told = true,
            Fact::Lost { .. } => {
                asked.free = true;
                asked.tries.iter_mut().for_each(|it| it.closed = true);
            }
            _ => {}
        }
        if asked.free {
            let by = asked.arrived + asked.time_left + self.settings.answer_slack + BEHIND;
            self.owed.remove(&(by, fact.id().expect("just seen")));
        }
    }

    fn asked(&self, id: RequestId) -> &Asked {
        &self.asked[&id]
    }

    fn class(&self, asked: &Asked) -> &Class {
        &self.settings.classes[asked.class]
    }

    /// Who asked a process that ends now and has no answer.
    pub fn forgotten(&self, process: usize) -> Option<RequestId> {
        self.owed.iter().map(|it| it.1).find(|id| self.asked[id].process == process)
    }

    /// The request and its attempt whose first byte this fact is.
    fn begins(&self, fact: &Fact) -> Option<(&Asked, usize, &Try)> {
        let &Fact::FirstByte { id, attempt } = fact else { return None };
        let asked = self.asked(id);
        Some((asked, attempt as usize, &asked.tries[attempt as usize]))
    }
}

fn fail<T>(what: String) -> Result<T, String> {
    Err(what)
}

/// Never two, none late, and none after it was served.
fn one_final_answer(ledger: &Ledger, fact: &Fact) -> Result<(), String> {
    match *fact {
        Fact::Passed => match ledger.owed.first() {
            Some(&(by, id)) if by < ledger.now => fail(format!("{id:?} has no answer, its time is up")),
            _ => Ok(()),
        },
        Fact::Answered { id, .. } | Fact::Answering { id } => {
            let asked = ledger.asked(id);
            if asked.answers.len() > 1 || asked.answering > 1 {
                return fail(format!("a second answer: {:?}", asked.answers));
            }
            match asked.answers.first() {
                Some(Final::Served) if asked.answering > 0 => fail("answered after it was served".into()),
                _ => Ok(()),
            }
        }
        _ => Ok(()),
    }
}

/// An attempt is out from its first byte until it is closed.
fn one_attempt_out(ledger: &Ledger, fact: &Fact) -> Result<(), String> {
    let Some((asked, ..)) = ledger.begins(fact) else { return Ok(()) };
    let out = asked.tries.iter().filter(|it| it.first.is_some() && !it.closed).count();
    if out > 1 { fail(format!("{out} attempts out")) } else { Ok(()) }
}

/// No first byte later than the grace after its server's drain or removal was told to that process.
fn nothing_new_where_it_drains(ledger: &Ledger, fact: &Fact) -> Result<(), String> {
    let Some((asked, _, it)) = ledger.begins(fact) else { return Ok(()) };
    match ledger.drains.get(&(asked.process, it.server)).copied().flatten() {
        Some(told) if ledger.now > told + ledger.settings.drain_grace + CROSSING => {
            fail(format!("process {} was told {told:?} that {:?} drains", asked.process, it.server))
        }
        _ => Ok(()),
    }
}

/// No first byte while the list is not vouched for.
fn nothing_new_unvouched(ledger: &Ledger, fact: &Fact) -> Result<(), String> {
    let Some((asked, ..)) = ledger.begins(fact) else { return Ok(()) };
    match ledger.unheard.get(&asked.process) {
        Some(&(since, told)) if ledger.now > (since + SILENCE_TOLD).max(told) + CROSSING => {
            fail(format!("process {} has heard nothing since {since:?}", asked.process))
        }
        _ => Ok(()),
    }
}

/// No attempt is chosen for whom the core knows to have left, and no first byte written for who has.
fn nothing_for_who_has_left(ledger: &Ledger, fact: &Fact) -> Result<(), String> {
    match *fact {
        Fact::Chosen { id, .. } if ledger.asked(id).left_told => fail("chosen for nobody".into()),
        Fact::FirstByte { id, .. } if ledger.asked(id).left => fail("begun for nobody".into()),
        _ => Ok(()),
    }
}

/// No repeat's first byte after the window, from the first byte of the first attempt that may have run.
fn keyed_within_window(ledger: &Ledger, fact: &Fact) -> Result<(), String> {
    let Some((asked, attempt, _)) = ledger.begins(fact) else { return Ok(()) };
    let Effect::Keyed { window, .. } = ledger.class(asked).effect else { return Ok(()) };
    match asked.ran_before(attempt).and_then(|it| it.first) {
        Some(first) if ledger.now.since(first) > window + CROSSING => {
            fail(format!("{:?} after the first, of {window:?}", ledger.now.since(first)))
        }
        _ => Ok(()),
    }
}

/// No repeat outside the group of the first server that may have run it.
fn keyed_within_group(ledger: &Ledger, fact: &Fact) -> Result<(), String> {
    let Some((asked, attempt, it)) = ledger.begins(fact) else { return Ok(()) };
    let Effect::Keyed { group, .. } = ledger.class(asked).effect else { return Ok(()) };
    let Some(ran) = asked.ran_before(attempt) else { return Ok(()) };
    let ((zone, cell), (first_zone, first_cell)) = (ledger.places[&it.server], ledger.places[&ran.server]);
    let within = match group {
        KeyedGroup::All => true,
        KeyedGroup::Zone => zone == first_zone,
        KeyedGroup::Cell => cell == first_cell,
    };
    if within { Ok(()) } else { fail(format!("{:?} after {:?}, of {group:?}", it.server, ran.server)) }
}

/// No second attempt once one may have run.
fn unsafe_once(ledger: &Ledger, fact: &Fact) -> Result<(), String> {
    let Some((asked, attempt, _)) = ledger.begins(fact) else { return Ok(()) };
    match asked.ran_before(attempt) {
        Some(ran) if ledger.class(asked).effect == Effect::Unsafe => fail(format!("may have run: {ran:?}")),
        _ => Ok(()),
    }
}

/// A refusal says that trying again does no harm, at any gateway and server: so nothing may have run, or all
/// servers drop the repeat.
fn harmless_refusal(ledger: &Ledger, fact: &Fact) -> Result<(), String> {
    let &Fact::Answered { id, answer: Final::Refused } = fact else { return Ok(()) };
    let asked = ledger.asked(id);
    let harmless =
        matches!(ledger.class(asked).effect, Effect::Safe | Effect::Keyed { group: KeyedGroup::All, .. });
    match asked.ran_before(asked.tries.len()) {
        Some(ran) if !harmless => fail(format!("may have run: {ran:?}")),
        _ => Ok(()),
    }
}

/// What all who know of a server's start choose it for within the time that the settings name is no more than may
/// push it over: N and two of its roots and two more (STANDING, on cold servers). Counted when it is chosen, as a
/// right is used then: how late a connection comes up is the network's doing.
fn rights_within_rule(ledger: &Ledger, fact: &Fact) -> Result<(), String> {
    let &Fact::Chosen { id, server, .. } = fact else { return Ok(()) };
    let process = ledger.asked(id).process;
    let Some(started) = ledger.started.get(&(process, server)).copied().flatten() else { return Ok(()) };
    let (now, settings) = (ledger.now, &ledger.settings);
    let age = now.since(started);
    if age >= settings.warm_within {
        return Ok(());
    }
    let part =
        settings.cold_from + (1.0 - settings.cold_from) * age.as_secs() / settings.warm_within.as_secs();
    let rate = settings.fall_multiple * part * ledger.full / settings.warm_within.as_secs();
    let n = rate * settings.overload_for.as_secs();
    let allowed = n + 2.0 * n.sqrt() + 2.0;
    let times = &ledger.cold[&(server, started)];
    let lately = times.iter().rev().take_while(|&&at| now.since(at) < settings.overload_for).count();
    if lately as f64 > allowed {
        return fail(format!(
            "{lately} within {:?}, {allowed:.1} push it over at {age:?}",
            settings.overload_for
        ));
    }
    Ok(())
}

/// An attempt's time and the wait before it follow from the request's own class.
fn own_class(ledger: &Ledger, fact: &Fact) -> Result<(), String> {
    let &Fact::Chosen { id, attempt, timeout, .. } = fact else { return Ok(()) };
    let asked = ledger.asked(id);
    let (class, left) = (ledger.class(asked), asked.deadline().since(ledger.now));
    let near = |a: Span, b: Span| a <= b + ROUNDING && b <= a + ROUNDING;
    let last = attempt + 1 >= ledger.settings.max_attempts || class.effect == Effect::Unsafe;
    let part = class.aim.max(left.scale(0.5)).min(left);
    if !near(timeout, left) && (last || !near(timeout, part)) {
        return fail(format!("not the time-out of {class:?}, {left:?} before its deadline"));
    }
    let Some(before) = (attempt as usize).checked_sub(1).map(|it| &asked.tries[it]) else { return Ok(()) };
    let wait = class.aim.scale(LEAST_WAIT * f64::from(1 << (attempt - 1).min(6)));
    match before.over {
        Some((at, true)) if ledger.now + ROUNDING < at + wait => {
            fail(format!("repeated {:?} after the end of {before:?}, not {wait:?}", ledger.now.since(at)))
        }
        _ => Ok(()),
    }
}
