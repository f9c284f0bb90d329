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

#[test]
fn the_list_is_valid_for_six_seconds_after_the_last_complete_message_however_the_watch_ended() {
    use WatchEnd::{Closed, ConnectionRefused, Failed};
    let synced_lease = || {
        let mut lease = ListLease::new(time_at(0.0));
        lease.renew();
        assert!(lease.is_valid(time_at(10_000.0)), "a watch in step vouches for as long as it is");
        lease
    };
    // A new process, with no call answered; and the first call refused by nobody's port.
    assert_eq!(lease_expiry(&mut ListLease::new(time_at(5.0)), &[]), time_at(11.0));
    assert_eq!(lease_expiry(&mut ListLease::new(time_at(5.0)), &[lost(9.0, 5.0, Failed)]), time_at(11.0));
    assert_eq!(
        lease_expiry(&mut ListLease::new(time_at(5.0)), &[lost(5.5, 5.0, ConnectionRefused)]),
        time_at(11.5)
    );
    for end in [Closed, Failed, ConnectionRefused] {
        // Whatever ended it; and at once where that was long ago, as for a process that stalled for 13 s.
        let expected = if end == ConnectionRefused { time_at(21.0) } else { time_at(20.0) };
        assert_eq!(lease_expiry(&mut synced_lease(), &[lost(15.0, 14.0, end)]), expected, "{end:?}");
        assert_eq!(lease_expiry(&mut synced_lease(), &[lost(27.0, 14.0, end)]), time_at(20.0), "{end:?}");
    }
    // Of several failures the first counts.
    assert_eq!(
        lease_expiry(&mut synced_lease(), &[lost(15.0, 14.0, Closed), lost(16.0, 16.0, Failed)]),
        time_at(20.0)
    );
    // Nothing listens: from each such moment on, while that is all that was found.
    let refusals =
        [lost(15.0, 14.0, Closed), lost(15.5, 14.0, ConnectionRefused), lost(18.0, 14.0, ConnectionRefused)];
    assert_eq!(lease_expiry(&mut synced_lease(), &refusals), time_at(24.0));
    // Something had listened: it may have been told of a change, and who came later found nobody.
    let failure_before_refusal =
        [lost(15.0, 14.0, Closed), lost(15.5, 14.0, Failed), lost(18.0, 14.0, ConnectionRefused)];
    assert_eq!(lease_expiry(&mut synced_lease(), &failure_before_refusal), time_at(20.0));
    assert_eq!(
        lease_expiry(&mut synced_lease(), &[lost(16.5, 14.0, Failed), lost(17.0, 14.0, ConnectionRefused)]),
        time_at(20.0),
        "silence"
    );
    // And a list that no longer stands does not stand again without an answer.
    assert_eq!(
        lease_expiry(&mut synced_lease(), &[lost(15.0, 14.0, Closed), lost(20.1, 14.0, ConnectionRefused)]),
        time_at(20.0)
    );
    let mut lease = synced_lease();
    lease_expiry(&mut lease, &failure_before_refusal);
    lease.renew();
    assert!(lease.is_valid(time_at(10_000.0)), "an answer ends it all");
}
