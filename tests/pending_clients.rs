//! The order in which pending clients are evicted when a slot is needed, and the limits shared with a sibling
//! process.

use ashtide::config::Capacity;
use ashtide::net::pending_clients::{AddedClient, PendingClients};
use futures_util::FutureExt;

#[test]
fn silent_clients_are_evicted_first_and_limits_are_shared_with_the_sibling() {
    let pending_clients = PendingClients::new(Capacity { descriptors: 3, max_sessions: 1 });
    let AddedClient { slot: mut slow, evicted_others } = pending_clients.add();
    slow.activity_notifier().mark_sending();
    let mut silent = pending_clients.add().slot;
    let third = pending_clients.add().slot;
    assert!(!evicted_others && silent.evicted().now_or_never().is_none());
    let AddedClient { slot: fourth, evicted_others } = pending_clients.add();
    assert!(
        evicted_others && silent.evicted().now_or_never().is_some(),
        "the oldest silent client is evicted"
    );
    assert!(slow.evicted().now_or_never().is_none(), "a slow client that has begun to send is not evicted");
    fourth.activity_notifier().mark_sending();
    third.activity_notifier().mark_sending();
    let _next = pending_clients.add();
    assert!(
        slow.evicted().now_or_never().is_some(),
        "the oldest client is evicted if all have begun to send"
    );

    let permit = pending_clients.try_acquire_session();
    assert!(permit.is_some() && pending_clients.try_acquire_session().is_none());
    drop(permit);
    pending_clients.set_sibling_sockets(2);
    assert!(pending_clients.try_acquire_session().is_none(), "a sibling process uses the descriptors");
}
