//! The invariants of a simulation: one function each.

use ashtide::{DeduplicationScope, Idempotency, Span};

use super::history::{ClientAnswer, History, MAX_DELIVERY_DELAY, Occurrence};

/// A list expires this long after its watch fell silent (STANDING, "One clock for silence").
const SILENCE_GRACE: Span = Span::from_micros(6_000_000);
/// Shortest backoff before a retry, as a fraction of the latency objective; it doubles with each attempt.
const MIN_BACKOFF_FACTOR: f64 = 0.5 * 0.2;
/// Spans are rounded to whole microseconds in different orders.
const ROUNDING: Span = Span::from_micros(2);

/// An invariant, as violations name it.
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

/// A violated invariant, and how it was violated.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{invariant:?}: {what}")]
pub struct Violation {
    pub invariant: Invariant,
    pub what: String,
}

type CheckResult = Result<(), String>;
type Check = fn(&History, &Occurrence) -> CheckResult;

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

/// Checks all invariants after this occurrence.
///
/// # Errors
///
/// Names the invariant that does not hold.
pub fn check(history: &History, occurrence: &Occurrence) -> Result<(), Violation> {
    CHECKS.iter().try_for_each(|&(invariant, check)| {
        check(history, occurrence)
            .map_err(|what| Violation { invariant, what: format!("{occurrence:?}: {what}") })
    })
}

/// A request gets one answer, not late, and none after it was served.
fn one_final_answer(history: &History, occurrence: &Occurrence) -> CheckResult {
    match *occurrence {
        Occurrence::TimeAdvanced => match history.unanswered.first() {
            Some(&(due_at, id)) if due_at < history.now => {
                Err(format!("{id:?} has no answer, its time is up"))
            }
            _ => Ok(()),
        },
        Occurrence::Answered { id, .. } | Occurrence::AnswerDecided { id } => {
            let request = history.request(id);
            if request.answers.len() > 1 || request.answers_decided > 1 {
                return Err(format!("a second answer: {:?}", request.answers));
            }
            match request.answers.first() {
                Some(ClientAnswer::Served) if request.answers_decided > 0 => {
                    Err("answered after it was served".into())
                }
                _ => Ok(()),
            }
        }
        _ => Ok(()),
    }
}

/// An attempt is in flight from its first byte until it is closed.
fn one_attempt_in_flight(history: &History, occurrence: &Occurrence) -> CheckResult {
    let Some(starting) = history.starting_attempt(occurrence) else { return Ok(()) };
    let attempts = &starting.request.attempts;
    let in_flight =
        attempts.iter().filter(|attempt| attempt.first_byte_at.is_some() && !attempt.closed).count();
    if in_flight > 1 { Err(format!("{in_flight} attempts in flight")) } else { Ok(()) }
}

/// No first byte is sent later than the grace after the process was told that the server drains or is removed.
fn nothing_new_on_draining_server(history: &History, occurrence: &Occurrence) -> CheckResult {
    let Some(starting) = history.starting_attempt(occurrence) else { return Ok(()) };
    let process = starting.request.process;
    let server = starting.record.server;
    match history.not_ready_since.get(&(process, server)).copied().flatten() {
        Some(told) if history.now > told + history.settings.drain_grace + MAX_DELIVERY_DELAY => {
            Err(format!("process {process} was told {told:?} that {server:?} drains"))
        }
        _ => Ok(()),
    }
}

/// No first byte is sent while the list is expired.
fn nothing_new_on_expired_list(history: &History, occurrence: &Occurrence) -> CheckResult {
    let Some(starting) = history.starting_attempt(occurrence) else { return Ok(()) };
    let process = starting.request.process;
    let Some(lost) = history.watch_lost.get(&process) else { return Ok(()) };
    let expires_at = (lost.since + SILENCE_GRACE).max(lost.reported_at);
    if history.now <= expires_at + MAX_DELIVERY_DELAY {
        return Ok(());
    }
    Err(format!("process {process} has lost its watch since {:?}", lost.since))
}

/// No attempt is chosen for a client that the engine knows to have left, and no first byte is sent for one that has.
fn nothing_for_departed_client(history: &History, occurrence: &Occurrence) -> CheckResult {
    match *occurrence {
        Occurrence::Chosen { id, .. } if history.request(id).departure_reported => {
            Err("chosen for a client that has left".into())
        }
        Occurrence::FirstByte { id, .. } if history.request(id).left => {
            Err("sent for a client that has left".into())
        }
        _ => Ok(()),
    }
}

/// No retry starts after the time in which the first attempt that may have run is recognised.
fn retry_within_key_window(history: &History, occurrence: &Occurrence) -> CheckResult {
    let Some(starting) = history.starting_attempt(occurrence) else { return Ok(()) };
    let Idempotency::WithKey { remembered_for: window, .. } = history.class(starting.request).idempotency
    else {
        return Ok(());
    };
    match starting.earlier_execution().and_then(|attempt| attempt.first_byte_at) {
        Some(first) if history.now.since(first) > window + MAX_DELIVERY_DELAY => {
            Err(format!("{:?} after the first, of {window:?}", history.now.since(first)))
        }
        _ => Ok(()),
    }
}

