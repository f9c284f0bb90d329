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

use super::accept::{AcceptRetries, Next, SHORTAGE_RETRY};
use super::log::Limited;
use super::socket;
use super::state;

use super::view::Board;
use super::{maintenance, quota};
use crate::config::DOOR_CALLERS;
use crate::figures::{END, Figures};
use crate::maintenance::Order;
use crate::operator::{Call, CallCodec, CallError, no, yes};

/// How long a caller may take to say its call: some are silent for seconds and then speak.
const PATIENCE: Duration = Duration::from_secs(5);
/// How long an answer may take to be written.
const WRITE: Duration = Duration::from_secs(1);
/// How long the core may take to carry a call out; a caller is owed its answer within a second.
const CORE: Duration = Duration::from_millis(900);
/// How long other gateways have to tell what they keep.
const ASKED: Duration = Duration::from_millis(150);
/// Calls that may wait for the core: each caller has one.
const CALLS: usize = DOOR_CALLERS;

static TROUBLE: Limited = Limited::new("operator");

/// Whether this process is ready to serve.
#[derive(Debug, Default)]
pub struct Health(AtomicU8);

const READY: u8 = 1;
const LEAVING: u8 = 2;

impl Health {
    /// It listens and has a list. One that leaves does not become ready again.
    pub fn ready(&self) {
        let _ = self.0.compare_exchange(0, READY, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// It has been asked to stop.
    pub fn leaving(&self) {
        self.0.store(LEAVING, Ordering::Relaxed);
    }

    /// Whether it is.
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Relaxed) == READY
    }
}

/// A call that the core carries out: take a server out, or put it back.
#[derive(Debug)]
pub struct CordonCall {
    /// Which server.
    pub server: String,
    /// Whether it is to be out.
    pub out: bool,
    /// Takes whether it was done; the reason where it was not.
    pub done: oneshot::Sender<Result<(), String>>,
}

/// What the door answers from.
#[derive(Clone)]
pub struct Office {
    /// The figures.
    pub figures: Arc<Figures>,
    /// Whether this process is ready.
    pub health: Arc<Health>,
    /// The fleet view, where there is one.
    pub view: Option<Arc<Board>>,
    /// Where machines are taken out for work, if they are.
    pub maintenance: Option<Arc<maintenance::Desk>>,
    /// What is shared beside it, where anything is.
    pub state: Option<Arc<state::Board>>,
    /// Partners' quotas, where they are kept.
    pub quota: Option<Arc<quota::Desk>>,
    calls: mpsc::Sender<CordonCall>,
}

impl Office {
    /// An office, and where the core takes its calls.
    pub fn new(figures: Arc<Figures>) -> (Self, mpsc::Receiver<CordonCall>) {
        let (calls, taken) = mpsc::channel(CALLS);
        let office = Self {
            figures,
            health: Arc::default(),
            view: None,
            maintenance: None,
            state: None,
            quota: None,
            calls,
        };
        (office, taken)
    }

    async fn answer(&self, call: Call) -> Bytes {
        match call {
            Call::Health if self.health.is_ready() => yes("ready"),
            Call::Health => no("not ready"),
            Call::Counters => {
                let view = self.view.as_ref().map(|view| view.figures()).unwrap_or_default();
                let state = self.state.as_ref().and_then(|it| it.with(|hub, _| hub.figures()));
                let quota = self.quota.as_ref().map(|it| it.figures()).unwrap_or_default();
                let work = self.maintenance.as_ref().map(|it| it.figures()).unwrap_or_default();
                self.figures.text(&(view + &state.unwrap_or_default() + &quota + &work)).into()
            }
            Call::Members => match self.view.as_ref().map(|view| view.members()) {
                Some(Some(members)) => (members + END).into(),
                Some(None) => no("no members yet: the address of the view cannot be had so far"),
                None => no("no view: this process was started without --view"),
            },
            Call::Maintenance(order) => {
                let Some(desk) = &self.maintenance else {
                    return no("no maintenance: this process was started without --maintenance");
                };
                let listed = order == Order::List;
                match timeout(CORE, desk.ask(order)).await {
                    Ok(Ok(text)) if listed => (text + END).into(),
                    Ok(Ok(text)) => yes(&text),
                    Ok(Err(why)) => no(why),
                    Err(_) => no("not settled in time; see the list, asking again does no harm"),
                }
            }
            Call::State => self.shared().await,
            Call::Quota => match &self.quota {
                Some(quota) => (quota.text() + END).into(),
                None => no("no quotas: this process was started without --quota"),
            },
            Call::Cordon { server, out } => {
                let (done, answered) = oneshot::channel();
                let call = CordonCall { server, out, done };
                let carried = async { self.calls.send(call).await.is_ok().then_some(answered.await.ok()) };
                match timeout(CORE, carried).await {
                    Ok(Some(Some(Ok(())))) => yes(if out { "out" } else { "back" }),
                    Ok(Some(Some(Err(why)))) => no(why),
                    _ => no("not carried out in time"),
                }
            }
        }
    }
}

impl Office {
    async fn shared(&self) -> Bytes {
        let Some(state) = &self.state else {
            return no("no state: the file of --view has no table 'state', or there is none");
        };
        // What is kept at other gateways is asked for first.
        state.with(|hub, _| hub.ask());
        tokio::time::sleep(ASKED).await;
        match state.with(|hub, _| hub.text()) {
            Some(text) => (text + END).into(),
            None => no("no state yet: the address of the view cannot be had so far"),
        }
    }
}

/// Binds the door's address and opens it on a thread of its own.
///
/// # Errors
///
/// Fails where the address cannot be bound or no thread can be had.
pub fn open(address: SocketAddr, office: Office) -> io::Result<SocketAddr> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let listener = {
        let _inside = runtime.enter();
        socket::bind(address)?
    };
    let bound = listener.local_addr()?;
    std::thread::Builder::new()
        .name("door".to_owned())
        .spawn(move || runtime.block_on(serve(listener, office)))?;
    Ok(bound)
}

type Silent = Arc<Mutex<BTreeMap<u64, oneshot::Sender<()>>>>;

async fn serve(listener: TcpListener, office: Office) {
    // Those that have not said their call yet, the longest there first; and all that are inside.
    let silent = Silent::default();
    let inside = Arc::new(tokio::sync::Semaphore::new(DOOR_CALLERS));
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
                    TROUBLE.say(format_args!("accept failed: {error}"));
                    if retries.failed(&error) != Next::Retry {
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
                call = hear(caller) => call,
                _ = displaced => None,
            };
            silent.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
            if let Some((call, mut caller)) = call {
                let answer = match call {
                    Ok(call) => office.answer(call).await,
                    Err(why) => no(why),
                };
                let written = async {
                    caller.write_all(&answer).await?;
                    caller.shutdown().await
                };
                let _ = timeout(WRITE, written).await;
            }
            drop(permit);
        });
    }
}

/// A caller's call, and the caller; none where nobody is there to be answered.
async fn hear(caller: TcpStream) -> Option<(Result<Call, CallError>, TcpWriter)> {
    let _ = caller.set_nodelay(true);
    let (read, write) = split_tcp(caller);
    let mut calls = FramedRead::new(read, CallCodec);
    let call = match timeout(PATIENCE, calls.next()).await {
        Ok(None | Some(Err(CallError::Io(_)))) => return None,
        Ok(Some(call)) => call,
        Err(_) => Err(CallError::Late),
    };
    Some((call, write))
}
