//! Conversion of server start times when the wall clock may be an hour off. Evidence from the endpoint list
//! takes precedence over the wall clock.

use ashtide::discovery::start_times::StartTimes;
use ashtide::{ServerId, Time};

const SERVER: ServerId = ServerId(7);
const OTHER: ServerId = ServerId(8);
const HOUR_S: i64 = 3_600;
/// Start of the test on this process's clock, in seconds of Unix time. The clock starts in sync with the wall
/// clock.
const START_S: i64 = 1_800_000_000;

fn at(second: i64) -> Time {
    Time::from_micros((START_S + second) * 1_000_000)
}

fn unix_ms(second: i64) -> f64 {
    ((START_S + second) * 1_000) as f64
}

/// Returns the start times of a process. Its watch synchronised at second 10 and delivered an update at
/// second 20.
fn start_times_in_sync() -> StartTimes {
    let mut times = StartTimes::default();
    times.record_watch_synced(at(10));
    times.record_update(at(20));
    times
}

/// Returns the start time of [`SERVER`] when it appears on a list received now.
fn start_of_new_server(times: &mut StartTimes, now: Time, since_ms: f64) -> Option<Time> {
    let earliest = times.earliest_new_start(now);
    times.start_time(now, SERVER, since_ms, earliest)
}

#[test]
fn a_correct_clock_is_used_to_the_microsecond() {
    let mut times = start_times_in_sync();
    assert_eq!(start_of_new_server(&mut times, at(22), unix_ms(21)), Some(at(21)));
    // Discovery may announce a start up to 6 s late.
    assert_eq!(times.start_time(at(22), OTHER, unix_ms(15), times.earliest_new_start(at(22))), Some(at(15)));
    // The first list gives no evidence of when a server was added.
    assert_eq!(start_of_new_server(&mut StartTimes::default(), at(0), unix_ms(-5)), Some(at(-5)));
    assert_eq!(start_of_new_server(&mut times, at(22), 0.0), None, "long ago");
    assert_eq!(start_of_new_server(&mut times, at(22), f64::NAN), None);
}

#[test]
fn a_new_server_is_not_treated_as_warm_when_the_clock_is_an_hour_ahead() {
    // The clock of this process is an hour ahead, so a server that starts now appears to be an hour old.
    let mut times = start_times_in_sync();
    assert_eq!(
        start_of_new_server(&mut times, at(21), unix_ms(21 - HOUR_S)),
        Some(at(20)),
        "the server was not on the list when it was last in sync"
    );
    // No change for a long time, but heartbeats: 2.5 s without a heartbeat would have ended the watch.
    let mut times = start_times_in_sync();
    let latest_possible_heartbeat = Time::from_micros((START_S + 500) * 1_000_000 - 2_500_000);
    assert_eq!(
        start_of_new_server(&mut times, at(500), unix_ms(500 - HOUR_S)),
        Some(latest_possible_heartbeat)
    );
    // The watch became silent at second 30, and the next list is received at second 40.
    let mut times = start_times_in_sync();
    times.record_watch_end(at(30));
    assert_eq!(start_of_new_server(&mut times, at(40), unix_ms(40 - HOUR_S)), Some(at(30)));
    // A call that failed gives no evidence of a later time.
    times.record_watch_end(at(35));
    assert_eq!(times.earliest_new_start(at(40)), Some(at(30)));
}

#[test]
fn a_new_server_does_not_start_in_the_future_when_the_clock_is_an_hour_behind() {
    // The clock of this process is an hour behind from the first list on.
    let mut times = StartTimes::default();
    assert_eq!(start_of_new_server(&mut times, at(0), unix_ms(HOUR_S)), Some(at(0)));
    // The start time remains the same on later lists.
    times.record_watch_synced(at(3));
    assert_eq!(start_of_new_server(&mut times, at(9), unix_ms(HOUR_S)), Some(at(0)));
    // A restart of the server has a new start time.
    assert_eq!(start_of_new_server(&mut times, at(9), unix_ms(HOUR_S + 9)), Some(at(9)));
    let earliest = times.earliest_new_start(at(9));
    assert_eq!(times.start_time(at(9), OTHER, unix_ms(HOUR_S), earliest), Some(at(9)));
}

#[test]
fn an_update_before_the_watch_is_in_sync_gives_no_earliest_start() {
    let mut times = StartTimes::default();
    times.record_update(at(5));
    assert_eq!(times.earliest_new_start(at(6)), None, "the server may have been on the list for a long time");
}