/// No retry starts outside the group of the first server that may have run the request.
fn retry_within_key_group(history: &History, occurrence: &Occurrence) -> CheckResult {
    let Some(starting) = history.starting_attempt(occurrence) else { return Ok(()) };
    let Idempotency::WithKey { scope, .. } = history.class(starting.request).idempotency else {
        return Ok(());
    };
    let Some(first) = starting.earlier_execution() else { return Ok(()) };
    let server = starting.record.server;
    let (zone, cell) = history.locations[&server];
    let (first_zone, first_cell) = history.locations[&first.server];
    let is_recognised = match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => zone == first_zone,
        DeduplicationScope::Cell => cell == first_cell,
    };
    if is_recognised { Ok(()) } else { Err(format!("{server:?} after {:?}, of {scope:?}", first.server)) }
}

/// No second attempt starts once one may have run.
fn non_idempotent_once(history: &History, occurrence: &Occurrence) -> CheckResult {
    let Some(starting) = history.starting_attempt(occurrence) else { return Ok(()) };
    match starting.earlier_execution() {
        Some(ran) if history.class(starting.request).idempotency == Idempotency::NotIdempotent => {
            Err(format!("may have run: {ran:?}"))
        }
        _ => Ok(()),
    }
}

/// A rejection promises that a retry does no harm, at any gateway and server: nothing may have run, or all servers
/// recognise the retry.
fn rejection_is_harmless(history: &History, occurrence: &Occurrence) -> CheckResult {
    let &Occurrence::Answered { id, answer: ClientAnswer::Rejected } = occurrence else { return Ok(()) };
    let request = history.request(id);
    let harmless = matches!(
        history.class(request).idempotency,
        Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
    );
    match request.first_possible_execution(request.attempts.len()) {
        Some(ran) if !harmless => Err(format!("may have run: {ran:?}")),
        _ => Ok(()),
    }
}

/// Within the overload window, all processes that know of a server's start choose it at most as often as does not
/// overload it: N + 2 sqrt(N) + 2 (STANDING, on cold servers). Counted when it is chosen, since a permit is used then.
fn permits_within_limit(history: &History, occurrence: &Occurrence) -> CheckResult {
    let &Occurrence::Chosen { id, server, .. } = occurrence else { return Ok(()) };
    let process = history.request(id).process;
    let Some(started) = history.started_at.get(&(process, server)).copied().flatten() else { return Ok(()) };
    let now = history.now;
    let settings = &history.settings;
    let age = now.since(started);
    if age >= settings.warm_up_time {
        return Ok(());
    }
    let part = settings.initial_capacity_share
        + (1.0 - settings.initial_capacity_share) * age.as_secs() / settings.warm_up_time.as_secs();
    let rate =
        settings.overload_factor * part * history.connections_when_full / settings.warm_up_time.as_secs();
    let expected = rate * settings.overload_window.as_secs();
    let allowed = expected + 2.0 * expected.sqrt() + 2.0;
    let times = &history.attempts_since_start[&(server, started)];
    let lately =
        times.iter().rev().take_while(|&&chosen_at| now.since(chosen_at) < settings.overload_window).count();
    if lately as f64 > allowed {
        return Err(format!(
            "{lately} within {:?}, {allowed:.1} overload it at {age:?}",
            settings.overload_window
        ));
    }
    Ok(())
}

/// The timeout of an attempt and the backoff before it follow from the request's own class.
fn timeout_of_own_class(history: &History, occurrence: &Occurrence) -> CheckResult {
    let &Occurrence::Chosen { id, attempt, timeout, .. } = occurrence else { return Ok(()) };
    let request = history.request(id);
    let class = history.class(request);
    let left = request.deadline().since(history.now);
    let near = |one: Span, other: Span| one <= other + ROUNDING && other <= one + ROUNDING;
    let last =
        attempt + 1 >= history.settings.max_attempts || class.idempotency == Idempotency::NotIdempotent;
    let part = class.latency_objective.max(left.scale(0.5)).min(left);
    if !near(timeout, left) && (last || !near(timeout, part)) {
        return Err(format!("not the timeout of {class:?}, {left:?} before its deadline"));
    }
    let Some(before) = (attempt as usize).checked_sub(1).map(|previous| &request.attempts[previous]) else {
        return Ok(());
    };
    let wait = class.latency_objective.scale(MIN_BACKOFF_FACTOR * f64::from(1 << (attempt - 1).min(6)));
    match before.end {
        Some(end) if end.needs_backoff && history.now + ROUNDING < end.at + wait => {
            let waited = history.now.since(end.at);
            Err(format!("retried {waited:?} after the end of {before:?}, not {wait:?}"))
        }
        _ => Ok(()),
    }
}
