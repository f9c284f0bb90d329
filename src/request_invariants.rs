//! What may never happen to a request, checked as it happens.
//!
//! The decisions say what may be sent, repeated and answered; this module keeps a record of its own of what the engine
//! did, by other means, and names what broke a rule of the protocol. It decides nothing, and has no socket and no
//! clock. The driver counts and logs what it finds; a debug build ends.

use std::collections::BTreeMap;

use crate::interface::{
    CellId, ClassId, Effect, KeyedGroup, Listing, Outcome, RequestId, ServerId, ServerState, Settings, Span,
    Time, ZoneId,
};

/// A final answer earns nothing this long after its time, and counts as lost later (STANDING).
const LOST_AFTER: Span = Span::from_micros(500_000);
/// Violations that wait to be logged at most; further ones are counted alone.
const MAX_WAITING: usize = 16;

/// A broken rule, and the request that it befell.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum Violation {
    /// An attempt was begun while another of the same request was out.
    #[error("request {}: attempt {attempt} begun while attempt {out} is out", id.0)]
    TwoAttempts {
        /// The request.
        id: RequestId,
        /// The attempt begun.
        attempt: u32,
        /// The attempt that was out.
        out: u32,
    },
    /// An attempt was begun for a request that had its answer, or whose client had left.
    #[error("request {}: attempt {attempt} begun after its end", id.0)]
    AfterItsEnd {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// A request that must not be repeated was, or not where or when it may be.
    #[error("request {}: attempt {attempt} repeats what may have run", id.0)]
    Repeated {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt was begun at a server that was told to drain, or gone, beyond the grace.
    #[error("request {}: attempt {attempt} begun at server {} that left {} us ago", id.0, server.0, ago.as_micros())]
    Drained {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// How long ago it was told.
        ago: Span,
    },
    /// A refusal promised that nothing had run, which may not be so.
    #[error("request {}: refused though an attempt may have run", id.0)]
    FalseRefusal {
        /// The request.
        id: RequestId,
    },
    /// A final answer came so late that the request is lost.
    #[error("request {}: answered {} us after its deadline", id.0, late.as_micros())]
    LateAnswer {
        /// The request.
        id: RequestId,
        /// By how much.
        late: Span,
    },
}

impl Violation {
    /// What an operator can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::LateAnswer { .. } => {
                "see whether this process or its machine stalled; else report the line"
            }
            _ => "a fault of the program: report the line with those about the same request",
        }
    }
}

/// The first attempt that may have run.
#[derive(Debug, Clone, Copy)]
struct Ran {
    zone: ZoneId,
    cell: CellId,
    begun: Time,
}

/// An attempt whose first byte was allowed.
#[derive(Debug, Clone, Copy)]
struct Begun {
    attempt: u32,
    ran: Ran,
}

/// A request that has not had its answer.
#[derive(Debug)]
struct Open {
    class: ClassId,
    deadline: Time,
    out: Option<Begun>,
    ran: Option<Ran>,
}

/// A server as the list tells it.
#[derive(Debug)]
struct Server {
    zone: ZoneId,
    cell: CellId,
    /// Since when it takes nothing new.
    left: Option<Time>,
}

/// The record of all open requests of one gateway, and what was found.
#[derive(Debug)]
pub struct RequestInvariants {
    effects: Vec<Effect>,
    drain_grace: Span,
    answer_slack: Span,
    servers: BTreeMap<ServerId, Server>,
    open: BTreeMap<RequestId, Open>,
    waiting: Vec<Violation>,
    count: u64,
}

impl RequestInvariants {
    /// An empty record under these settings.
    pub fn new(settings: &Settings) -> Self {
        Self {
            effects: settings.classes.iter().map(|class| class.effect).collect(),
            drain_grace: settings.drain_grace,
            answer_slack: settings.answer_slack,
            servers: BTreeMap::new(),
            open: BTreeMap::new(),
            waiting: Vec::new(),
            count: 0,
        }
    }

