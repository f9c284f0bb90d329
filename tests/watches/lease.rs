//! The validity of the endpoint list after its watch has ended.

use ashtide::discovery::WatchEnd;
use ashtide::engine::ListLease;
use ashtide::*;

use super::harness::time_at;

/// The end of a watch. Both times are in seconds after the epoch.
struct LeaseEnd {
    /// The time at which the watch ended.
    now: f64,
    /// The time at which the list was last synchronised.
    synced_at: f64,
    end: WatchEnd,
}

fn watch_end(now: f64, synced_at: f64, end: WatchEnd) -> LeaseEnd {
    LeaseEnd { now, synced_at, end }
}

/// Returns the time at which the lease on the list expires after these ends of watches.
fn lease_expiry(lease: &mut ListLease, ends: &[LeaseEnd]) -> Time {
    for &LeaseEnd { now, synced_at, end } in ends {
        lease.handle_watch_end(time_at(now), time_at(synced_at), end);
    }
    let expiry =
        (0..100_000).map(|tenths| time_at(f64::from(tenths) / 10.0)).find(|&time| !lease.is_valid(time));
    expiry.expect("a list whose watch has ended expires within 10,000 s")
}

/// Returns a lease whose watch is synchronised.
fn synced_lease() -> ListLease {
    let mut lease = ListLease::new(time_at(0.0));
    lease.renew();
    assert!(lease.is_valid(time_at(10_000.0)), "a synchronised watch keeps the lease valid");
    lease
}

#[test]
fn the_list_is_valid_for_six_seconds_after_the_last_complete_message_however_the_watch_ended() {
    use WatchEnd::{Closed, ConnectionRefused, Failed};
    // A new process: without a response, with a failed request, and with its first connection refused.
    assert_eq!(lease_expiry(&mut ListLease::new(time_at(5.0)), &[]), time_at(11.0));
    assert_eq!(
        lease_expiry(&mut ListLease::new(time_at(5.0)), &[watch_end(9.0, 5.0, Failed)]),
        time_at(11.0)
    );
    assert_eq!(
        lease_expiry(&mut ListLease::new(time_at(5.0)), &[watch_end(5.5, 5.0, ConnectionRefused)]),
        time_at(11.5)
    );
    for end in [Closed, Failed, ConnectionRefused] {
        // The list expires however the watch ended. In the second case the process stalled for 13 s, so that
        // the lease has already expired when the end is handled.
        let expected = if end == ConnectionRefused { time_at(21.0) } else { time_at(20.0) };
        assert_eq!(lease_expiry(&mut synced_lease(), &[watch_end(15.0, 14.0, end)]), expected, "{end:?}");
        assert_eq!(
            lease_expiry(&mut synced_lease(), &[watch_end(27.0, 14.0, end)]),
            time_at(20.0),
            "{end:?}"
        );
    }
    // The validity counts from the first of several failures.
    assert_eq!(
        lease_expiry(&mut synced_lease(), &[watch_end(15.0, 14.0, Closed), watch_end(16.0, 16.0, Failed)]),
        time_at(20.0)
    );
    expect_expiry_after_refusals();
}

/// Refused connections extend the lease only while nothing else has failed since the watch closed.
fn expect_expiry_after_refusals() {
    use WatchEnd::{Closed, ConnectionRefused, Failed};
    // Without a listener, the validity counts from each refused connection.
    let refusals = [
        watch_end(15.0, 14.0, Closed),
        watch_end(15.5, 14.0, ConnectionRefused),
        watch_end(18.0, 14.0, ConnectionRefused),
    ];
    assert_eq!(lease_expiry(&mut synced_lease(), &refusals), time_at(24.0));
    // A failed request before a refused connection: a service was running and may have received a change.
    let failure_before_refusal = [
        watch_end(15.0, 14.0, Closed),
        watch_end(15.5, 14.0, Failed),
        watch_end(18.0, 14.0, ConnectionRefused),
    ];
    assert_eq!(lease_expiry(&mut synced_lease(), &failure_before_refusal), time_at(20.0));
    assert_eq!(
        lease_expiry(
            &mut synced_lease(),
            &[watch_end(16.5, 14.0, Failed), watch_end(17.0, 14.0, ConnectionRefused)]
        ),
        time_at(20.0),
        "refused connection after a silent watch"
    );
    // An expired list remains expired until discovery responds.
    assert_eq!(
        lease_expiry(
            &mut synced_lease(),
            &[watch_end(15.0, 14.0, Closed), watch_end(20.1, 14.0, ConnectionRefused)]
        ),
        time_at(20.0)
    );
    let mut lease = synced_lease();
    lease_expiry(&mut lease, &failure_before_refusal);
    lease.renew();
    assert!(lease.is_valid(time_at(10_000.0)), "a response makes the lease valid again");
}
