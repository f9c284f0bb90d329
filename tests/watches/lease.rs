//! How long the list stays valid after its watch has ended.

use ashtide::discovery::WatchEnd;
use ashtide::engine::ListLease;
use ashtide::*;

use super::harness::time_at;

/// An end of a watch: its time and when the list was last synchronised, in seconds.
struct LeaseEnd {
    now: f64,
    synced_at: f64,
    end: WatchEnd,
}

fn lost(now: f64, synced_at: f64, end: WatchEnd) -> LeaseEnd {
    LeaseEnd { now, synced_at, end }
}

/// When the lease on the list expires after these ends of watches.
fn lease_expiry(lease: &mut ListLease, ends: &[LeaseEnd]) -> Time {
    for &LeaseEnd { now, synced_at, end } in ends {
        lease.handle_watch_end(time_at(now), time_at(synced_at), end);
    }
    let expiry =
        (0..100_000).map(|tenth| time_at(f64::from(tenth) / 10.0)).find(|&time| !lease.is_valid(time));
    expiry.expect("an ended watch leaves no list standing for good")
}

/// A lease whose watch is synchronised.
fn synced_lease() -> ListLease {
    let mut lease = ListLease::new(time_at(0.0));
    lease.renew();
    assert!(lease.is_valid(time_at(10_000.0)), "a synchronised watch keeps the lease valid");
    lease
}

#[test]
fn the_list_is_valid_for_six_seconds_after_the_last_complete_message_however_the_watch_ended() {
    use WatchEnd::{Closed, ConnectionRefused, Failed};
    // A new process without an answer, and with its first connection refused.
    assert_eq!(lease_expiry(&mut ListLease::new(time_at(5.0)), &[]), time_at(11.0));
    assert_eq!(lease_expiry(&mut ListLease::new(time_at(5.0)), &[lost(9.0, 5.0, Failed)]), time_at(11.0));
    assert_eq!(
        lease_expiry(&mut ListLease::new(time_at(5.0)), &[lost(5.5, 5.0, ConnectionRefused)]),
        time_at(11.5)
    );
    for end in [Closed, Failed, ConnectionRefused] {
        // However the watch ended; and at once for an old synchronisation, as in a process stalled for 13 s.
        let expected = if end == ConnectionRefused { time_at(21.0) } else { time_at(20.0) };
        assert_eq!(lease_expiry(&mut synced_lease(), &[lost(15.0, 14.0, end)]), expected, "{end:?}");
        assert_eq!(lease_expiry(&mut synced_lease(), &[lost(27.0, 14.0, end)]), time_at(20.0), "{end:?}");
    }
    // Of several failures the first counts.
    assert_eq!(
        lease_expiry(&mut synced_lease(), &[lost(15.0, 14.0, Closed), lost(16.0, 16.0, Failed)]),
        time_at(20.0)
    );
    expect_expiry_after_refusals();
}

/// Refused connections extend the lease only while nothing else has failed since the watch closed.
fn expect_expiry_after_refusals() {
    use WatchEnd::{Closed, ConnectionRefused, Failed};
    // Nothing listens: the lease counts from each refused connection.
    let refusals =
        [lost(15.0, 14.0, Closed), lost(15.5, 14.0, ConnectionRefused), lost(18.0, 14.0, ConnectionRefused)];
    assert_eq!(lease_expiry(&mut synced_lease(), &refusals), time_at(24.0));
    // A failure before a refusal: a service was there and may have received a change.
    let failure_before_refusal =
        [lost(15.0, 14.0, Closed), lost(15.5, 14.0, Failed), lost(18.0, 14.0, ConnectionRefused)];
    assert_eq!(lease_expiry(&mut synced_lease(), &failure_before_refusal), time_at(20.0));
    assert_eq!(
        lease_expiry(&mut synced_lease(), &[lost(16.5, 14.0, Failed), lost(17.0, 14.0, ConnectionRefused)]),
        time_at(20.0),
        "silence"
    );
    // An expired list stays expired without an answer.
    assert_eq!(
        lease_expiry(&mut synced_lease(), &[lost(15.0, 14.0, Closed), lost(20.1, 14.0, ConnectionRefused)]),
        time_at(20.0)
    );
    let mut lease = synced_lease();
    lease_expiry(&mut lease, &failure_before_refusal);
    lease.renew();
    assert!(lease.is_valid(time_at(10_000.0)), "an answer ends it all");
}
