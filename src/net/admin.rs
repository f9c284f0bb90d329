//! Admin endpoint. It runs on its own thread and runtime, so that neither the event loop nor many clients can
//! delay a response.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ashtide_stream::{TcpWriter, split_tcp};
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

use super::accept::{AcceptRecovery, AcceptRetries, SHORTAGE_RETRY_DELAY};
use super::bind_retry;
use super::fleet::maintenance::MaintenanceService;
use super::fleet::quota::QuotaService;
use super::fleet::shared_state::SharedState;
use super::fleet::view::SharedView;
use super::rate_limited_log::RateLimitedLog;
use crate::admin::protocol::{
    AdminRequest, AdminRequestCodec, AdminRequestError, error_response, success_response,
};
use crate::config::MAX_ADMIN_CONNECTIONS;
use crate::fleet::maintenance::MaintenanceCommand;
use crate::metrics::{END_OF_RESPONSE, Metrics};

/// Time limit for a caller to send its request. Some callers send it only seconds after they have connected.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for writing a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the event loop to execute a request. Callers must receive a response within one second.
const EVENT_LOOP_TIMEOUT: Duration = Duration::from_millis(900);
/// Time that other gateways have to send their part of the shared state.
const SHARED_STATE_WAIT: Duration = Duration::from_millis(150);
/// Maximum number of requests queued for the event loop: one per connection.
const CORDON_QUEUE_LENGTH: usize = MAX_ADMIN_CONNECTIONS;

static ACCEPT_LOG: RateLimitedLog = RateLimitedLog::new("operator");

/// Readiness of this process to serve, initially not ready.
#[derive(Debug, Default)]
pub struct Health(AtomicU8);

const STARTING: u8 = 0;
const READY: u8 = 1;
const DRAINING: u8 = 2;

impl Health {
    /// Marks the process as ready: it listens and has an endpoint list. A draining process does not become
    /// ready again.
    pub fn mark_ready(&self) {
        let _ = self.0.compare_exchange(STARTING, READY, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Marks the process as draining after a request to stop.
    pub fn mark_draining(&self) {
        self.0.store(DRAINING, Ordering::Relaxed);
    }

    /// Returns whether the process is ready.
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Relaxed) == READY
    }
}

/// Request to the event loop to cordon or uncordon a server.
#[derive(Debug)]
pub struct CordonRequest {
    /// Name of the server.
    pub server: String,
    /// Whether the server is to be cordoned; otherwise it is uncordoned.
    pub cordon: bool,
    /// Channel for the outcome. An error is the reason that the operator receives.
    pub reply: oneshot::Sender<Result<(), String>>,
}

/// State and services from which the admin endpoint responds.
#[derive(Clone)]
pub struct AdminContext {
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
    /// Whether this process is ready.
    pub health: Arc<Health>,
    /// View of the fleet; `None` if it is disabled.
    pub view: Option<Arc<SharedView>>,
    /// Maintenance queue; `None` if it is disabled.
    pub maintenance: Option<Arc<MaintenanceService>>,
    /// Shared state of the fleet; `None` if it is disabled.
    pub shared_state: Option<Arc<SharedState>>,
    /// Quotas of tenants; `None` if they are disabled.
    pub quota: Option<Arc<QuotaService>>,
    cordon_requests: mpsc::Sender<CordonRequest>,
}

impl AdminContext {
    /// Creates a context without optional subsystems, and the channel on which the event loop receives
    /// requests.
    pub fn new(metrics: Arc<Metrics>) -> (Self, mpsc::Receiver<CordonRequest>) {
        let (cordon_requests, request_receiver) = mpsc::channel(CORDON_QUEUE_LENGTH);
        let context = Self {
            metrics,
            health: Arc::default(),
            view: None,
            maintenance: None,
            shared_state: None,
            quota: None,
            cordon_requests,
        };
        (context, request_receiver)
    }

