//! The operators' door: a thread and a runtime of its own, so that neither the core nor a crowd of
//! clients can keep a caller waiting.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ashtide_stream::{TcpWriter, split_tcp};
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

use super::accept::{AcceptRecovery, AcceptRetries, SHORTAGE_RETRY};
use super::bind_retry;
use super::fleet::shared_state;
use super::rate_limited_log::RateLimitedLog;

use super::fleet::view::SharedView;
use super::fleet::{maintenance, quota};
use crate::admin::protocol::{
    AdminRequest, AdminRequestCodec, AdminRequestError, error_response, success_response,
};
use crate::config::MAX_ADMIN_CONNECTIONS;
use crate::fleet::maintenance::MaintenanceCommand;
use crate::metrics::{END_OF_RESPONSE, Metrics};

/// How long a caller may take to say its call: some are silent for seconds and then speak.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an answer may take to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the core may take to carry a call out; a caller is owed its answer within a second.
const EVENT_LOOP_TIMEOUT: Duration = Duration::from_millis(900);
/// How long other gateways have to tell what they keep.
const SHARED_STATE_WAIT: Duration = Duration::from_millis(150);
/// Calls that may wait for the core: each caller has one.
const CORDON_QUEUE_LENGTH: usize = MAX_ADMIN_CONNECTIONS;

static ACCEPT_LOG: RateLimitedLog = RateLimitedLog::new("operator");

/// Whether this process is ready to serve.
#[derive(Debug, Default)]
pub struct Health(AtomicU8);

const READY: u8 = 1;
const DRAINING: u8 = 2;

impl Health {
    /// It listens and has a list. One that leaves does not become ready again.
    pub fn mark_ready(&self) {
        let _ = self.0.compare_exchange(0, READY, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// It has been asked to stop.
    pub fn mark_draining(&self) {
        self.0.store(DRAINING, Ordering::Relaxed);
    }

    /// Whether it is.
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Relaxed) == READY
    }
}

/// A call that the core carries out: take a server out, or put it back.
#[derive(Debug)]
pub struct CordonRequest {
    /// Which server.
    pub server: String,
    /// Whether it is to be out.
    pub cordon: bool,
    /// Takes whether it was done; the reason where it was not.
    pub reply: oneshot::Sender<Result<(), String>>,
}

/// What the door answers from.
#[derive(Clone)]
pub struct AdminContext {
    /// The figures.
    pub metrics: Arc<Metrics>,
    /// Whether this process is ready.
    pub health: Arc<Health>,
    /// The fleet view, where there is one.
    pub view: Option<Arc<SharedView>>,
    /// Where machines are taken out for work, if they are.
    pub maintenance: Option<Arc<maintenance::MaintenanceService>>,
    /// What is shared beside it, where anything is.
    pub shared_state: Option<Arc<shared_state::SharedState>>,
    /// Partners' quotas, where they are kept.
    pub quota: Option<Arc<quota::QuotaService>>,
    cordon_requests: mpsc::Sender<CordonRequest>,
}

impl AdminContext {
    /// An office, and where the core takes its calls.
    pub fn new(figures: Arc<Metrics>) -> (Self, mpsc::Receiver<CordonRequest>) {
        let (calls, taken) = mpsc::channel(CORDON_QUEUE_LENGTH);
        let office = Self {
            metrics: figures,
            health: Arc::default(),
            view: None,
            maintenance: None,
            shared_state: None,
            quota: None,
            cordon_requests: calls,
        };
        (office, taken)
    }

    async fn handle_request(&self, call: AdminRequest) -> Bytes {
        match call {
            AdminRequest::Health if self.health.is_ready() => success_response("ready"),
            AdminRequest::Health => error_response("not ready"),
            AdminRequest::Metrics => {
                let view = self.view.as_ref().map(|view| view.metrics_text()).unwrap_or_default();
                let state = self.shared_state.as_ref().and_then(|it| it.with(|hub, _| hub.metrics_text()));
                let quota = self.quota.as_ref().map(|it| it.metrics_text()).unwrap_or_default();
                let work = self.maintenance.as_ref().map(|it| it.metrics_text()).unwrap_or_default();
                self.metrics.render(&(view + &state.unwrap_or_default() + &quota + &work)).into()
            }
            AdminRequest::Members => match self.view.as_ref().map(|view| view.members_text()) {
                Some(Some(members)) => (members + END_OF_RESPONSE).into(),
                Some(None) => error_response("no members yet: the address of the view cannot be had so far"),
                None => error_response("no view: this process was started without --view"),
            },
            AdminRequest::Maintenance(order) => {
                let Some(desk) = &self.maintenance else {
                    return error_response("no maintenance: this process was started without --maintenance");
                };
                let listed = order == MaintenanceCommand::List;
                match timeout(EVENT_LOOP_TIMEOUT, desk.execute(order)).await {
                    Ok(Ok(text)) if listed => (text + END_OF_RESPONSE).into(),
                    Ok(Ok(text)) => success_response(&text),
                    Ok(Err(why)) => error_response(why),
                    Err(_) => error_response("not settled in time; see the list, asking again does no harm"),
                }
            }
            AdminRequest::SharedState => self.describe_shared_state().await,
            AdminRequest::Quota => match &self.quota {
                Some(quota) => (quota.status_text() + END_OF_RESPONSE).into(),
                None => error_response("no quotas: this process was started without --quota"),
            },
            AdminRequest::Cordon { server, cordon: out } => {
                let (done, answered) = oneshot::channel();
                let call = CordonRequest { server, cordon: out, reply: done };
                let carried =
                    async { self.cordon_requests.send(call).await.is_ok().then_some(answered.await.ok()) };
                match timeout(EVENT_LOOP_TIMEOUT, carried).await {
                    Ok(Some(Some(Ok(())))) => success_response(if out { "out" } else { "back" }),
                    Ok(Some(Some(Err(why)))) => error_response(why),
                    _ => error_response("not carried out in time"),
                }
            }
        }
    }
}

