//! Each request invariant detects its violation and accepts allowed sequences.

use ashtide::engine::invariants::{RequestInvariants, Violation};
use ashtide::{
    CellId, ClassId, DeduplicationScope, EndpointEntry, Idempotency, Outcome, RequestClass, RequestId,
    ServerId, ServerState, Settings, Span, Time, ZoneId,
};

const REQUEST_ID: RequestId = RequestId(5);
const IDEMPOTENT: ClassId = ClassId(0);
const NOT_IDEMPOTENT: ClassId = ClassId(1);
const KEYED_BY_ZONE: ClassId = ClassId(2);
const OTHER_ZONE: ServerId = ServerId(2);

fn ms(ms: i64) -> Span {
    Span::from_micros(ms * 1_000)
}

fn at(after_ms: i64) -> Time {
    Time::from_micros(1_000_000_000) + ms(after_ms)
}

fn listing(server: u32, zone: u32, state: ServerState) -> EndpointEntry {
    EndpointEntry { state, cell: CellId(server), ..EndpointEntry::ready(ServerId(server), ZoneId(zone)) }
}

/// Returns a record with servers 0 and 1 in one zone, server 2 in another, and a request of this class with 3
/// s until its deadline.
fn invariants_with_request(class: ClassId) -> RequestInvariants {
    let class_of = |idempotency| RequestClass {
        latency_objective: ms(400),
        message_latency_objective: ms(50),
        priority_weight: 1.0,
        idempotency,
    };
    let key_per_zone = Idempotency::WithKey { scope: DeduplicationScope::Zone, remembered_for: ms(800) };
    let classes = [Idempotency::Idempotent, Idempotency::NotIdempotent, key_per_zone].map(class_of).to_vec();
    let settings = Settings { classes, answer_slack: ms(20), ..Settings::for_zone(ZoneId(0)) };
    let mut invariants = RequestInvariants::new(&settings);
    for (server, zone) in [(0, 0), (1, 0), (2, 1)] {
        invariants.record_listing(at(0), &listing(server, zone, ServerState::Ready));
    }
    invariants.record_request(at(0), REQUEST_ID, class, ms(3_000));
    invariants
}

/// Returns the violations after a first attempt at 100 ms with this outcome and a second attempt at
/// `second_at_ms` to `server`.
fn violations_of_two_attempts(
    class: ClassId,
    outcome: Outcome,
    second_at_ms: i64,
    server: ServerId,
) -> Vec<Violation> {
    let mut invariants = invariants_with_request(class);
    invariants.record_first_byte(at(100), REQUEST_ID, 0, ServerId(0));
    invariants.record_attempt_end(REQUEST_ID, 0, outcome);
    invariants.record_first_byte(at(second_at_ms), REQUEST_ID, 1, server);
    invariants.take_violations()
}

#[test]
fn sequences_that_the_protocol_allows_are_no_violations() {
    let same_zone = ServerId(1);
    assert_eq!(violations_of_two_attempts(IDEMPOTENT, Outcome::Reset, 300, OTHER_ZONE), []);
    assert_eq!(violations_of_two_attempts(KEYED_BY_ZONE, Outcome::TimedOut, 899, same_zone), []);
    for not_executed in [Outcome::QueueFull, Outcome::ConnectError, Outcome::LocalFailure] {
        assert_eq!(
            violations_of_two_attempts(NOT_IDEMPOTENT, not_executed, 2_900, OTHER_ZONE),
            [],
            "{not_executed:?}"
        );
    }
    let mut invariants = invariants_with_request(NOT_IDEMPOTENT);
    invariants.record_first_byte(at(100), REQUEST_ID, 0, ServerId(0));
    invariants.record_attempt_end(REQUEST_ID, 0, Outcome::Reset);
    invariants.record_answer(at(3_510), REQUEST_ID, false);
    assert_eq!(
        (invariants.take_violations(), invariants.violation_count()),
        (Vec::new(), 0),
        "a failure makes no promise, and an answer may be up to half a second late"
    );
    let mut invariants = invariants_with_request(NOT_IDEMPOTENT);
    invariants.record_listing(at(0), &listing(0, 0, ServerState::Draining));
    invariants.record_listing(at(1_900), &listing(0, 0, ServerState::Draining));
    invariants.record_first_byte(at(2_000), REQUEST_ID, 0, ServerId(0));
    invariants.release_request(REQUEST_ID);
    assert_eq!(invariants.take_violations(), [], "within the grace period");
}