    async fn handle_request(&self, request: AdminRequest) -> Bytes {
        match request {
            AdminRequest::Health => self.describe_health(),
            AdminRequest::Metrics => self.render_metrics(),
            AdminRequest::Members => self.list_members(),
            AdminRequest::Maintenance(command) => self.execute_maintenance(command).await,
            AdminRequest::SharedState => self.describe_shared_state().await,
            AdminRequest::Quota => self.describe_quotas(),
            AdminRequest::Cordon { server, cordon } => self.cordon(server, cordon).await,
        }
    }

    fn describe_health(&self) -> Bytes {
        if self.health.is_ready() { success_response("ready") } else { error_response("not ready") }
    }

    fn render_metrics(&self) -> Bytes {
        let view = self.view.as_ref().map(|view| view.metrics_text()).unwrap_or_default();
        let shared_state =
            self.shared_state.as_ref().and_then(|state| state.with(|state, _| state.metrics_text()));
        let quota = self.quota.as_ref().map(|quota| quota.metrics_text()).unwrap_or_default();
        let maintenance = self.maintenance.as_ref().map(|service| service.metrics_text()).unwrap_or_default();
        let additional_lines = view + &shared_state.unwrap_or_default() + &quota + &maintenance;
        self.metrics.render(&additional_lines).into()
    }

    fn list_members(&self) -> Bytes {
        let Some(view) = &self.view else {
            return error_response("no view: this process was started without --view");
        };
        match view.members_text() {
            Some(members) => lines_response(members),
            None => error_response("no members yet: the address of the view cannot be had so far"),
        }
    }

    async fn execute_maintenance(&self, command: MaintenanceCommand) -> Bytes {
        let Some(service) = &self.maintenance else {
            return error_response("no maintenance: this process was started without --maintenance");
        };
        let is_list = command == MaintenanceCommand::List;
        match timeout(EVENT_LOOP_TIMEOUT, service.execute(command)).await {
            Ok(Ok(lines)) if is_list => lines_response(lines),
            Ok(Ok(message)) => success_response(&message),
            Ok(Err(reason)) => error_response(reason),
            Err(_) => error_response("not settled in time; see the list, asking again does no harm"),
        }
    }

    async fn describe_shared_state(&self) -> Bytes {
        let Some(shared_state) = &self.shared_state else {
            return error_response("no state: the file of --view has no table 'state', or there is none");
        };
        shared_state.with(|state, _| state.request_totals());
        tokio::time::sleep(SHARED_STATE_WAIT).await;
        match shared_state.with(|state, _| state.status_text()) {
            Some(lines) => lines_response(lines),
            None => error_response("no state yet: the address of the view cannot be had so far"),
        }
    }

    fn describe_quotas(&self) -> Bytes {
        match &self.quota {
            Some(quota) => lines_response(quota.status_text()),
            None => error_response("no quotas: this process was started without --quota"),
        }
    }

    async fn cordon(&self, server: String, cordon: bool) -> Bytes {
        let (reply, outcome) = oneshot::channel();
        let request = CordonRequest { server, cordon, reply };
        let execution = async {
            self.cordon_requests.send(request).await.ok()?;
            outcome.await.ok()
        };
        match timeout(EVENT_LOOP_TIMEOUT, execution).await {
            Ok(Some(Ok(()))) => success_response(if cordon { "out" } else { "back" }),
            Ok(Some(Err(reason))) => error_response(reason),
            _ => error_response("not carried out in time"),
        }
    }
}

/// Builds a response of several lines, followed by the end-of-response line.
fn lines_response(lines: String) -> Bytes {
    (lines + END_OF_RESPONSE).into()
}

/// Binds the admin endpoint's address, serves it on a separate thread, and returns the bound address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the thread cannot be started.
pub fn start(address: SocketAddr, context: AdminContext) -> io::Result<SocketAddr> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let listener = {
        let _runtime_context = runtime.enter();
        bind_retry::bind_listener(address)?
    };
    let bound_address = listener.local_addr()?;
    let thread = std::thread::Builder::new().name("admin".to_owned());
    thread.spawn(move || runtime.block_on(serve_callers(listener, context)))?;
    Ok(bound_address)
}

