//! Takes clients of the lines front in: those that come, and those of a process that leaves.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::log::Limited;
use super::passing::Inbox;
use super::session::Front;

/// After an accept that failed (no descriptor left, say), the next one waits a little.
const AFTER_FAILURE: Duration = Duration::from_millis(20);
/// Clients accepted in a row before those accepted get their turn: a burst must not keep the others
/// and the core waiting, nor displace a client that has not had the chance to be heard.
const IN_A_ROW: usize = 8;

static TROUBLE: Limited = Limited::new("clients");
static PASSED: Limited = Limited::new("handover");

/// Accepts for as long as `accepting` says, whoever comes; the lobby decides who may stay. What is not
/// accepted waits in the listener's queue for whoever shares it. Once the process is `closing`, all that wait in
/// the queue are taken in and the listener is closed: who comes later is refused, and not taken and dropped.
pub async fn serve(
    listener: TcpListener,
    front: Front,
    mut accepting: watch::Receiver<bool>,
    mut closing: watch::Receiver<bool>,
) {
    let take_in = |client: TcpStream| {
        let (place, crowded) = front.lobby.enter();
        tokio::spawn(front.clone().meet(client, place));
        crowded
    };
    let mut row = 0;
    loop {
        let accepted = tokio::select! {
            biased;
            _ = closing.wait_for(|&closing| closing) => break,
            Ok(()) = accepting.changed() => continue,
            accepted = listener.accept(), if *accepting.borrow() => accepted,
        };
        match accepted {
            Ok((client, _)) => {
                let crowded = take_in(client);
                row += 1;
                if crowded || row >= IN_A_ROW {
                    row = 0;
                    tokio::task::yield_now().await;
                }
            }
            Err(error) => {
                TROUBLE.say(format_args!("accept failed: {error}"));
                front.lobby.short();
                tokio::time::sleep(AFTER_FAILURE).await;
            }
        }
    }
    // Of the socket itself, as the runtime may not have heard yet of those that wait. A queue that is the
    // successor's is left to it.
    let Ok(listener) = listener.into_std() else { return };
    while let Some(Ok((client, _))) = accepting.borrow().then(|| listener.accept()) {
        if client.set_nonblocking(true).is_ok()
            && let Ok(client) = TcpStream::from_std(client)
        {
            take_in(client);
        }
    }
}

/// Takes over what an older process passes on, for as long as the process runs.
pub async fn adopt(inbox: Inbox, front: Front) {
    loop {
        match inbox.next().await {
            Ok((standing, [client, server])) => {
                tokio::spawn(front.clone().adopt(standing, client, server));
            }
            Err(error) => {
                PASSED.say(format_args!("a connection that was passed on: {error}"));
                tokio::time::sleep(AFTER_FAILURE).await;
            }
        }
    }
}
