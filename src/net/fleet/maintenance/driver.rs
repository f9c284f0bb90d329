//! Drives a [`Replica`]: a UDP socket, a timer, and the acceptor's state on disk.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ashtide_fleet::MAX_DATAGRAM;
use ashtide_fleet::state::Slot;
use ashtide_maintenance::{
    Action, MachineKind, Observations, PersistedVote, Replica, RequestOutcome, Store, StoreError,
};
use tokio::net::UdpSocket;
use tokio::sync::{oneshot, watch};
use tokio::time::{Interval, MissedTickBehavior, interval, sleep, timeout};
use tracing::info;

use super::{CommandError, CommandReceiver, CommandResult, QueuedCommand};
use crate::fleet::maintenance::{MaintenanceCommand, Settings, metrics_text, queue_text};
use crate::net::bind_retry::bind_udp_with_retry;
use crate::net::fleet::incarnation_store::IncarnationStore;
use crate::net::handover::unix_micros;
use crate::net::messages::{DriverEvent, EventLoopHandle, ServerObservations};

/// How often the replica is told the time.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How often it is told what this gateway observes, and is checked.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(250);
/// How long the event loop may take to say what it observes.
const OBSERVE_TIMEOUT: Duration = Duration::from_millis(100);
/// How often a store is opened that another process of this gateway still has.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(200);

struct Driver {
    settings: Settings,
    replica: Replica,
    store: Store,
    socket: UdpSocket,
    event_loop: EventLoopHandle,
    pending_replies: BTreeMap<u64, oneshot::Sender<CommandResult>>,
    epoch: Instant,
    observed_at: Option<Instant>,
}

/// Drives the replica of the gateway `name` until `stop` turns true.
///
/// # Errors
///
/// Fails where the acceptor's state cannot be read or persisted.
pub(super) async fn run(
    settings: Settings,
    name: String,
    mut receiver: CommandReceiver,
    event_loop: EventLoopHandle,
    stop: watch::Receiver<bool>,
) -> Result<(), StoreError> {
    let epoch = Instant::now();
    let socket = bind_udp_with_retry("maintenance", settings.listen).await;
    let (store, vote) = open_store(&settings, &name).await?;
    let incarnations = IncarnationStore::new(Some(&settings.state_directory), &format!("{name}.maintenance"));
    let incarnation = incarnations.start_next();
    let config = settings.replica.clone();
    info!(
        "maintenance: listening on {} as slot {} (generation {incarnation})",
        settings.listen, config.own_slot.0
    );
    let replica = Replica::new(config, incarnation, vote, epoch.elapsed());
    let mut driver = Driver {
        settings,
        replica,
        store,
        socket,
        event_loop,
        pending_replies: BTreeMap::new(),
        epoch,
        observed_at: None,
    };
    driver.run(&mut receiver, &stop).await
}

/// Opens the store; waits for another process of this gateway that is about to leave.
async fn open_store(settings: &Settings, name: &str) -> Result<(Store, PersistedVote), StoreError> {
    let (store, vote, problem) = loop {
        match Store::open(&settings.state_directory, name) {
            Err(StoreError::Busy(_)) => sleep(LOCK_RETRY_INTERVAL).await,
            opened => break opened?,
        }
    };
    if let Some(problem) = problem {
        info!("{problem}; {}", problem.help());
    }
    Ok((store, vote))
}

