//! Each invariant of a request finds what breaks it, and says nothing of what is allowed.

use ashtide::request_invariants::{RequestInvariants, Violation};
use ashtide::{
    CellId, Class, ClassId, Effect, KeyedGroup, Listing, Outcome, RequestId, ServerId, ServerState, Settings,
    Span, Time, ZoneId,
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

fn listing(server: u32, zone: u32, state: ServerState) -> Listing {
    Listing { state, cell: CellId(server), ..Listing::ready(ServerId(server), ZoneId(zone)) }
}

/// Servers 0 and 1 in one zone and 2 in another, and a request of this class that waits 3 s.
fn asked(class: ClassId) -> RequestInvariants {
    let class_of = |effect| Class { aim: ms(400), message_aim: ms(50), worth: 1.0, effect };
    let by_zone = Effect::Keyed { group: KeyedGroup::Zone, window: ms(800) };
    let classes = [Effect::Safe, Effect::Unsafe, by_zone].map(class_of).to_vec();
    let settings = Settings { classes, answer_slack: ms(20), ..Settings::for_zone(ZoneId(0)) };
    let mut it = RequestInvariants::new(&settings);
    for (server, zone) in [(0, 0), (1, 0), (2, 1)] {
        it.listed(at(0), &listing(server, zone, ServerState::Ready));
    }
    it.requested(at(0), ID, class, ms(3_000));
    it
}

/// A first attempt from 100 to 200 ms that came to this, and a second at this time and server.
fn tried_twice(class: ClassId, outcome: Outcome, second: i64, server: ServerId) -> Vec<Violation> {
    let mut it = asked(class);
    it.begun(at(100), ID, 0, ServerId(0));
    it.ended(ID, 0, outcome);
    it.begun(at(second), ID, 1, server);
    it.take()
}

#[test]
fn what_the_protocol_allows_is_no_violation() {
    let near = ServerId(1);
    assert_eq!(tried_twice(SAFE, Outcome::Reset, 300, FAR), []);
    assert_eq!(tried_twice(KEYED_BY_ZONE, Outcome::TimedOut, 899, near), []);
    for never_ran in [Outcome::QueueFull, Outcome::ConnectError, Outcome::LocalFailure] {
        assert_eq!(tried_twice(UNSAFE, never_ran, 2_900, FAR), [], "{never_ran:?}");
    }
    let mut it = asked(UNSAFE);
    it.begun(at(100), ID, 0, ServerId(0));
    it.ended(ID, 0, Outcome::Reset);
    it.answered(at(3_510), ID, false);
    assert_eq!(
        (it.take(), it.count()),
        (Vec::new(), 0),
        "a failure promises nothing, and half a second is allowed"
    );
    let mut it = asked(UNSAFE);
    it.listed(at(0), &listing(0, 0, ServerState::Draining));
    it.listed(at(1_900), &listing(0, 0, ServerState::Draining));
    it.begun(at(2_000), ID, 0, ServerId(0));
    it.over(ID);
    assert_eq!(it.take(), [], "within the grace");
}

#[test]
fn a_repeat_is_found_by_class_by_server_and_by_time() {
    let repeated = [Violation::Repeated { id: ID, attempt: 1 }];
    for may_have_run in [Outcome::Failed, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        assert_eq!(tried_twice(UNSAFE, may_have_run, 300, ServerId(0)), repeated, "{may_have_run:?}");
    }
    assert_eq!(tried_twice(KEYED_BY_ZONE, Outcome::Reset, 300, FAR), repeated, "another zone");
    assert_eq!(tried_twice(KEYED_BY_ZONE, Outcome::Reset, 900, ServerId(1)), repeated, "the window is over");
}

#[test]
fn each_other_violation_is_found_once_and_counted() {
    let mut it = asked(SAFE);
    it.begun(at(100), ID, 0, ServerId(0));
    it.begun(at(200), ID, 1, ServerId(1));
    assert_eq!(it.take(), [Violation::TwoAttempts { id: ID, attempt: 1, out: 0 }]);
    it.over(ID);
    it.begun(at(300), ID, 2, ServerId(1));
    assert_eq!(it.take(), [Violation::AfterItsEnd { id: ID, attempt: 2 }]);
    assert_eq!((it.take(), it.count()), (Vec::new(), 2));

    // A whole list without a server tells it gone, and repeating that does not begin the grace anew.
    let mut it = asked(SAFE);
    it.listed_anew(at(0));
    it.listed_anew(at(1_000));
    it.begun(at(2_001), ID, 0, ServerId(0));
    assert_eq!(it.take(), [Violation::Drained { id: ID, attempt: 0, server: ServerId(0), ago: ms(2_001) }]);

    let mut it = asked(UNSAFE);
    it.begun(at(100), ID, 0, ServerId(0));
    it.answered(at(200), ID, true);
    assert_eq!(it.take(), [Violation::FalseRefusal { id: ID }], "it is out");
    let mut it = asked(KEYED_BY_ZONE);
    it.begun(at(100), ID, 0, ServerId(0));
    it.ended(ID, 0, Outcome::Reset);
    it.answered(at(200), ID, true);
    assert_eq!(it.take(), [Violation::FalseRefusal { id: ID }], "it may have run");

    let mut it = asked(SAFE);
    it.answered(at(3_521), ID, true);
    assert_eq!(it.take(), [Violation::LateAnswer { id: ID, late: ms(501) }]);
}
