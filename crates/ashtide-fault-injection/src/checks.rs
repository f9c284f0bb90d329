//! What must hold in every play, read from its history alone.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::history::{Answer, CloseReason, Event, ExitCause, History};
use crate::plan::{FaultPlan, SlowStart};
use crate::violation::{DRAIN_PROPAGATION_US, Violation};

/// An attempt that was given up may still be on its way through the gateway for so long, in microseconds.
const MAX_ATTEMPT_OVERLAP_US: u64 = 50_000;
/// A send on loopback, and the stand-in's turn to read it.
const SEND_DELAY_US: u64 = 100_000;
/// A process that stood still may be behind for so long after it goes on, in microseconds.
const STALL_RECOVERY_US: u64 = 1_000_000;
/// New connections come to a process for so long after SIGTERM, in microseconds; later ones are not its concern.
const SHUTDOWN_ACCEPT_US: u64 = 400_000;
/// A connection that returns nothing may be so for that long, in microseconds.
const ECHO_TIMEOUT_US: u64 = 7_000_000;

/// A process as the history tells it.
#[derive(Default)]
struct Process {
    gateway: usize,
    killed_at: Option<u64>,
    termination_requested_at: Option<u64>,
    /// From when to when it stood still.
    stalls: Vec<(u64, u64)>,
}

