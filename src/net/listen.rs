//! Accepts new clients of the line protocol, and adopts the established connections of a sibling that shuts
//! down.

use std::io;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::accept::{AcceptRecovery, AcceptRetries, SHORTAGE_RETRY_DELAY};
use super::connection_handoff::{HandoffReceiver, ReceivedConnection};
use super::pending_clients::AddedClient;
use super::rate_limited_log::RateLimitedLog;
use super::session::Frontend;

/// Delay after a failure to receive a connection that a sibling hands off.
const ADOPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Number of clients accepted in a row before the task yields. A burst must not delay other tasks, nor evict
/// a client whose session task has not run yet.
const ACCEPTS_BEFORE_YIELD: usize = 8;
/// Maximum number of waits for descriptors during shutdown. Together they take less time than the process has
/// for writing final answers.
const MAX_FINAL_SHORTAGE_WAITS: u32 = 5;

static ACCEPT_FAILURES: RateLimitedLog = RateLimitedLog::new("clients");
static HANDOFF_FAILURES: RateLimitedLog = RateLimitedLog::new("handover");

/// Accepts clients while `accepting` is true. Otherwise clients remain in the accept queue, for a process
/// that shares the listener.
///
/// Once `closing` is true, all clients in the accept queue are accepted and the listener is closed. The
/// system refuses later clients, so that none is accepted and then dropped.
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

/// Performs the recovery action for a failed accept.
async fn recover(frontend: &Frontend, retries: &mut AcceptRetries, error: &io::Error) {
    ACCEPT_FAILURES.log(format_args!("accept failed: {error}"));
    let recovery = retries.record_failure(error);
    if recovery == AcceptRecovery::EvictClients {
        frontend.pending_clients.evict_for_descriptors();
    }
    if recovery != AcceptRecovery::Retry {
        sleep(SHORTAGE_RETRY_DELAY).await;
    }
}

/// Accepts all clients in the accept queue of a listener that is about to close. If the successor accepts the
/// clients meanwhile, the rest of the queue is left to it.
async fn drain_accept_queue(
    listener: &std::net::TcpListener,
    accepting: &watch::Receiver<bool>,
    start_client: impl Fn(TcpStream) -> bool,
) {
    let mut retries = AcceptRetries::default();
    let mut waits = 0;
    while *accepting.borrow() {
        // Calls accept(2) directly, because the runtime may not have received the readiness event yet.
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
                    sleep(SHORTAGE_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Adopts the connections that a sibling hands off, until the process exits.
pub async fn adopt_connections(receiver: HandoffReceiver, frontend: Frontend) {
    loop {
        match receiver.receive().await {
            Ok(ReceivedConnection { connection, client, server }) => {
                tokio::spawn(frontend.clone().adopt_connection(connection, client, server));
            }
            Err(error) => {
                HANDOFF_FAILURES.log(format_args!("cannot adopt a connection: {error}"));
                sleep(ADOPT_RETRY_DELAY).await;
            }
        }
    }
}
