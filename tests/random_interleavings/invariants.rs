//! The invariants of a simulation, each checked by one function.

use ashtide::{DeduplicationScope, Idempotency, Span};

use super::history::{ClientAnswer, History, MAX_DELIVERY_DELAY, Occurrence};

/// The time from the start of a watch's silence until its list expires (STANDING, "One clock for silence").
const LIST_VALIDITY: Span = Span::from_micros(6_000_000);
/// The shortest backoff before the first retry, as a fraction of the latency objective. It doubles with each
/// attempt.
const MIN_BACKOFF_FACTOR: f64 = 0.5 * 0.2;
/// The tolerance for spans that are rounded to microseconds in different orders.
const ROUNDING: Span = Span::from_micros(2);

/// The name of an invariant. The function that checks it has the same name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    OneFinalAnswer,
    OneAttemptInFlight,
    NothingNewOnDrainingServer,
    NothingNewOnExpiredList,
    NothingForDepartedClient,
    RetryWithinIdempotencyWindow,
    RetryWithinDeduplicationScope,
    NonIdempotentOnce,
    RejectionIsHarmless,
    PermitsWithinLimit,
    TimeoutOfOwnClass,
}

/// The violation of an invariant.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{invariant:?}: {details}")]
pub struct Violation {
    pub invariant: Invariant,
    /// The occurrence that violated the invariant and what was found.
    pub details: String,
}

type CheckResult = Result<(), String>;
type Check = fn(&History, &Occurrence) -> CheckResult;

const CHECKS: [(Invariant, Check); 11] = [
    (Invariant::OneFinalAnswer, one_final_answer),
    (Invariant::OneAttemptInFlight, one_attempt_in_flight),
    (Invariant::NothingNewOnDrainingServer, nothing_new_on_draining_server),
    (Invariant::NothingNewOnExpiredList, nothing_new_on_expired_list),
    (Invariant::NothingForDepartedClient, nothing_for_departed_client),
    (Invariant::RetryWithinIdempotencyWindow, retry_within_idempotency_window),
    (Invariant::RetryWithinDeduplicationScope, retry_within_deduplication_scope),
    (Invariant::NonIdempotentOnce, non_idempotent_once),
    (Invariant::RejectionIsHarmless, rejection_is_harmless),
    (Invariant::PermitsWithinLimit, permits_within_limit),
    (Invariant::TimeoutOfOwnClass, timeout_of_own_class),
];

/// Checks all invariants after this occurrence.
///
/// # Errors
///
/// Returns the first violated invariant.
pub fn check(history: &History, occurrence: &Occurrence) -> Result<(), Violation> {
    CHECKS.iter().try_for_each(|&(invariant, check)| {
        check(history, occurrence)
            .map_err(|finding| Violation { invariant, details: format!("{occurrence:?}: {finding}") })
    })
}

/// Each request gets one answer, within the answer slack after its deadline, and no further answer after it
/// was served.
fn one_final_answer(history: &History, occurrence: &Occurrence) -> CheckResult {
    match *occurrence {
        Occurrence::TimeAdvanced => match history.unanswered.first() {
            Some(&(due_at, id)) if due_at < history.now => {
                Err(format!("{id:?} has no answer at {:?}, due at {due_at:?}", history.now))
            }
            _ => Ok(()),
        },
        Occurrence::Answered { id, .. } | Occurrence::AnswerDecided { id } => {
            let request = history.request(id);
            if request.answers.len() > 1 || request.answers_decided > 1 {
                return Err(format!(
                    "request answered more than once: {:?}, {} decided by the engine",
                    request.answers, request.answers_decided
                ));
            }
            match request.answers.first() {
                Some(ClientAnswer::Served) if request.answers_decided > 0 => {
                    Err("the engine decided an answer for a request that was served".into())
                }
                _ => Ok(()),
            }
        }
        _ => Ok(()),
    }
}

/// At most one attempt of a request is in flight, which is the time from its first byte until it is closed.
fn one_attempt_in_flight(history: &History, occurrence: &Occurrence) -> CheckResult {
    let Some(starting) = history.starting_attempt(occurrence) else { return Ok(()) };
    let attempts = &starting.request.attempts;
    let in_flight =
        attempts.iter().filter(|attempt| attempt.first_byte_at.is_some() && !attempt.closed).count();
    if in_flight > 1 {
        Err(format!("{in_flight} attempts of the request in flight, expected at most 1"))
    } else {
        Ok(())
    }
}

/// No first byte is sent later than the drain grace after the process was notified that the server drains or
/// is removed.
fn nothing_new_on_draining_server(history: &History, occurrence: &Occurrence) -> CheckResult {
    let Some(starting) = history.starting_attempt(occurrence) else { return Ok(()) };
    let process = starting.request.process;
    let server = starting.record.server;
    match history.not_ready_since.get(&(process, server)).copied().flatten() {
        Some(notified_at)
            if history.now > notified_at + history.settings.drain_grace + MAX_DELIVERY_DELAY =>
        {
            Err(format!("process {process} was notified at {notified_at:?} that {server:?} is not ready"))
        }
        _ => Ok(()),
    }
}

/// No first byte is sent while the list is expired.
fn nothing_new_on_expired_list(history: &History, occurrence: &Occurrence) -> CheckResult {
    let Some(starting) = history.starting_attempt(occurrence) else { return Ok(()) };
    let process = starting.request.process;
    let Some(lost_watch) = history.lost_watches.get(&process) else { return Ok(()) };
    let expires_at = (lost_watch.silent_since + LIST_VALIDITY).max(lost_watch.reported_at);
    if history.now <= expires_at + MAX_DELIVERY_DELAY {
        return Ok(());
    }
    Err(format!(
        "the list of process {process} expired at {expires_at:?}, its watch is silent since {:?}",
        lost_watch.silent_since
    ))
}

