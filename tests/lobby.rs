//! Who has to go when a place is needed.

use ashtide::config::Room;
use ashtide::net::lobby::Lobby;
use futures_util::FutureExt;

#[test]
fn those_that_have_sent_nothing_go_first_and_limits_are_joint() {
    let lobby = Lobby::new(Room { sockets: 3, sessions: 1 });
    let (mut slow, crowded) = lobby.enter();
    slow.heard().spoke();
    let (mut silent, _) = lobby.enter();
    let (late, _) = lobby.enter();
    assert!(!crowded && silent.displaced().now_or_never().is_none());
    let (last, crowded) = lobby.enter();
    assert!(crowded && silent.displaced().now_or_never().is_some(), "the oldest that is silent");
    assert!(slow.displaced().now_or_never().is_none(), "a slow one that has begun stays");
    last.heard().spoke();
    late.heard().spoke();
    let _next = lobby.enter();
    assert!(slow.displaced().now_or_never().is_some(), "the oldest, where all have begun");

    let permit = lobby.session();
    assert!(permit.is_some() && lobby.session().is_none());
    drop(permit);
    lobby.beside(2);
    assert!(lobby.session().is_none(), "another process of this balancer uses the descriptors");
}
