//! Who has to go when a place is needed.

use ashtide::config::Capacity;
use ashtide::net::pending_clients::PendingClients;
use futures_util::FutureExt;

#[test]
fn those_that_have_sent_nothing_go_first_and_limits_are_joint() {
    let lobby = PendingClients::new(Capacity { descriptors: 3, max_sessions: 1 });
    let (mut slow, crowded) = lobby.add();
    slow.activity_notifier().mark_speaking();
    let (mut silent, _) = lobby.add();
    let (late, _) = lobby.add();
    assert!(!crowded && silent.evicted().now_or_never().is_none());
    let (last, crowded) = lobby.add();
    assert!(crowded && silent.evicted().now_or_never().is_some(), "the oldest that is silent");
    assert!(slow.evicted().now_or_never().is_none(), "a slow one that has begun stays");
    last.activity_notifier().mark_speaking();
    late.activity_notifier().mark_speaking();
    let _next = lobby.add();
    assert!(slow.evicted().now_or_never().is_some(), "the oldest, where all have begun");

    let permit = lobby.try_acquire_session();
    assert!(permit.is_some() && lobby.try_acquire_session().is_none());
    drop(permit);
    lobby.set_sibling_sockets(2);
    assert!(lobby.try_acquire_session().is_none(), "another process of this balancer uses the descriptors");
}
