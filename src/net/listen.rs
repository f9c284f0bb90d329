//! Takes clients of the lines front in: those that come, and those of a process that leaves.

use std::io;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::accept::{AcceptRetries, Next, SHORTAGE_RETRY};
use super::log::Limited;
use super::passing::Inbox;
use super::session::Front;

/// After a connection that could not be taken over, the next one waits a little.
const AFTER_FAILURE: Duration = Duration::from_millis(20);
/// Clients accepted in a row before those accepted get their turn: a burst must not keep the others
/// and the core waiting, nor displace a client that has not had the chance to be heard.
const IN_A_ROW: usize = 8;
/// Waits for descriptors as the process ends, at most: less than the core gives last answers to be written.
const LAST_WAITS: u32 = 5;

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
    let (mut row, mut retries) = (0, AcceptRetries::default());
    loop {
        let accepted = tokio::select! {
            biased;
            _ = closing.wait_for(|&closing| closing) => break,
            Ok(()) = accepting.changed() => continue,
            accepted = listener.accept(), if *accepting.borrow() => accepted,
        };
        match accepted {
            Ok((client, _)) => {
                retries.succeeded();
                let crowded = take_in(client);
                row += 1;
                if crowded || row >= IN_A_ROW {
                    row = 0;
                    tokio::task::yield_now().await;
                }
            }
            Err(error) => {
                TROUBLE.say(format_args!("accept failed: {error}"));
                let next = retries.failed(&error);
                if next == Next::MakeRoom {
                    front.lobby.short();
                }
                if next != Next::Retry {
                    tokio::time::sleep(SHORTAGE_RETRY).await;
                }
            }
        }
    }
    if let Ok(listener) = listener.into_std() {
        take_in_the_rest(&listener, &accepting, take_in).await;
    }
}

/// Takes in all that wait in the queue of a listener that is about to close. One that is the successor's by now is left
/// to it.
async fn take_in_the_rest(
    listener: &std::net::TcpListener,
    accepting: &watch::Receiver<bool>,
    take_in: impl Fn(TcpStream) -> bool,
) {
    let (mut retries, mut waits) = (AcceptRetries::default(), 0);
    while *accepting.borrow() {
        // Of the socket itself, as the runtime may not have heard yet of those that wait.
        match listener.accept() {
            Ok((client, _)) => {
                retries.succeeded();
                if client.set_nonblocking(true).is_ok()
                    && let Ok(client) = TcpStream::from_std(client)
                {
                    take_in(client);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => {
                TROUBLE.say(format_args!("accept failed: {error}"));
                if retries.failed(&error) != Next::Retry {
                    waits += 1;
                    if waits > LAST_WAITS {
                        return;
                    }
                    tokio::time::sleep(SHORTAGE_RETRY).await;
                }
            }
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
