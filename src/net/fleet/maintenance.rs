//! Carries what gateways settle about machines that are taken out: a UDP socket, a timer, the vote's disk. On a thread
//! of its own, so that a slow disk keeps no client waiting.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ashtide_fleet::MAX_DATAGRAM;
use ashtide_fleet::state::Slot;
use ashtide_maintenance::{Action, MachineKind, Observations, Replica, RequestOutcome, Store, StoreError};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tracing::info;

use crate::fleet::maintenance::{MaintenanceCommand, Settings, metrics_text, queue_text};
use crate::net::bind_retry;
use crate::net::fleet::view::IncarnationStore;
use crate::net::handover::unix_micros;
use crate::net::messages::{DriverEvent, EventLoopHandle, ServerObservations};

/// How often the core is told the time.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How often it is told what this gateway sees for itself, and is checked.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(250);
/// How long the daemon's core may take to say what it sees.
const OBSERVE_TIMEOUT: Duration = Duration::from_millis(100);
/// How often the vote is tried for that another process of this gateway still has.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Operators' calls that may wait.
const MAX_QUEUED_COMMANDS: usize = 16;

type Reply = oneshot::Sender<Result<String, String>>;

/// Where the operators' door leaves calls, and reads figures.
pub struct MaintenanceService {
    commands: mpsc::Sender<(MaintenanceCommand, Reply)>,
    metrics: Arc<Mutex<String>>,
}

impl MaintenanceService {
    /// A desk, and where its calls are taken.
    #[must_use]
    pub fn new() -> (Self, CommandReceiver) {
        let (orders, taken) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let figures = Arc::<Mutex<String>>::default();
        (
            Self { commands: orders, metrics: figures.clone() },
            CommandReceiver { commands: taken, metrics: figures },
        )
    }

    /// Carries a call out; waits until it is settled.
    ///
    /// # Errors
    ///
    /// Says why it is not done.
    pub async fn execute(&self, order: MaintenanceCommand) -> Result<String, String> {
        let (reply, answer) = oneshot::channel();
        let gone = "not carried out: no socket or no vote of this gateway's own so far; see the log";
        self.commands.try_send((order, reply)).map_err(|_| "too many calls wait".to_owned())?;
        answer.await.unwrap_or_else(|_| Err(gone.to_owned()))
    }

    /// The figures as text; empty before there is anything.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        self.metrics.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The other end of a [`Desk`].
pub struct CommandReceiver {
    commands: mpsc::Receiver<(MaintenanceCommand, Reply)>,
    metrics: Arc<Mutex<String>>,
}

/// Starts the thread. It ends when `stop` turns true, or where the vote cannot be kept.
///
/// # Errors
///
/// Fails where no thread can be had.
pub fn start(
    settings: Settings,
    name: String,
    clerk: CommandReceiver,
    core: EventLoopHandle,
    stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("maintenance".to_owned()).spawn(move || {
        runtime.block_on(async {
            let mut stopped = stop.clone();
            tokio::select! {
                ended = run(settings, name, clerk, core, stop) => if let Err(error) = ended {
                    info!("{error}; {}; this gateway settles nothing more", error.help());
                },
                _ = stopped.wait_for(|&stop| stop) => {}
            }
        });
    })?;
    Ok(())
}

struct Driver {
    settings: Settings,
    replica: Replica,
    store: Option<Store>,
    socket: UdpSocket,
    event_loop: EventLoopHandle,
    pending_replies: BTreeMap<u64, Reply>,
}

async fn run(
    settings: Settings,
    name: String,
    mut clerk: CommandReceiver,
    core: EventLoopHandle,
    stop: watch::Receiver<bool>,
) -> Result<(), StoreError> {
    let began = Instant::now();
    let socket = bind_retry::bind_udp_with_retry("maintenance", settings.listen).await;
    let (store, memory, wrong) = loop {
        match Store::open(&settings.state_directory, &name) {
            // An older process of this gateway that is about to leave.
            Err(StoreError::Busy(_)) => tokio::time::sleep(LOCK_RETRY_INTERVAL).await,
            opened => break opened?,
        }
    };
    if let Some(wrong) = wrong {
        info!("{wrong}; {}", wrong.help());
    }
    let life =
        IncarnationStore::new(Some(&settings.state_directory), &format!("{name}.maintenance")).start_next();
    let setup = settings.replica.clone();
    info!("maintenance: hears on {} slot={} life={life}", settings.listen, setup.own_slot.0);
    let node = Replica::new(setup, life, memory, began.elapsed());
    let mut driver = Driver {
        settings,
        replica: node,
        store: Some(store),
        socket,
        event_loop: core,
        pending_replies: BTreeMap::new(),
    };
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut looked: Option<Instant> = None;
    let mut packet = [0; MAX_DATAGRAM + 1];
    while !*stop.borrow() {
        // Time first: after a stall, what has come meanwhile must not be taken for news of this moment.
        tokio::select! {
            biased;
            _ = ticks.tick() => {
                if looked.is_none_or(|at| at.elapsed() >= OBSERVE_INTERVAL) {
                    looked = Some(Instant::now());
                    driver.observe().await;
                    let text = metrics_text(&driver.replica);
                    *clerk.metrics.lock().unwrap_or_else(PoisonError::into_inner) = text;
                }
                driver.replica.advance_to(began.elapsed());
            }
            Some((order, reply)) = clerk.commands.recv() => driver.handle_command(order, reply),
            heard = driver.socket.recv_from(&mut packet) => {
                // A peer that is not there shows as an error of the socket; it is no concern of ours.
                let Ok((length, _)) = heard else { continue };
                // Counted, and shown among the figures.
                let _ = driver.replica.handle_datagram(began.elapsed(), &packet[..length]);
            }
        }
        driver.perform_actions().await?;
    }
    Ok(())
}

impl Driver {
    async fn observe(&mut self) {
        if let Err(violation) = self.replica.check() {
            info!("maintenance: {violation}; {}", violation.help());
        }
        let names: Vec<String> =
            self.replica.machines_kept_out(MachineKind::Server).map(str::to_owned).collect();
        let (reply, seen) = oneshot::channel();
        // A core that is too busy to say is asked again; until then what it said last stands.
        let asked = async {
            self.event_loop.send(DriverEvent::InspectServers { names, reply }).await;
            seen.await.ok()
        };
        if let Ok(Some(ServerObservations { ready, open_connections: open })) =
            timeout(OBSERVE_TIMEOUT, asked).await
        {
            let there = self.settings.replica.members.iter().copied().collect();
            self.replica.set_observations(Observations {
                ready_servers: ready,
                open_connections: open,
                present_gateways: there,
            });
        }
    }