#[test]
fn a_forbidden_retry_is_detected_by_class_by_server_and_by_time() {
    let forbidden = [Violation::ForbiddenRetry { id: REQUEST_ID, attempt: 1 }];
    for may_have_been_executed in [Outcome::Failed, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        assert_eq!(
            violations_of_two_attempts(NOT_IDEMPOTENT, may_have_been_executed, 300, ServerId(0)),
            forbidden,
            "{may_have_been_executed:?}"
        );
    }
    assert_eq!(
        violations_of_two_attempts(KEYED_BY_ZONE, Outcome::Reset, 300, OTHER_ZONE),
        forbidden,
        "another zone"
    );
    assert_eq!(
        violations_of_two_attempts(KEYED_BY_ZONE, Outcome::Reset, 900, ServerId(1)),
        forbidden,
        "the idempotency window has ended"
    );
}

#[test]
fn each_other_violation_is_reported_once_and_counted() {
    let mut invariants = invariants_with_request(IDEMPOTENT);
    invariants.record_first_byte(at(100), REQUEST_ID, 0, ServerId(0));
    invariants.record_first_byte(at(200), REQUEST_ID, 1, ServerId(1));
    assert_eq!(
        invariants.take_violations(),
        [Violation::ConcurrentAttempts { id: REQUEST_ID, attempt: 1, in_flight: 0 }]
    );
    invariants.release_request(REQUEST_ID);
    invariants.record_first_byte(at(300), REQUEST_ID, 2, ServerId(1));
    assert_eq!(invariants.take_violations(), [Violation::AttemptAfterEnd { id: REQUEST_ID, attempt: 2 }]);
    assert_eq!((invariants.take_violations(), invariants.violation_count()), (Vec::new(), 2));

    // A snapshot without a server removes the server, and a second one does not restart the grace period.
    let mut invariants = invariants_with_request(IDEMPOTENT);
    invariants.record_snapshot(at(0));
    invariants.record_snapshot(at(1_000));
    invariants.record_first_byte(at(2_001), REQUEST_ID, 0, ServerId(0));
    assert_eq!(
        invariants.take_violations(),
        [Violation::AttemptAtDrainingServer {
            id: REQUEST_ID,
            attempt: 0,
            server: ServerId(0),
            not_ready_for: ms(2_001)
        }]
    );

    let mut invariants = invariants_with_request(NOT_IDEMPOTENT);
    invariants.record_first_byte(at(100), REQUEST_ID, 0, ServerId(0));
    invariants.record_answer(at(200), REQUEST_ID, true);
    assert_eq!(
        invariants.take_violations(),
        [Violation::FalseRejection { id: REQUEST_ID }],
        "the attempt is in flight"
    );
    let mut invariants = invariants_with_request(KEYED_BY_ZONE);
    invariants.record_first_byte(at(100), REQUEST_ID, 0, ServerId(0));
    invariants.record_attempt_end(REQUEST_ID, 0, Outcome::Reset);
    invariants.record_answer(at(200), REQUEST_ID, true);
    assert_eq!(
        invariants.take_violations(),
        [Violation::FalseRejection { id: REQUEST_ID }],
        "the ended attempt may have been executed"
    );

    let mut invariants = invariants_with_request(IDEMPOTENT);
    invariants.record_answer(at(3_521), REQUEST_ID, true);
    assert_eq!(invariants.take_violations(), [Violation::LateAnswer { id: REQUEST_ID, delay: ms(501) }]);
}
