//! Which clients are evicted when a slot is needed.

use ashtide::config::Capacity;
use ashtide::net::pending_clients::{AddedClient, PendingClients};
use futures_util::FutureExt;

#[test]
fn those_that_have_sent_nothing_go_first_and_limits_are_joint() {
    let pending_clients = PendingClients::new(Capacity { descriptors: 3, max_sessions: 1 });
    let AddedClient { slot: mut slow, evicted_others } = pending_clients.add();
    slow.activity_notifier().mark_sending();
    let mut silent = pending_clients.add().slot;
    let late = pending_clients.add().slot;
    assert!(!evicted_others && silent.evicted().now_or_never().is_none());
    let AddedClient { slot: last, evicted_others } = pending_clients.add();
    assert!(evicted_others && silent.evicted().now_or_never().is_some(), "the oldest that is silent");
    assert!(slow.evicted().now_or_never().is_none(), "a slow one that has begun stays");
    last.activity_notifier().mark_sending();
    late.activity_notifier().mark_sending();
    let _next = pending_clients.add();
    assert!(slow.evicted().now_or_never().is_some(), "the oldest, where all have begun");

    let permit = pending_clients.try_acquire_session();
    assert!(permit.is_some() && pending_clients.try_acquire_session().is_none());
    drop(permit);
    pending_clients.set_sibling_sockets(2);
    assert!(
        pending_clients.try_acquire_session().is_none(),
        "another process of this balancer uses the descriptors"
    );
}
