//! Accepts clients of the line protocol: those that connect, and those of an older process.

use std::io;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::accept::{AcceptRecovery, AcceptRetries, SHORTAGE_RETRY};
use super::connection_handoff::{HandoffReceiver, ReceivedConnection};
use super::pending_clients::AddedClient;
use super::rate_limited_log::RateLimitedLog;
use super::session::Frontend;

/// Wait after a connection that could not be adopted.
const ADOPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Clients accepted in a row before other tasks run: a burst must not keep them waiting, nor evict a client that has not
/// had the chance to be read.
const ACCEPTS_BEFORE_YIELD: usize = 8;
/// Waits for descriptors as the process ends, at most: together less than final answers are given to be written.
const MAX_FINAL_SHORTAGE_WAITS: u32 = 5;

static ACCEPT_FAILURES: RateLimitedLog = RateLimitedLog::new("clients");
static HANDOFF_FAILURES: RateLimitedLog = RateLimitedLog::new("handover");

/// Accepts clients while `accepting` says so. Others wait in the listener's queue for a process that shares it. Once the
/// process is `closing`, all clients in the queue are accepted and the listener is closed: those that come later are
/// refused by the system, and not accepted and dropped.
pub async fn accept_clients(
    listener: TcpListener,
    frontend: Frontend,
    mut accepting: watch::Receiver<bool>,
    mut closing: watch::Receiver<bool>,
) {
    let start_client = |client: TcpStream| {
        let AddedClient { slot, evicted_others } = frontend.pending_clients.add();
        tokio::spawn(frontend.clone().serve_client(client, slot));
        evicted_others
    };
    let mut accepted_in_a_row = 0;
    let mut retries = AcceptRetries::default();
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
                    yield_now().await;
                }
            }
            Err(error) => recover(&frontend, &mut retries, &error).await,
        }
    }
    if let Ok(listener) = listener.into_std() {
        drain_accept_queue(&listener, &accepting, start_client).await;
    }
}

/// Does what a failed accept calls for.
async fn recover(frontend: &Frontend, retries: &mut AcceptRetries, error: &io::Error) {
    ACCEPT_FAILURES.log(format_args!("accept failed: {error}"));
    let recovery = retries.record_failure(error);
    if recovery == AcceptRecovery::EvictClients {
        frontend.pending_clients.evict_for_descriptors();
    }
    if recovery != AcceptRecovery::Retry {
        sleep(SHORTAGE_RETRY).await;
    }
}

/// Accepts all clients in the queue of a listener that is about to close. A queue that the successor has taken by now is
/// left to it.
async fn drain_accept_queue(
    listener: &std::net::TcpListener,
    accepting: &watch::Receiver<bool>,
    start_client: impl Fn(TcpStream) -> bool,
) {
    let mut retries = AcceptRetries::default();
    let mut waits = 0;
    while *accepting.borrow() {
        // Asks the socket itself, as the runtime may not know yet of clients that wait.
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
                    sleep(SHORTAGE_RETRY).await;
                }
            }
        }
    }
}

/// Adopts the connections that an older process hands off, for as long as this process runs.
pub async fn adopt_connections(receiver: HandoffReceiver, frontend: Frontend) {
    loop {
        match receiver.receive().await {
            Ok(ReceivedConnection { connection: established, client, server }) => {
                tokio::spawn(frontend.clone().adopt_connection(established, client, server));
            }
            Err(error) => {
                HANDOFF_FAILURES.log(format_args!("could not adopt a connection: {error}"));
                sleep(ADOPT_RETRY_DELAY).await;
            }
        }
    }
}