fn ticks() -> Interval {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

impl Driver {
    async fn run(
        &mut self,
        receiver: &mut CommandReceiver,
        stop: &watch::Receiver<bool>,
    ) -> Result<(), StoreError> {
        let mut ticks = ticks();
        // One byte more than a datagram, so that a longer one shows.
        let mut buffer = [0; MAX_DATAGRAM + 1];
        while !*stop.borrow() {
            // Time first: after a stall, what has arrived meanwhile must not be taken for news of this moment.
            tokio::select! {
                biased;
                _ = ticks.tick() => self.tick(receiver).await,
                Some(queued) = receiver.commands.recv() => self.handle_command(queued),
                received = self.socket.recv_from(&mut buffer) => {
                    // A peer that is not there shows as an error of the socket, which changes nothing here.
                    let Ok((length, _)) = received else { continue };
                    // A rejected datagram is counted, and shown among the metrics.
                    let _ = self.replica.handle_datagram(self.epoch.elapsed(), &buffer[..length]);
                }
            }
            self.perform_actions().await?;
        }
        Ok(())
    }

    async fn tick(&mut self, receiver: &CommandReceiver) {
        if self.observed_at.is_none_or(|observed_at| observed_at.elapsed() >= OBSERVE_INTERVAL) {
            self.observed_at = Some(Instant::now());
            self.observe().await;
            receiver.publish_metrics(metrics_text(&self.replica));
        }
        self.replica.advance_to(self.epoch.elapsed());
    }

    /// Checks the replica, and tells it what this gateway observes.
    async fn observe(&mut self) {
        if let Err(violation) = self.replica.check() {
            info!("maintenance: invariant violated: {violation}; {}", violation.help());
        }
        let names: Vec<String> =
            self.replica.cordoned_machines(MachineKind::Server).map(str::to_owned).collect();
        let (reply, observed) = oneshot::channel();
        let inspection = async {
            self.event_loop.send(DriverEvent::InspectServers { names, reply }).await;
            observed.await.ok()
        };
        // An event loop that is too busy is asked again; until then its last answer stands.
        if let Ok(Some(ServerObservations { ready, open_connections })) =
            timeout(OBSERVE_TIMEOUT, inspection).await
        {
            self.replica.set_observations(Observations {
                ready_servers: ready,
                open_connections,
                present_gateways: self.settings.replica.members.iter().copied().collect(),
            });
        }
    }

    fn handle_command(&mut self, QueuedCommand { command, reply }: QueuedCommand) {
        let request = match command {
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
        match request {
            Some(request) => drop(self.pending_replies.insert(request, reply)),
            None => drop(reply.send(Err(CommandError::TooManyCommands))),
        }
    }

    fn gateway_address(&self, slot: Slot) -> Option<SocketAddr> {
        self.settings.gateways.get(usize::from(slot.0)).copied()
    }

    /// Performs what the replica wants, in its order: a vote is on disk before its answer leaves.
    async fn perform_actions(&mut self) -> Result<(), StoreError> {
        while let Some(action) = self.replica.next_action() {
            match action {
                Action::Persist(vote) => self.store.persist(&vote)?,
                Action::Send(slot, datagram) => {
                    if let Some(address) = self.gateway_address(slot) {
                        // A datagram that cannot be sent is lost, as on the network; it is sent again.
                        let _ = self.socket.send_to(&datagram, address).await;
                    }
                }
                Action::Drain { kind: MachineKind::Server, name, .. } => self.cordon(name, true).await,
                Action::Return { kind: MachineKind::Server, name } => self.cordon(name, false).await,
                // Whoever restarts a gateway moves its clients: this one only says whose turn it is.
                Action::Drain { .. } | Action::Return { .. } => {}
                Action::Answer { request_id, outcome } => self.answer(request_id, outcome),
                Action::Log(line) => info!("{line}"),
            }
        }
        Ok(())
    }

    async fn cordon(&self, name: String, cordoned: bool) {
        self.event_loop.send(DriverEvent::MaintenanceCordon { server: name, cordoned }).await;
    }

    fn answer(&mut self, request_id: u64, outcome: RequestOutcome) {
        let result = match outcome {
            RequestOutcome::Committed => Ok("settled".to_owned()),
            RequestOutcome::Rejected(why) => Err(CommandError::Rejected(why)),
            RequestOutcome::Unknown => Err(CommandError::NoMajority),
        };
        if let Some(reply) = self.pending_replies.remove(&request_id) {
            let _ = reply.send(result);
        }
    }
}