    fn handle_command(&mut self, order: MaintenanceCommand, reply: Reply) {
        let call = match order {
            MaintenanceCommand::List => {
                let _ = reply.send(Ok(queue_text(&self.replica)));
                return;
            }
            MaintenanceCommand::Request(name, reason) => {
                let kind = self.settings.machine_kind(&name);
                self.replica.request(kind, &name, &reason, unix_micros() / 1000)
            }
            MaintenanceCommand::Cancel(name) => self.replica.cancel(&name),
            MaintenanceCommand::Done(name) => self.replica.complete(&name),
        };
        match call {
            Some(call) => drop(self.pending_replies.insert(call, reply)),
            None => drop(reply.send(Err("too many calls wait".to_owned()))),
        }
    }

    fn gateway_address(&self, slot: Slot) -> Option<SocketAddr> {
        self.settings.gateways.get(usize::from(slot.0)).copied()
    }

    /// Does what the core wants, in its order: a vote is on disk before its answer leaves.
    async fn perform_actions(&mut self) -> Result<(), StoreError> {
        while let Some(action) = self.replica.next_action() {
            match action {
                Action::Persist(vote) => {
                    if let Some(store) = &mut self.store {
                        store.persist(&vote)?;
                    }
                }
                Action::Send(to, datagram) => {
                    if let Some(to) = self.gateway_address(to) {
                        // Late or never: it is sent again.
                        let _ = self.socket.send_to(&datagram, to).await;
                    }
                }
                Action::Drain { kind: MachineKind::Server, name, .. } => {
                    self.event_loop
                        .send(DriverEvent::MaintenanceCordon { server: name, cordoned: true })
                        .await;
                }
                Action::Return { kind: MachineKind::Server, name } => {
                    self.event_loop
                        .send(DriverEvent::MaintenanceCordon { server: name, cordoned: false })
                        .await;
                }
                // Whoever restarts a gateway moves its clients: this one only says whose turn it is.
                Action::Drain { .. } | Action::Return { .. } => {}
                Action::Answer { request_id: call, outcome } => {
                    let told = match outcome {
                        RequestOutcome::Committed => Ok("settled".to_owned()),
                        RequestOutcome::Rejected(why) => Err(format!("{why}; {}", why.help())),
                        RequestOutcome::Unknown => {
                            Err("no majority of the voters answered; ask again, which does no harm"
                                .to_owned())
                        }
                    };
                    if let Some(reply) = self.pending_replies.remove(&call) {
                        let _ = reply.send(told);
                    }
                }
                Action::Log(line) => info!("{line}"),
            }
        }
        Ok(())
    }
}
