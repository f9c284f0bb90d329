//! Texts of the admin endpoint about the maintenance queue.

use std::fmt::Write;

use ashtide_maintenance::{MachineKind, MaintenanceEntry, Phase, Replica, ReplicaMetrics};

use crate::metrics::METRIC_PREFIX;

/// Returns the entries of the queue with their grants, in the order of the queue, then the machines that this
/// gateway has cordoned.
#[must_use]
pub fn queue_text(replica: &Replica) -> String {
    let (queue, is_valid) = replica.queue();
    let validity = if is_valid { "agreed" } else { "old" };
    let vote = if replica.is_voting() { "votes" } else { "no vote" };
    let mut text = format!("table version={} token={} {validity}, {vote}\n", queue.version, queue.last_token);
    for entry in &queue.entries {
        write_entry(&mut text, replica, entry);
    }
    for kind in [MachineKind::Server, MachineKind::Gateway] {
        for name in replica.cordoned_machines(kind) {
            let entry = queue.entries.iter().find(|entry| entry.name == name);
            let token = entry.and_then(|entry| entry.phase.token()).unwrap_or(0);
            let _ = writeln!(text, "kept-out {name} token={token}");
        }
    }
    text
}

fn write_entry(text: &mut String, replica: &Replica, entry: &MaintenanceEntry) {
    let _ = write!(text, "{} {}", entry.name, phase_name(entry.phase));
    if let Some(token) = entry.phase.token() {
        let _ = write!(text, " token={token}");
    }
    if let Some(holder) = entry.phase.holder() {
        let _ = write!(text, " holder={}", holder.0);
    }
    let age = replica.phase_age(&entry.name).unwrap_or_default().as_secs();
    let _ = writeln!(text, " for_s={age} asked_ms={} reason={}", entry.requested_at_ms, entry.reason);
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Queued => "queued",
        Phase::Draining { .. } => "draining",
        Phase::Out { .. } => "out",
        Phase::Released { .. } => "released",
    }
}

/// Returns the metrics, one per line.
#[must_use]
pub fn metrics_text(replica: &Replica) -> String {
    let mut text = String::new();
    let (queue, is_valid) = replica.queue();
    let metrics: &ReplicaMetrics = replica.metrics();
    let queued = queue.entries.iter().filter(|entry| entry.phase == Phase::Queued).count();
    let cordoned = |kind| replica.cordoned_machines(kind).count() as u64;
    for (name, value) in [
        ("queued", queued as u64),
        ("given", (queue.entries.len() - queued) as u64),
        ("kept_out{kind=\"server\"}", cordoned(MachineKind::Server)),
        ("kept_out{kind=\"gateway\"}", cordoned(MachineKind::Gateway)),
        ("agreed", u64::from(is_valid)),
        ("votes", u64::from(replica.is_voting())),
        ("last_token", queue.last_token),
        ("rounds_total", metrics.proposals),
        ("rounds_chosen_total", metrics.chosen),
        ("fenced_total", metrics.fenced),
        ("lapses_total", metrics.lease_lapses),
        ("sent_datagrams_total", metrics.sent.datagrams),
        ("sent_bytes_total", metrics.sent.bytes),
        ("unheard_datagrams_total", metrics.rejected_datagrams),
    ] {
        let _ = writeln!(text, "{METRIC_PREFIX}_maintenance_{name} {value}");
    }
    text
}