impl Process {
    /// Whether what is owed between these moments is owed by a process that was there for it.
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

/// All that did not hold, in no order that matters; nothing where all did.
pub fn violations(history: &History) -> Vec<Violation> {
    let plan = history.plan().cloned().unwrap_or_default();
    let (mut processes, mut requests) = (BTreeMap::<usize, Process>::new(), BTreeMap::<&str, Request>::new());
    let (mut attempts, mut receipts, mut found) = (Vec::new(), HashSet::new(), Vec::new());
    let (mut closed, mut settled) = (Vec::new(), false);
    // Each server's states on the list, and when; when it started cold.
    let (mut listed, mut cold) = (HashMap::<&str, Vec<(u64, bool)>>::new(), Vec::new());
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
            Event::Ended { process, how, well } => {
                let here = processes.entry(*process).or_default();
                if *how == ExitCause::Killed {
                    here.killed_at = Some(at);
                } else if *how == ExitCause::Unexpected || !well {
                    found.push(Violation::UnexpectedExit {
                        process: *process,
                        gateway: here.gateway,
                        at_us: at,
                        how: *how,
                    });
                }
            }
            Event::EndpointListed { server, status, cold: is_cold } => {
                listed.entry(server).or_default().push((at, status == "SERVING"));
                if *is_cold {
                    cold.push((server.as_str(), at));
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
            Event::Closed { request, how } => closed.push((at, request.as_str(), *how)),
            Event::Attempt { request, server, receipt, until_us } => {
                receipts.insert((request.as_str(), receipt.as_str()));
                attempts.push(Attempt { at, until: until_us.unwrap_or(u64::MAX), request, server });
            }
            Event::AdminSample { process, figures, .. } => {
                let figure = |name: &str| figures.get(name).copied().unwrap_or_default() as u64;
                let (out, most) = (figure("state_judged_capacity"), figure("state_most_judged_capacity"));
                if out > most {
                    found.push(Violation::EjectionLimitExceeded {
                        process: *process,
                        at_us: at,
                        found: out,
                        most,
                    });
                }
            }
            Event::Settled { differs } => {
                settled = true;
                found.extend(differs.iter().map(|what| Violation::NotConverged { what: what.clone() }));
            }
            _ => {}
        }
    }
    if !settled {
        found.push(Violation::NotConverged { what: "the play did not come to its end".to_owned() });
    }
    attempts.sort_by_key(|attempt| attempt.at);
    check_answers(&plan, &requests, &processes, &receipts, &mut found);
    for (at, request, how) in closed {
        let Some(Request { process, .. }) = requests.get(request) else { continue };
        let since = at.saturating_sub(ECHO_TIMEOUT_US);
        let excused = processes.get(process).is_some_and(|there| there.is_excused(since, at));
        if matches!(how, CloseReason::Broken | CloseReason::Silent) && !excused {
            let request = request.to_owned();
            found.push(Violation::ConnectionDropped { request, process: *process, at_us: at, how });
        }
    }
    check_overlaps(&attempts, &mut found);
    crate::quota::check_quotas(history, &plan, &mut found);
    for attempt in &attempts {
        let Some(states) = listed.get(attempt.server) else { continue };
        // The drain that holds at the attempt's time, if one does.
        let before = states.iter().rev().take_while(|&&(_, serving)| !serving).map(|&(at, _)| at);
        let Some(told) = before.last().filter(|&told| told <= attempt.at) else { continue };
        let late_us = attempt.at - told;
        let sender = requests.get(attempt.request).and_then(|request| processes.get(&request.process));
        let behind = |there: &Process| {
            there.stalls.iter().any(|&(start, end)| {
                start <= attempt.at && told <= end && attempt.at <= end.saturating_add(DRAIN_PROPAGATION_US)
            })
        };
        if late_us > DRAIN_PROPAGATION_US + SEND_DELAY_US && !sender.is_some_and(behind) {
            let (request, server) = (attempt.request.to_owned(), attempt.server.to_owned());
            found.push(Violation::AttemptAfterDrain { request, server, late_us });
        }
    }
    for (server, began) in cold {
        let times: Vec<u64> = attempts.iter().filter(|it| it.server == server).map(|it| it.at).collect();
        if let Some((at_us, used, most)) =
            worst_slow_start_window(&times, began, &plan.slow_start, plan.connections_when_full())
        {
            if used as f64 > most {
                found.push(Violation::SlowStartBudgetExceeded {
                    server: server.to_owned(),
                    at_us,
                    found: used,
                    most,
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
    let (last, settle) = (plan.last_ms * 1000, plan.settle_ms * 1000);
    for (&id, Request { at, process, answers }) in requests {
        let (request, process, at_us) = (id.to_owned(), *process, *at);
        let waited = at + plan.deadline_ms * 1000;
        let excused = processes.get(&process).is_some_and(|there| {
            there.is_excused(*at, waited)
                || there.termination_requested_at.is_some_and(|asked| *at > asked + SHUTDOWN_ACCEPT_US)
        });
        if answers.len() > 1 {
            found.push(Violation::DuplicateAnswer { request: request.clone(), found: answers.len() });
        }
        let got = match answers.first().map(|(_, answer)| answer) {
            None => Some("the history ends before"),
            Some(Answer::Ended) => Some("its connection ended"),
            Some(Answer::TimedOut) => Some("nothing until its deadline"),
            Some(Answer::Up { receipt }) if !receipts.contains(&(id, receipt.as_str())) => {
                found.push(Violation::ForgedReceipt { request: request.clone(), receipt: receipt.clone() });
                None
            }
            Some(_) => None,
        };
        if let (Some(got), false) = (got, excused) {
            found.push(Violation::Unanswered { request: request.clone(), process, at_us, got });
        }
        // Who is beyond a quota is refused at any time.
        let refused = plan.quotas.is_empty()
            && answers.iter().any(|(_, it)| matches!(it, Answer::Busy { .. } | Answer::Failed { .. }));
        if refused && (last.saturating_sub(settle)..last).contains(at) {
            let what = format!("request {request} was not served {} ms before the end", (last - at) / 1000);
            found.push(Violation::NotConverged { what });
        }
    }
}

fn check_overlaps(attempts: &[Attempt], found: &mut Vec<Violation>) {
    // By request, the attempt that is out for longest.
    let mut out: HashMap<&str, &Attempt> = HashMap::new();
    for attempt in attempts {
        let Some(earlier) = out.get(attempt.request) else {
            out.insert(attempt.request, attempt);
            continue;
        };
        let both_us = earlier.until.min(attempt.until).saturating_sub(attempt.at);
        if both_us > MAX_ATTEMPT_OVERLAP_US {
            found.push(Violation::ConcurrentAttempts {
                request: attempt.request.to_owned(),
                first: earlier.server.to_owned(),
                second: attempt.server.to_owned(),
                both_us,
            });
        }
        if attempt.until >= earlier.until {
            out.insert(attempt.request, attempt);
        }
    }
}

/// The window, beginning with one of these sends, that used most of what a server that began cold at `began`
/// could take: when it began, how many came and how many may. None without sends.
///
/// The budget is N + 3 sqrt(N) + 3, N what the server can take over the window: `fall_multiple` times its
/// part times the connections a second that fill it over its warm-up. The part grows from `from` to 1, and
/// the window's end counts, as it does for `worst` in the daemon's own fleet test.
#[must_use]
pub fn worst_slow_start_window(
    sends: &[u64],
    began: u64,
    cold: &SlowStart,
    fill: f64,
) -> Option<(u64, usize, f64)> {
    let (window, warm) = (cold.window_ms * 1000, cold.warm_ms as f64 * 1e3);
    let used = sends.iter().enumerate().filter(|&(_, &at)| at >= began).map(|(first, &at)| {
        let count = sends[first..].partition_point(|&other| other < at + window);
        let part = cold.from + (1.0 - cold.from) * (at + window - began) as f64 / warm;
        let takes = cold.fall_multiple * part.min(1.0) * fill / warm * window as f64;
        (at, count, takes + 3.0 * takes.sqrt() + 3.0)
    });
    used.max_by(|(_, one, may), (_, other, might)| (*one as f64 / may).total_cmp(&(*other as f64 / might)))
}
