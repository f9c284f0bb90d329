//! Each invariant of a request finds what breaks it, and says nothing of what is allowed.

use ashtide::engine::invariants::{RequestInvariants, Violation};
use ashtide::{
    CellId, ClassId, DeduplicationScope, EndpointEntry, Idempotency, Outcome, RequestClass, RequestId,
    ServerId, ServerState, Settings, Span, Time, ZoneId,
};

const ID: RequestId = RequestId(5);
const SAFE: ClassId = ClassId(0);
const UNSAFE: ClassId = ClassId(1);
const KEYED_BY_ZONE: ClassId = ClassId(2);
const FAR: ServerId = ServerId(2);

fn ms(ms: i64) -> Span {
    Span::from_micros(ms * 1_000)
}

fn at(after_ms: i64) -> Time {
    Time::from_micros(1_000_000_000) + ms(after_ms)
}

fn listing(server: u32, zone: u32, state: ServerState) -> EndpointEntry {
    EndpointEntry { state, cell: CellId(server), ..EndpointEntry::ready(ServerId(server), ZoneId(zone)) }
}

/// Servers 0 and 1 in one zone and 2 in another, and a request of this class that waits 3 s.
fn with_request(class: ClassId) -> RequestInvariants {
    let class_of = |effect| RequestClass {
        latency_objective: ms(400),
        message_latency_objective: ms(50),
        priority_weight: 1.0,
        idempotency: effect,
    };
    let by_zone = Idempotency::WithKey { scope: DeduplicationScope::Zone, remembered_for: ms(800) };
    let classes = [Idempotency::Idempotent, Idempotency::NotIdempotent, by_zone].map(class_of).to_vec();
    let settings = Settings { classes, answer_slack: ms(20), ..Settings::for_zone(ZoneId(0)) };
    let mut it = RequestInvariants::new(&settings);
    for (server, zone) in [(0, 0), (1, 0), (2, 1)] {
        it.record_listing(at(0), &listing(server, zone, ServerState::Ready));
    }
    it.record_request(at(0), ID, class, ms(3_000));
    it
}

/// A first attempt from 100 to 200 ms that came to this, and a second at this time and server.
fn violations_of_two_attempts(
    class: ClassId,
    outcome: Outcome,
    second: i64,
    server: ServerId,
) -> Vec<Violation> {
    let mut it = with_request(class);
    it.record_first_byte(at(100), ID, 0, ServerId(0));
    it.record_attempt_end(ID, 0, outcome);
    it.record_first_byte(at(second), ID, 1, server);
    it.take_violations()
}

#[test]
fn what_the_protocol_allows_is_no_violation() {
    let near = ServerId(1);
    assert_eq!(violations_of_two_attempts(SAFE, Outcome::Reset, 300, FAR), []);
    assert_eq!(violations_of_two_attempts(KEYED_BY_ZONE, Outcome::TimedOut, 899, near), []);
    for never_ran in [Outcome::QueueFull, Outcome::ConnectError, Outcome::LocalFailure] {
        assert_eq!(violations_of_two_attempts(UNSAFE, never_ran, 2_900, FAR), [], "{never_ran:?}");
    }
    let mut it = with_request(UNSAFE);
    it.record_first_byte(at(100), ID, 0, ServerId(0));
    it.record_attempt_end(ID, 0, Outcome::Reset);
    it.record_answer(at(3_510), ID, false);
    assert_eq!(
        (it.take_violations(), it.violation_count()),
        (Vec::new(), 0),
        "a failure promises nothing, and half a second is allowed"
    );
    let mut it = with_request(UNSAFE);
    it.record_listing(at(0), &listing(0, 0, ServerState::Draining));
    it.record_listing(at(1_900), &listing(0, 0, ServerState::Draining));
    it.record_first_byte(at(2_000), ID, 0, ServerId(0));
    it.release_request(ID);
    assert_eq!(it.take_violations(), [], "within the grace");
}

#[test]
fn a_repeat_is_found_by_class_by_server_and_by_time() {
    let repeated = [Violation::ForbiddenRetry { id: ID, attempt: 1 }];
    for may_have_run in [Outcome::Failed, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        assert_eq!(
            violations_of_two_attempts(UNSAFE, may_have_run, 300, ServerId(0)),
            repeated,
            "{may_have_run:?}"
        );
    }
    assert_eq!(violations_of_two_attempts(KEYED_BY_ZONE, Outcome::Reset, 300, FAR), repeated, "another zone");
    assert_eq!(
        violations_of_two_attempts(KEYED_BY_ZONE, Outcome::Reset, 900, ServerId(1)),
        repeated,
        "the window is over"
    );
}

#[test]
fn each_other_violation_is_found_once_and_counted() {
    let mut it = with_request(SAFE);
    it.record_first_byte(at(100), ID, 0, ServerId(0));
    it.record_first_byte(at(200), ID, 1, ServerId(1));
    assert_eq!(it.take_violations(), [Violation::ConcurrentAttempts { id: ID, attempt: 1, in_flight: 0 }]);
    it.release_request(ID);
    it.record_first_byte(at(300), ID, 2, ServerId(1));
    assert_eq!(it.take_violations(), [Violation::AttemptAfterEnd { id: ID, attempt: 2 }]);
    assert_eq!((it.take_violations(), it.violation_count()), (Vec::new(), 2));

    // A whole list without a server tells it gone, and repeating that does not begin the grace anew.
    let mut it = with_request(SAFE);
    it.record_snapshot(at(0));
    it.record_snapshot(at(1_000));
    it.record_first_byte(at(2_001), ID, 0, ServerId(0));
    assert_eq!(
        it.take_violations(),
        [Violation::AttemptAtDrainingServer { id: ID, attempt: 0, server: ServerId(0), since: ms(2_001) }]
    );

    let mut it = with_request(UNSAFE);
    it.record_first_byte(at(100), ID, 0, ServerId(0));
    it.record_answer(at(200), ID, true);
    assert_eq!(it.take_violations(), [Violation::FalseRejection { id: ID }], "it is out");
    let mut it = with_request(KEYED_BY_ZONE);
    it.record_first_byte(at(100), ID, 0, ServerId(0));
    it.record_attempt_end(ID, 0, Outcome::Reset);
    it.record_answer(at(200), ID, true);
    assert_eq!(it.take_violations(), [Violation::FalseRejection { id: ID }], "it may have run");

    let mut it = with_request(SAFE);
    it.record_answer(at(3_521), ID, true);
    assert_eq!(it.take_violations(), [Violation::LateAnswer { id: ID, late: ms(501) }]);
}