/// Connections that have not sent their request yet, by number, the oldest first.
#[derive(Clone, Default)]
struct PendingCallers(Arc<Mutex<BTreeMap<u64, oneshot::Sender<()>>>>);

impl PendingCallers {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, oneshot::Sender<()>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a caller. The returned receiver completes when the caller is evicted.
    fn add(&self, number: u64) -> oneshot::Receiver<()> {
        let (sender, evicted) = oneshot::channel();
        self.lock().insert(number, sender);
        evicted
    }

    fn remove(&self, number: u64) {
        self.lock().remove(&number);
    }

    fn evict_oldest(&self) {
        let oldest = self.lock().pop_first();
        drop(oldest);
    }
}

async fn serve_callers(listener: TcpListener, context: AdminContext) {
    let pending_callers = PendingCallers::default();
    let slots = Arc::new(Semaphore::new(MAX_ADMIN_CONNECTIONS));
    let mut number = 0;
    while let Some(slot) = acquire_slot(&slots, &pending_callers).await {
        let stream = accept(&listener).await;
        number += 1;
        let evicted = pending_callers.add(number);
        let caller = Caller { number, evicted, pending_callers: pending_callers.clone(), _slot: slot };
        tokio::spawn(caller.serve(stream, context.clone()));
    }
}

/// Acquires a slot for a caller. If all slots are in use, the oldest caller without a request is evicted.
async fn acquire_slot(
    slots: &Arc<Semaphore>,
    pending_callers: &PendingCallers,
) -> Option<OwnedSemaphorePermit> {
    if let Ok(slot) = slots.clone().try_acquire_owned() {
        return Some(slot);
    }
    // A caller that has a request has normally sent it long before this new caller connected.
    pending_callers.evict_oldest();
    slots.clone().acquire_owned().await.ok()
}

/// Accepts a connection. Failures are logged and the accept is retried.
async fn accept(listener: &TcpListener) -> TcpStream {
    let mut retries = AcceptRetries::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                ACCEPT_LOG.log(format_args!("accept failed: {error}"));
                if retries.record_failure(&error) != AcceptRecovery::Retry {
                    tokio::time::sleep(SHORTAGE_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Client connection to the admin endpoint.
struct Caller {
    number: u64,
    evicted: oneshot::Receiver<()>,
    pending_callers: PendingCallers,
    /// Connection slot, released when the connection ends.
    _slot: OwnedSemaphorePermit,
}

impl Caller {
    async fn serve(mut self, stream: TcpStream, context: AdminContext) {
        let received = tokio::select! {
            biased;
            received = receive_request(stream) => received,
            _ = &mut self.evicted => None,
        };
        self.pending_callers.remove(self.number);
        let Some(ReceivedRequest { request, mut writer }) = received else { return };
        let response = match request {
            Ok(request) => context.handle_request(request).await,
            Err(error) => error_response(error),
        };
        let write_response = async {
            writer.write_all(&response).await?;
            writer.shutdown().await
        };
        let _ = timeout(WRITE_TIMEOUT, write_response).await;
    }
}

/// Request of a caller, or the reason that it is invalid, and the writer for the response.
struct ReceivedRequest {
    request: Result<AdminRequest, AdminRequestError>,
    writer: TcpWriter,
}

/// Receives the request of a caller. Returns `None` if the caller has disconnected.
async fn receive_request(stream: TcpStream) -> Option<ReceivedRequest> {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = split_tcp(stream);
    let mut requests = FramedRead::new(reader, AdminRequestCodec);
    let request = match timeout(REQUEST_TIMEOUT, requests.next()).await {
        Ok(None | Some(Err(AdminRequestError::Io(_)))) => return None,
        Ok(Some(request)) => request,
        Err(_) => Err(AdminRequestError::TimedOut),
    };
    Some(ReceivedRequest { request, writer })
}
