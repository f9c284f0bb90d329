//! Checks of the invariants of every fault run, on its history alone.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::history::{Answer, CloseReason, Event, ExitCause, History};
use crate::plan::{FaultPlan, SlowStart};
use crate::violation::{DRAIN_PROPAGATION_US, Violation};

/// Time for which a cancelled attempt may still be in progress in the gateway, in microseconds.
const MAX_ATTEMPT_OVERLAP_US: u64 = 50_000;
/// Time for a send on loopback until the mock client or server has read it, in microseconds.
const SEND_DELAY_US: u64 = 100_000;
/// Time for which a suspended process may lag after it is resumed, in microseconds.
const STALL_RECOVERY_US: u64 = 1_000_000;
/// Time after SIGTERM during which a process gets new connections, in microseconds. It need not answer later
/// ones.
const SHUTDOWN_ACCEPT_US: u64 = 400_000;
/// Time within which a connection echoes a line, in microseconds.
const ECHO_TIMEOUT_US: u64 = 7_000_000;

/// The state of a process, taken from the history. Times are in microseconds since the start.
#[derive(Default)]
struct Process {
    gateway: usize,
    killed_at: Option<u64>,
    termination_requested_at: Option<u64>,
    /// The start and the end of each suspension; the end is `u64::MAX` while it lasts.
    stalls: Vec<(u64, u64)>,
}

impl Process {
    /// Checks whether the process was killed or suspended close to this period, so that its obligations in it
    /// are waived.
    fn is_excused(&self, from: u64, until: u64) -> bool {
        self.killed_at.is_some_and(|at| at <= until + SEND_DELAY_US)
            || self
                .stalls
                .iter()
                .any(|&(start, end)| start <= until && from <= end.saturating_add(STALL_RECOVERY_US))
    }
}

struct Request {
    at: u64,
    process: usize,
    answers: Vec<(u64, Answer)>,
}

struct Attempt<'a> {
    at: u64,
    until: u64,
    request: &'a str,
    server: &'a str,
}

