//! Texts of the log and the admin endpoint about the membership view.

use std::fmt::Write;
use std::time::Duration;

use ashtide_fleet::{Member, MemberState, Membership, ViewChange, ViewMetrics};

use crate::metrics::METRIC_PREFIX;

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Left => "left",
        MemberState::Dead => "dead",
    }
}

/// Returns the log line about a change of the view.
pub fn change_log_line(change: &ViewChange) -> String {
    let member_line = |member: &Member, state: &str| {
        format!("view: member {} (generation {}) {state}", member.address, member.incarnation)
    };
    match change {
        ViewChange::Up(member) => member_line(member, "is alive"),
        ViewChange::Left(member) => member_line(member, "has left"),
        ViewChange::Dead(member) => member_line(member, "is dead"),
        ViewChange::Rejoined(own) => format!(
            "view: others had declared this gateway dead; it has rejoined as generation {}",
            own.incarnation
        ),
        ViewChange::Stalled(time) => {
            format!(
                "view: this process stalled for {} ms; it suspects no member because of that",
                time.as_millis()
            )
        }
    }
}

/// Returns the members, one per line and this one first. `now` is the present time of the view.
pub fn members_text(membership: &Membership, now: Duration) -> String {
    let own = membership.own();
    let mut text = format!("{} self generation={}\n", own.address, own.incarnation);
    for status in membership.members() {
        let _ = writeln!(
            text,
            "{} {} generation={} incarnation={} for_s={}",
            status.member.address,
            state_name(status.state),
            status.member.incarnation,
            status.refutations,
            now.saturating_sub(status.since).as_secs()
        );
    }
    text
}

/// Returns the metrics of the view, one per line.
pub fn metrics_text(membership: &Membership) -> String {
    let mut text = String::new();
    let mut write_metric = |name: &str, value: u64| {
        let _ = writeln!(text, "{METRIC_PREFIX}_view_{name} {value}");
    };
    for state in [MemberState::Alive, MemberState::Suspect, MemberState::Left, MemberState::Dead] {
        let count = membership.members().filter(|status| status.state == state).count();
        write_metric(&format!("members{{state=\"{}\"}}", state_name(state)), count as u64);
    }
    let metrics: &ViewMetrics = membership.metrics();
    write_metric("sent_datagrams_total", metrics.sent.datagrams);
    write_metric("sent_bytes_total", metrics.sent.bytes);
    write_metric("heard_datagrams_total", metrics.received.datagrams);
    write_metric("heard_bytes_total", metrics.received.bytes);
    write_metric("unsent_datagrams_total", metrics.dropped);
    write_metric("unheard_datagrams_total", metrics.rejected.values().sum());
    write_metric("deaths_total", metrics.deaths);
    write_metric("false_deaths_total", metrics.false_deaths);
    write_metric("own_deaths_total", metrics.own_deaths);
    write_metric("stalls_total", metrics.stalls);
    text
}
