//! Drives a [`Replica`] with a UDP socket, a timer and the acceptor state on disk.

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

/// Interval at which the replica's time is advanced.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the replica receives this gateway's observations and its invariants are checked.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for the event loop to report its observations.
const OBSERVE_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval between attempts to open a store that another process of this gateway has locked.
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

/// Drives the replica of the gateway `name` until `stop` becomes true.
///
/// # Errors
///
/// Returns an error if the acceptor state cannot be read or persisted.
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

/// Opens the store. Waits while another process of this gateway, which is about to exit, has it locked.
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
        // One byte longer than the longest datagram, so that an overlong one is detected.
        let mut buffer = [0; MAX_DATAGRAM + 1];
        while !*stop.borrow() {
            // Time is advanced first: after a stall, datagrams that arrived meanwhile must not be handled as
            // if they had just been sent.
            tokio::select! {
                biased;
                _ = ticks.tick() => self.tick(receiver).await,
                Some(queued) = receiver.commands.recv() => self.handle_command(queued),
                received = self.socket.recv_from(&mut buffer) => {
                    // The socket reports an error when a peer is unreachable; it needs no handling.
                    let Ok((length, _)) = received else { continue };
                    // Rejected datagrams are counted by the replica and exported as metrics.
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

    /// Checks the replica's invariants and passes this gateway's observations to it.
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
        // If the event loop does not reply in time, the replica retains the last observations until the next
        // request.
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
        let request_id = match command {
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
        match request_id {
            Some(request_id) => drop(self.pending_replies.insert(request_id, reply)),
            None => drop(reply.send(Err(CommandError::TooManyCommands))),
        }
    }

    fn gateway_address(&self, slot: Slot) -> Option<SocketAddr> {
        self.settings.gateways.get(usize::from(slot.0)).copied()
    }

    /// Performs the replica's actions in order: a vote is on disk before the reply to it is sent.
    async fn perform_actions(&mut self) -> Result<(), StoreError> {
        while let Some(action) = self.replica.next_action() {
            match action {
                Action::Persist(vote) => self.store.persist(&vote)?,
                Action::Send(slot, datagram) => {
                    if let Some(address) = self.gateway_address(slot) {
                        // A send error is equivalent to a loss in the network; the replica retransmits.
                        let _ = self.socket.send_to(&datagram, address).await;
                    }
                }
                Action::Drain { kind: MachineKind::Server, name, .. } => self.cordon(name, true).await,
                Action::Return { kind: MachineKind::Server, name } => self.cordon(name, false).await,
                // The restart of a gateway migrates its clients; maintenance only decides which gateway may
                // restart.
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
            RequestOutcome::Rejected(reason) => Err(CommandError::Rejected(reason)),
            RequestOutcome::Unknown => Err(CommandError::NoMajority),
        };
        if let Some(reply) = self.pending_replies.remove(&request_id) {
            let _ = reply.send(result);
        }
    }
}