/// Returns the violated invariants, in no particular order; empty if all hold.
pub fn violations(history: &History) -> Vec<Violation> {
    let plan = history.plan().cloned().unwrap_or_default();
    let (mut processes, mut requests) = (BTreeMap::<usize, Process>::new(), BTreeMap::<&str, Request>::new());
    let (mut attempts, mut receipts, mut found) = (Vec::new(), HashSet::new(), Vec::new());
    let (mut closed, mut settled) = (Vec::new(), false);
    // The listed states of each server with their times, and the servers that started cold.
    let (mut listed, mut cold_starts) = (HashMap::<&str, Vec<(u64, bool)>>::new(), Vec::new());
    for entry in &history.0 {
        let at = entry.at_us;
        match &entry.event {
            Event::Started { process, gateway } => {
                processes.entry(*process).or_default().gateway = *gateway;
            }
            Event::Stalled { process, stalled } => {
                let stalls = &mut processes.entry(*process).or_default().stalls;
                match (stalled, stalls.last_mut()) {
                    (true, _) => stalls.push((at, u64::MAX)),
                    (false, Some(last)) => last.1 = at,
                    (false, None) => {}
                }
            }
            Event::TerminationRequested { process } => {
                processes.entry(*process).or_default().termination_requested_at = Some(at)
            }
            Event::Ended { process, cause, success } => {
                let state = processes.entry(*process).or_default();
                if *cause == ExitCause::Killed {
                    state.killed_at = Some(at);
                } else if *cause == ExitCause::Unexpected || !success {
                    found.push(Violation::UnexpectedExit {
                        process: *process,
                        gateway: state.gateway,
                        at_us: at,
                        cause: *cause,
                    });
                }
            }
            Event::EndpointListed { server, status, cold: is_cold } => {
                listed.entry(server).or_default().push((at, status == "SERVING"));
                if *is_cold {
                    cold_starts.push((server.as_str(), at));
                }
            }
            Event::Request { request, process, .. } => {
                requests.insert(request, Request { at, process: *process, answers: Vec::new() });
            }
            Event::Answered { request, answer } => {
                if let Some(request) = requests.get_mut(request.as_str()) {
                    request.answers.push((at, answer.clone()));
                }
            }
            Event::Closed { request, reason } => closed.push((at, request.as_str(), *reason)),
            Event::Attempt { request, server, receipt, until_us } => {
                receipts.insert((request.as_str(), receipt.as_str()));
                attempts.push(Attempt { at, until: until_us.unwrap_or(u64::MAX), request, server });
            }
            Event::AdminSample { process, metrics, .. } => {
                let metric = |name: &str| metrics.get(name).copied().unwrap_or_default() as u64;
                let (ejected, limit) =
                    (metric("state_judged_capacity"), metric("state_most_judged_capacity"));
                if ejected > limit {
                    found.push(Violation::EjectionLimitExceeded {
                        process: *process,
                        at_us: at,
                        found: ejected,
                        limit,
                    });
                }
            }
            Event::Settled { differences } => {
                settled = true;
                found.extend(differences.iter().map(|what| Violation::NotConverged { what: what.clone() }));
            }
            _ => {}
        }
    }
    if !settled {
        found.push(Violation::NotConverged { what: "the history ends before the run converged".to_owned() });
    }
    attempts.sort_by_key(|attempt| attempt.at);
    check_answers(&plan, &requests, &processes, &receipts, &mut found);
    for (at, request, reason) in closed {
        let Some(Request { process, .. }) = requests.get(request) else { continue };
        let since = at.saturating_sub(ECHO_TIMEOUT_US);
        let excused = processes.get(process).is_some_and(|state| state.is_excused(since, at));
        if matches!(reason, CloseReason::Broken | CloseReason::Silent) && !excused {
            let request = request.to_owned();
            found.push(Violation::ConnectionDropped { request, process: *process, at_us: at, reason });
        }
    }
    check_overlaps(&attempts, &mut found);
    crate::quota::check_quotas(history, &plan, &mut found);
    for attempt in &attempts {
        let Some(states) = listed.get(attempt.server) else { continue };
        // The start of the drain that is in effect at the time of the attempt, if any.
        let drain_states = states.iter().rev().take_while(|&&(_, serving)| !serving).map(|&(at, _)| at);
        let Some(drained_at) = drain_states.last().filter(|&drained_at| drained_at <= attempt.at) else {
            continue;
        };
        let late_us = attempt.at - drained_at;
        let sender = requests.get(attempt.request).and_then(|request| processes.get(&request.process));
        let lagged = |state: &Process| {
            state.stalls.iter().any(|&(start, end)| {
                start <= attempt.at
                    && drained_at <= end
                    && attempt.at <= end.saturating_add(DRAIN_PROPAGATION_US)
            })
        };
        if late_us > DRAIN_PROPAGATION_US + SEND_DELAY_US && !sender.is_some_and(lagged) {
            let (request, server) = (attempt.request.to_owned(), attempt.server.to_owned());
            found.push(Violation::AttemptAfterDrain { request, server, late_us });
        }
    }
    for (server, started_at) in cold_starts {
        let times: Vec<u64> =
            attempts.iter().filter(|attempt| attempt.server == server).map(|attempt| attempt.at).collect();
        if let Some((at_us, used, limit)) =
            worst_slow_start_window(&times, started_at, &plan.slow_start, plan.connections_when_full())
        {
            if used as f64 > limit {
                found.push(Violation::SlowStartBudgetExceeded {
                    server: server.to_owned(),
                    at_us,
                    found: used,
                    limit,
                });
            }
        }
    }
    found
}