    /// The list tells this of a server, or operators do.
    pub fn listed(&mut self, now: Time, entry: &Listing) {
        let ready = entry.state == ServerState::Ready;
        let left = self.servers.get(&entry.server).and_then(|server| server.left);
        let left = if ready { None } else { Some(left.unwrap_or(now)) };
        self.servers.insert(entry.server, Server { zone: entry.zone, cell: entry.cell, left });
    }

    /// A whole list has come, which lacks all servers but those that are told next.
    pub fn listed_anew(&mut self, now: Time) {
        for server in self.servers.values_mut() {
            server.left.get_or_insert(now);
        }
    }

    /// A request was taken.
    pub fn requested(&mut self, now: Time, id: RequestId, class: ClassId, time_left: Span) {
        self.open.insert(id, Open { class, deadline: now + time_left, out: None, ran: None });
    }

    /// The first byte of an attempt is allowed now.
    pub fn begun(&mut self, now: Time, id: RequestId, attempt: u32, server: ServerId) {
        let known = self.servers.get(&server);
        let left = known.and_then(|server| server.left).map(|at| now.since(at));
        if let Some(ago) = left.filter(|&ago| ago > self.drain_grace) {
            self.found(Violation::Drained { id, attempt, server, ago });
        }
        let known = self.servers.get(&server);
        let ran = Ran {
            zone: known.map_or_else(ZoneId::default, |server| server.zone),
            cell: known.map_or_else(CellId::default, |server| server.cell),
            begun: now,
        };
        let Some(open) = self.open.get_mut(&id) else {
            return self.found(Violation::AfterItsEnd { id, attempt });
        };
        let before = open.out.replace(Begun { attempt, ran });
        let effect = self.effects.get(open.class.0 as usize).copied().unwrap_or(Effect::Unsafe);
        let repeats = open.ran.is_some_and(|first| !may_repeat(effect, first, ran));
        if let Some(before) = before {
            self.found(Violation::TwoAttempts { id, attempt, out: before.attempt });
        }
        if repeats {
            self.found(Violation::Repeated { id, attempt });
        }
    }

    /// An attempt has ended.
    pub fn ended(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(begun) = open.out.take_if(|begun| begun.attempt == attempt) else { return };
        if !outcome.never_ran() {
            open.ran.get_or_insert(begun.ran);
        }
    }

    /// The request has its final answer, which is a refusal or a failure.
    pub fn answered(&mut self, now: Time, id: RequestId, refused: bool) {
        let Some(open) = self.open.remove(&id) else { return };
        let late = now.since(open.deadline + self.answer_slack);
        if late > LOST_AFTER {
            self.found(Violation::LateAnswer { id, late });
        }
        let effect = self.effects.get(open.class.0 as usize).copied().unwrap_or(Effect::Unsafe);
        let harmless = matches!(effect, Effect::Safe | Effect::Keyed { group: KeyedGroup::All, .. });
        if refused && !harmless && (open.ran.is_some() || open.out.is_some()) {
            self.found(Violation::FalseRefusal { id });
        }
    }

    /// The request is served, or its client has gone: nothing is owed any more.
    pub fn over(&mut self, id: RequestId) {
        self.open.remove(&id);
    }

    /// What was found since the last call, as far as it was kept.
    pub fn take(&mut self) -> Vec<Violation> {
        std::mem::take(&mut self.waiting)
    }

    /// How many were found since the start.
    pub fn count(&self) -> u64 {
        self.count
    }

    fn found(&mut self, violation: Violation) {
        self.count += 1;
        if self.waiting.len() < MAX_WAITING {
            self.waiting.push(violation);
        }
    }
}

/// Whether an attempt may follow one that may have run.
fn may_repeat(effect: Effect, first: Ran, next: Ran) -> bool {
    match effect {
        Effect::Safe => true,
        Effect::Unsafe => false,
        Effect::Keyed { group, window } => {
            let known = match group {
                KeyedGroup::All => true,
                KeyedGroup::Zone => first.zone == next.zone,
                KeyedGroup::Cell => first.cell == next.cell,
            };
            known && next.begun.since(first.begun) < window
        }
    }
}