impl AdminContext {
    async fn describe_shared_state(&self) -> Bytes {
        let Some(state) = &self.shared_state else {
            return error_response("no state: the file of --view has no table 'state', or there is none");
        };
        // What is kept at other gateways is asked for first.
        state.with(|hub, _| hub.request_totals());
        tokio::time::sleep(SHARED_STATE_WAIT).await;
        match state.with(|hub, _| hub.status_text()) {
            Some(text) => (text + END_OF_RESPONSE).into(),
            None => error_response("no state yet: the address of the view cannot be had so far"),
        }
    }
}

/// Binds the door's address and opens it on a thread of its own.
///
/// # Errors
///
/// Fails where the address cannot be bound or no thread can be had.
pub fn start(address: SocketAddr, context: AdminContext) -> io::Result<SocketAddr> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let listener = {
        let _inside = runtime.enter();
        bind_retry::bind_listener(address)?
    };
    let bound = listener.local_addr()?;
    std::thread::Builder::new()
        .name("door".to_owned())
        .spawn(move || runtime.block_on(serve(listener, context)))?;
    Ok(bound)
}

type SilentCallers = Arc<Mutex<BTreeMap<u64, oneshot::Sender<()>>>>;

async fn serve(listener: TcpListener, office: AdminContext) {
    // Those that have not said their call yet, the longest there first; and all that are inside.
    let silent = SilentCallers::default();
    let inside = Arc::new(tokio::sync::Semaphore::new(MAX_ADMIN_CONNECTIONS));
    let mut number = 0_u64;
    loop {
        let permit = match inside.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                // A caller that knows what it wants has said so long before this one came.
                let longest = silent.lock().unwrap_or_else(PoisonError::into_inner).pop_first();
                drop(longest);
                match inside.clone().acquire_owned().await {
                    Ok(permit) => permit,
                    Err(_) => return,
                }
            }
        };
        let mut retries = AcceptRetries::default();
        let caller = loop {
            match listener.accept().await {
                Ok((caller, _)) => break caller,
                Err(error) => {
                    ACCEPT_LOG.log(format_args!("accept failed: {error}"));
                    if retries.record_failure(&error) != AcceptRecovery::Retry {
                        tokio::time::sleep(SHORTAGE_RETRY).await;
                    }
                }
            }
        };
        number += 1;
        let (place, displaced) = oneshot::channel();
        silent.lock().unwrap_or_else(PoisonError::into_inner).insert(number, place);
        let (office, silent) = (office.clone(), silent.clone());
        tokio::spawn(async move {
            let call = tokio::select! {
                biased;
                call = read_request(caller) => call,
                _ = displaced => None,
            };
            silent.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
            if let Some((call, mut caller)) = call {
                let answer = match call {
                    Ok(call) => office.handle_request(call).await,
                    Err(why) => error_response(why),
                };
                let written = async {
                    caller.write_all(&answer).await?;
                    caller.shutdown().await
                };
                let _ = timeout(WRITE_TIMEOUT, written).await;
            }
            drop(permit);
        });
    }
}

/// A caller's call, and the caller; none where nobody is there to be answered.
async fn read_request(caller: TcpStream) -> Option<(Result<AdminRequest, AdminRequestError>, TcpWriter)> {
    let _ = caller.set_nodelay(true);
    let (read, write) = split_tcp(caller);
    let mut calls = FramedRead::new(read, AdminRequestCodec);
    let call = match timeout(REQUEST_TIMEOUT, calls.next()).await {
        Ok(None | Some(Err(AdminRequestError::Io(_)))) => return None,
        Ok(Some(call)) => call,
        Err(_) => Err(AdminRequestError::TimedOut),
    };
    Some((call, write))
}