fn check_answers(
    plan: &FaultPlan,
    requests: &BTreeMap<&str, Request>,
    processes: &BTreeMap<usize, Process>,
    receipts: &HashSet<(&str, &str)>,
    found: &mut Vec<Violation>,
) {
    let (load_end, settle) = (plan.load_duration_ms * 1000, plan.settle_ms * 1000);
    for (&id, Request { at, process, answers }) in requests {
        let (request, process, at_us) = (id.to_owned(), *process, *at);
        let waited_until = at + plan.deadline_ms * 1000;
        let excused = processes.get(&process).is_some_and(|state| {
            state.is_excused(*at, waited_until)
                || state
                    .termination_requested_at
                    .is_some_and(|terminated_at| *at > terminated_at + SHUTDOWN_ACCEPT_US)
        });
        if answers.len() > 1 {
            found.push(Violation::DuplicateAnswer { request: request.clone(), found: answers.len() });
        }
        let observed = match answers.first().map(|(_, answer)| answer) {
            None => Some("the history ends before an answer"),
            Some(Answer::Ended) => Some("its connection ended"),
            Some(Answer::TimedOut) => Some("no answer until its deadline"),
            Some(Answer::Up { receipt }) if !receipts.contains(&(id, receipt.as_str())) => {
                found.push(Violation::ForgedReceipt { request: request.clone(), receipt: receipt.clone() });
                None
            }
            Some(_) => None,
        };
        if let (Some(observed), false) = (observed, excused) {
            found.push(Violation::Unanswered { request: request.clone(), process, at_us, observed });
        }
        // A tenant above its quota may be rejected at any time, so plans with quotas are exempt.
        let rejected = plan.quotas.is_empty()
            && answers
                .iter()
                .any(|(_, answer)| matches!(answer, Answer::Busy { .. } | Answer::Failed { .. }));
        if rejected && (load_end.saturating_sub(settle)..load_end).contains(at) {
            let what = format!(
                "request {request} was rejected {} ms before the end of the load, expected to be served",
                (load_end - at) / 1000
            );
            found.push(Violation::NotConverged { what });
        }
    }
}

fn check_overlaps(attempts: &[Attempt], found: &mut Vec<Violation>) {
    // For each request, the attempt so far that ends last.
    let mut latest_ending: HashMap<&str, &Attempt> = HashMap::new();
    for attempt in attempts {
        let Some(earlier) = latest_ending.get(attempt.request) else {
            latest_ending.insert(attempt.request, attempt);
            continue;
        };
        let overlap_us = earlier.until.min(attempt.until).saturating_sub(attempt.at);
        if overlap_us > MAX_ATTEMPT_OVERLAP_US {
            found.push(Violation::ConcurrentAttempts {
                request: attempt.request.to_owned(),
                first: earlier.server.to_owned(),
                second: attempt.server.to_owned(),
                overlap_us,
            });
        }
        if attempt.until >= earlier.until {
            latest_ending.insert(attempt.request, attempt);
        }
    }
}

/// Returns the window in which a server in slow start got the largest part of its budget: the start of the
/// window in microseconds, the number of sends in it and the budget. `None` without sends after `started_at`.
///
/// Every send after `started_at` starts a window. The budget is N + 3 sqrt(N) + 3, where N is the number of
/// connections that the server can accept in the window: `fall_multiple`, times the server's part of its
/// capacity, times the connections per second that fill it over its warm-up (`fill_connections` / `warm_ms`),
/// times the window. The part grows from `initial_part` to 1. Its value at the end of the window is used, as in
/// `worst` in the fleet test of the daemon.
#[must_use]
pub fn worst_slow_start_window(
    sends: &[u64],
    started_at: u64,
    slow_start: &SlowStart,
    fill_connections: f64,
) -> Option<(u64, usize, f64)> {
    let (window_us, warm_us) = (slow_start.window_ms * 1000, slow_start.warm_ms as f64 * 1e3);
    let windows = sends.iter().enumerate().filter(|&(_, &at)| at >= started_at).map(|(first, &at)| {
        let count = sends[first..].partition_point(|&other| other < at + window_us);
        let part = slow_start.initial_part
            + (1.0 - slow_start.initial_part) * (at + window_us - started_at) as f64 / warm_us;
        let acceptable =
            slow_start.fall_multiple * part.min(1.0) * fill_connections / warm_us * window_us as f64;
        (at, count, acceptable + 3.0 * acceptable.sqrt() + 3.0)
    });
    windows.max_by(|(_, count, budget), (_, other_count, other_budget)| {
        (*count as f64 / budget).total_cmp(&(*other_count as f64 / other_budget))
    })
}