/// No server is chosen for a client whose departure was reported to the engine, and no first byte is sent for
/// a client that has left.
fn nothing_for_departed_client(history: &History, occurrence: &Occurrence) -> CheckResult {
    match *occurrence {
        Occurrence::Chosen { id, .. } if history.request(id).departure_reported => {
            Err("server chosen for a client that has left".into())
        }
        Occurrence::FirstByte { id, .. } if history.request(id).client_left => {
            Err("first byte sent for a client that has left".into())
        }
        _ => Ok(()),
    }
}

/// No retry starts after the idempotency window of the first attempt that may have been executed.
fn retry_within_idempotency_window(history: &History, occurrence: &Occurrence) -> CheckResult {
    let Some(starting) = history.starting_attempt(occurrence) else { return Ok(()) };
    let Idempotency::WithKey { remembered_for: window, .. } = history.class(starting.request).idempotency
    else {
        return Ok(());
    };
    match starting.earlier_execution().and_then(|attempt| attempt.first_byte_at) {
        Some(first) if history.now.since(first) > window + MAX_DELIVERY_DELAY => Err(format!(
            "retry {:?} after an attempt that may have been executed, allowed within {window:?}",
            history.now.since(first)
        )),
        _ => Ok(()),
    }
}

/// No retry starts on a server that does not recognise the first attempt that may have been executed.
fn retry_within_deduplication_scope(history: &History, occurrence: &Occurrence) -> CheckResult {
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
    if is_recognised {
        Ok(())
    } else {
        Err(format!("retry on {server:?} after {:?}, allowed within the scope {scope:?}", first.server))
    }
}

/// No further attempt of a non-idempotent request starts once an attempt may have been executed.
fn non_idempotent_once(history: &History, occurrence: &Occurrence) -> CheckResult {
    let Some(starting) = history.starting_attempt(occurrence) else { return Ok(()) };
    match starting.earlier_execution() {
        Some(executed) if history.class(starting.request).idempotency == Idempotency::NotIdempotent => {
            Err(format!(
                "non-idempotent request retried although an attempt may have been executed: {executed:?}"
            ))
        }
        _ => Ok(()),
    }
}

/// A rejection promises that a retry is safe at any gateway and server: no attempt may have been executed, or
/// all servers recognise the retry.
fn rejection_is_harmless(history: &History, occurrence: &Occurrence) -> CheckResult {
    let &Occurrence::Answered { id, answer: ClientAnswer::Rejected } = occurrence else { return Ok(()) };
    let request = history.request(id);
    let retry_is_safe = matches!(
        history.class(request).idempotency,
        Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
    );
    match request.first_possible_execution(request.attempts.len()) {
        Some(executed) if !retry_is_safe => {
            Err(format!("rejected although an attempt may have been executed: {executed:?}"))
        }
        _ => Ok(()),
    }
}

/// Within the overload window, the processes that know the start time of a warming server choose it at most
/// `N + 2 sqrt(N) + 2` times in total (STANDING, on cold servers). N is the number of attempts in that window
/// at the highest rate that does not overload the server.
///
/// An attempt counts when its server is chosen, since that uses a permit.
fn permits_within_limit(history: &History, occurrence: &Occurrence) -> CheckResult {
    let &Occurrence::Chosen { id, server, .. } = occurrence else { return Ok(()) };
    let process = history.request(id).process;
    let Some(started_at) = history.started_at.get(&(process, server)).copied().flatten() else {
        return Ok(());
    };
    let now = history.now;
    let settings = &history.settings;
    let age = now.since(started_at);
    if age >= settings.warm_up_time {
        return Ok(());
    }
    let capacity_share = settings.initial_capacity_share
        + (1.0 - settings.initial_capacity_share) * age.as_secs() / settings.warm_up_time.as_secs();
    let rate = settings.overload_factor * capacity_share * history.connections_when_full
        / settings.warm_up_time.as_secs();
    let expected = rate * settings.overload_window.as_secs();
    let allowed = expected + 2.0 * expected.sqrt() + 2.0;
    let times = &history.attempts_since_start[&(server, started_at)];
    let recent_attempts =
        times.iter().rev().take_while(|&&chosen_at| now.since(chosen_at) < settings.overload_window).count();
    if recent_attempts as f64 > allowed {
        return Err(format!(
            "{recent_attempts} attempts within {:?}, at most {allowed:.1} allowed {age:?} after the start",
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
    let time_left = request.deadline().since(history.now);
    let is_close = |left: Span, right: Span| left <= right + ROUNDING && right <= left + ROUNDING;
    let is_last_attempt =
        attempt + 1 >= history.settings.max_attempts || class.idempotency == Idempotency::NotIdempotent;
    let expected_timeout = class.latency_objective.max(time_left.scale(0.5)).min(time_left);
    if !is_close(timeout, time_left) && (is_last_attempt || !is_close(timeout, expected_timeout)) {
        return Err(format!(
            "timeout {timeout:?} does not follow from {class:?}, {time_left:?} before its deadline"
        ));
    }
    let Some(previous) = (attempt as usize).checked_sub(1).map(|number| &request.attempts[number]) else {
        return Ok(());
    };
    let backoff = class.latency_objective.scale(MIN_BACKOFF_FACTOR * f64::from(1 << (attempt - 1).min(6)));
    match previous.end {
        Some(end) if end.needs_backoff && history.now + ROUNDING < end.at + backoff => {
            let waited = history.now.since(end.at);
            Err(format!("retry {waited:?} after the end of {previous:?}, expected a backoff of {backoff:?}"))
        }
        _ => Ok(()),
    }
}
