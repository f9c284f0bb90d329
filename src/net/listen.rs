//! Takes clients of the lines front in: those that come, and those of a process that leaves.

use std::io;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::accept::{AcceptRecovery, AcceptRetries, SHORTAGE_RETRY};
use super::connection_handoff::{HandoffReceiver, ReceivedConnection};
use super::rate_limited_log::RateLimitedLog;
use super::session::Frontend;

/// After a connection that could not be taken over, the next one waits a little.
const ADOPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Clients accepted in a row before those accepted get their turn: a burst must not keep the others
/// and the core waiting, nor displace a client that has not had the chance to be heard.
const ACCEPTS_BEFORE_YIELD: usize = 8;
/// Waits for descriptors as the process ends, at most: less than the core gives last answers to be written.
const MAX_FINAL_SHORTAGE_WAITS: u32 = 5;

static ACCEPT_FAILURES: RateLimitedLog = RateLimitedLog::new("clients");
static HANDOFF_FAILURES: RateLimitedLog = RateLimitedLog::new("handover");

/// Accepts for as long as `accepting` says, whoever comes; the lobby decides who may stay. What is not
/// accepted waits in the listener's queue for whoever shares it. Once the process is `closing`, all that wait in
/// the queue are taken in and the listener is closed: who comes later is refused, and not taken and dropped.
pub async fn accept_clients(
    listener: TcpListener,
    frontend: Frontend,
    mut accepting: watch::Receiver<bool>,
    mut closing: watch::Receiver<bool>,
) {
    let start_client = |client: TcpStream| {
        let (slot, evicted_others) = frontend.pending_clients.add();
        tokio::spawn(frontend.clone().serve_client(client, slot));
        evicted_others
    };
    let (mut accepted_in_a_row, mut retries) = (0, AcceptRetries::default());
    loop {
        let accepted = tokio::select! {
            biased;
            _ = closing.wait_for(|&closing| closing) => break,
            Ok(()) = accepting.changed() => continue,
            accepted = listener.accept(), if *accepting.borrow() => accepted,
        };
        match accepted {
            Ok((client, _)) => {
                retries.record_success();
                let evicted_others = start_client(client);
                accepted_in_a_row += 1;
                if evicted_others || accepted_in_a_row >= ACCEPTS_BEFORE_YIELD {
                    accepted_in_a_row = 0;
                    tokio::task::yield_now().await;
                }
            }
            Err(error) => {
                ACCEPT_FAILURES.log(format_args!("accept failed: {error}"));
                let next = retries.record_failure(&error);
                if next == AcceptRecovery::EvictClients {
                    frontend.pending_clients.evict_for_descriptors();
                }
                if next != AcceptRecovery::Retry {
                    tokio::time::sleep(SHORTAGE_RETRY).await;
                }
            }
        }
    }
    if let Ok(listener) = listener.into_std() {
        drain_accept_queue(&listener, &accepting, start_client).await;
    }
}

/// Takes in all that wait in the queue of a listener that is about to close. One that is the successor's by now is left
/// to it.
async fn drain_accept_queue(
    listener: &std::net::TcpListener,
    accepting: &watch::Receiver<bool>,
    start_client: impl Fn(TcpStream) -> bool,
) {
    let (mut retries, mut waits) = (AcceptRetries::default(), 0);
    while *accepting.borrow() {
        // Of the socket itself, as the runtime may not have heard yet of those that wait.
        match listener.accept() {
            Ok((client, _)) => {
                retries.record_success();
                if client.set_nonblocking(true).is_ok()
                    && let Ok(client) = TcpStream::from_std(client)
                {
                    start_client(client);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => {
                ACCEPT_FAILURES.log(format_args!("accept failed: {error}"));
                if retries.record_failure(&error) != AcceptRecovery::Retry {
                    waits += 1;
                    if waits > MAX_FINAL_SHORTAGE_WAITS {
                        return;
                    }
                    tokio::time::sleep(SHORTAGE_RETRY).await;
                }
            }
        }
    }
}

/// Takes over what an older process passes on, for as long as the process runs.
pub async fn adopt_connections(receiver: HandoffReceiver, frontend: Frontend) {
    loop {
        match receiver.receive().await {
            Ok(ReceivedConnection { connection: established, client, server }) => {
                tokio::spawn(frontend.clone().adopt_connection(established, client, server));
            }
            Err(error) => {
                HANDOFF_FAILURES.log(format_args!("a connection that was passed on: {error}"));
                tokio::time::sleep(ADOPT_RETRY_DELAY).await;
            }
        }
    }
}
