//! Simulation of a deployment and its clients in virtual time.
//!
//! **The model.** A gateway sends each attempt to the server with the shorter queue of two random servers,
//! and tries at most three servers in turn. A server sets up one connection after the other. A set-up takes
//! an exponentially distributed time. Its cost is also paid if the client has left in the meantime, and each
//! rejection because of a full queue costs a small part of a set-up. A queue has a maximum length, beyond
//! which the server rejects. A client rejected by three servers receives `BUSY MS`, and so does one that has
//! waited for the time in its parameter `d`. Established connections cost nothing in this model, as retries
//! and reconnects cause set-ups, and the model is meant to study these. Both directions between clients and
//! the deployment have the same constant delay.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use ashtide_client::{
    Address, Attempt, GiveUpReason, Instant, PoolCommand, PoolEvent, SessionId, SessionNotification,
    SessionPool, SessionRequest, Settings,
};
use ashtide_protocol::{GatewayEvent, Open};
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::baseline::BaselineClient;

/// Maximum number of servers that a gateway tries for one attempt.
const MAX_SERVERS_TRIED: usize = 3;
/// Time-out of an attempt, which is the deadline of the class.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(3200);
/// Client clock reading at the start of the simulation, in microseconds, so that no time is before the
/// clock's origin.
pub const ORIGIN_US: u64 = 10_000_000;

/// Behaviour of the simulated clients.
#[derive(Debug, Clone)]
pub enum ClientBehavior {
    /// Client library with its settings and the time-out of a session request. An attempt has at most
    /// [`ATTEMPT_TIMEOUT`].
    Library(Box<Settings>, Duration),
    /// Baseline client that tries again without end, after a wait between these bounds.
    Baseline(Duration, Duration),
}

/// Model of the deployment.
#[derive(Debug, Clone)]
pub struct DeploymentModel {
    /// Number of servers.
    pub servers: usize,
    /// Connection set-ups per second of one server.
    pub setups_per_s: f64,
    /// Maximum number of attempts in the queue of a server.
    pub max_queue: usize,
    /// Cost of a rejection, as a fraction of a set-up.
    pub rejection_cost: f64,
    /// Retry delay that a rejected client receives.
    pub retry_delay: Duration,
    /// Delay of one direction between clients and the deployment.
    pub one_way_delay: Duration,
}

/// Start or end of a fault.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// All servers run at this fraction of their speed.
    ServerSpeed(f64),
    /// This fraction of the servers rejects everything.
    RejectingServers(f64),
    /// This fraction of the established connections breaks at once.
    BreakConnections(f64),
}

/// Model of the users.
#[derive(Debug, Clone)]
pub struct UserModel {
    /// Rate of new users, per second.
    pub arrivals_per_s: f64,
    /// Mean connection time that a user wants, in seconds.
    pub mean_connection_s: f64,
    /// Total waiting time after which a user leaves for good.
    pub patience: Duration,
    /// Shortest and longest pause before a user opens a session again after one that ended without success.
    pub reopen_delay: (Duration, Duration),
}

#[derive(Debug)]
enum Client {
    Library(Box<SessionPool>),
    Baseline(Box<BaselineClient>),
}

/// Device of a user, with one session.
#[derive(Debug)]
struct Device {
    client: Client,
    request: SessionRequest,
    session: SessionId,
    /// Time of the timer event that is in the event queue, in microseconds.
    wake_us: Option<u64>,
    /// Server of the established connection, and the time since when it is established, in microseconds.
    established: Option<(usize, u64)>,
    /// Time since when the user has waited for a connection, in microseconds.
    waiting_since_us: Option<u64>,
    /// Connection time that the user still wants, in microseconds.
    wanted_us: u64,
    /// Total time that the user has waited, in microseconds.
    waited_us: u64,
    /// Whether the user has left.
    left: bool,
    /// Attempts at the deployment that have neither been answered nor closed.
    open_attempts: Vec<Attempt>,
}

/// Event of the simulation. Devices, servers and faults are given by index.
#[derive(Debug, Clone, PartialEq)]
enum SimulationEvent {
    /// A new user arrives.
    NewUser,
    /// The timer of a device fires, if it is still set to this time.
    Wake(usize, u64),
    /// The connection of an attempt is established.
    Connected(usize, Attempt),
    /// The request of an attempt reaches the deployment, with the time for which the client waits.
    RequestArrives(usize, Attempt, Duration),
    /// The close of an attempt's connection reaches the deployment.
    CloseArrives(usize, Attempt),
    /// A server has completed a set-up.
    SetupDone(usize),
    /// The answer to an attempt reaches the device.
    AnswerArrives(usize, Attempt, Answer),
    /// The wait of an attempt has elapsed.
    AttemptExpired(usize, Attempt),
    /// A user has been connected for the wanted time, if still connected since this time.
    UserSatisfied(usize, u64),
    /// A user opens a session again.
    ReopenSession(usize),
    /// A user's patience is exhausted, if still waiting since this time.
    PatienceExhausted(usize, u64),
    /// A fault starts or ends.
    Fault(usize),
}

/// Answer of the deployment to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    /// The server with this index has accepted the connection.
    Up(usize),
    /// No server has accepted the connection.
    Busy,
}

#[derive(Debug)]
struct Server {
    /// Fraction of the server's normal speed.
    speed: f64,
    /// Whether the server rejects everything.
    rejects: bool,
    /// Queued attempts, as device and attempt.
    queue: VecDeque<(usize, Attempt)>,
    /// Whether a set-up is in progress.
    busy: bool,
    /// Cost of rejections since the start of the last set-up, as a fraction of a set-up. The next set-up
    /// takes longer by it.
    pending_rejection_cost: f64,
}

/// Measurements of one second of virtual time.
#[derive(Debug, Clone, Default)]
pub struct Second {
    /// Number of attempts that reached the deployment.
    pub attempts: u64,
    /// Number of connections established.
    pub established: u64,
    /// Number of rejections.
    pub rejected: u64,
    /// Number of users that wait for a connection at the end of the second.
    pub waiting: u64,
    /// Number of users that are connected at the end of the second.
    pub connected: u64,
}

/// Measurements of a run.
#[derive(Debug, Default)]
pub struct Measurements {
    /// Measurements by second since the start.
    pub seconds: Vec<Second>,
    /// Times at which attempts reached the deployment, in microseconds since the start.
    pub arrivals: Vec<u64>,
    /// Number of attempts that reached the deployment while an older one of the same session was open there.
    pub overlaps: u64,
    /// Duration of each wait for a connection and the time of its end, both in microseconds.
    pub waits: Vec<(u64, u64)>,
    /// Total connected time of all users since [`Simulation::measure_from_us`], in microseconds.
    pub connected_us: u64,
    /// Total waiting time of all users since [`Simulation::measure_from_us`], in microseconds.
    pub waited_us: u64,
    /// Number of users who left for good without the connection time they wanted.
    pub lost: u64,
}

/// Simulated servers, users and their events.
pub struct Simulation {
    /// Current time since the start, in microseconds.
    now_us: u64,
    /// Number of events queued so far. Events at the same time occur in the order in which they were queued.
    sequence: u64,
    /// Queued events by time in microseconds and sequence number.
    event_queue: BinaryHeap<Reverse<(u64, u64, Entry)>>,
    rng: Xoshiro256PlusPlus,
    behavior: ClientBehavior,
    deployment: DeploymentModel,
    users: UserModel,
    /// Faults with their times in microseconds.
    faults: Vec<(u64, Fault)>,
    servers: Vec<Server>,
    devices: Vec<Device>,
    /// Number of connected users.
    connected: u64,
    /// Number of users that wait for a connection.
    waiting: u64,
    /// Time from which connected and waiting times are measured, in microseconds.
    pub measure_from_us: u64,
    /// Measurements so far.
    pub measurements: Measurements,
    /// Commands of the client that has handled the latest event.
    commands: Vec<PoolCommand>,
    /// Whether initially connected users are being added, so that no commands reach the deployment.
    adding_established: bool,
}

/// Queued event. All entries compare as equal, so that only time and sequence number order the queue.
#[derive(Debug)]
struct Entry(SimulationEvent);

impl PartialEq for Entry {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

fn microseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the address of the simulated gateway.
fn gateway_address() -> SocketAddr {
    ([127, 0, 0, 1], 8443).into()
}

/// Returns the client clock's reading at `now_us`, in microseconds since the start.
fn client_time(now_us: u64) -> Instant {
    Instant::from_micros(ORIGIN_US + now_us)
}

impl Simulation {
    /// Creates a simulation without users. Faults occur at their time in microseconds.
    pub fn new(
        behavior: ClientBehavior,
        deployment: DeploymentModel,
        users: UserModel,
        faults: Vec<(u64, Fault)>,
        seed: u64,
    ) -> Self {
        let server = |_| Server {
            speed: 1.0,
            rejects: false,
            queue: VecDeque::new(),
            busy: false,
            pending_rejection_cost: 0.0,
        };
        let mut simulation = Self {
            now_us: 0,
            sequence: 0,
            event_queue: BinaryHeap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            behavior,
            servers: (0..deployment.servers).map(server).collect(),
            deployment,
            users,
            faults,
            devices: Vec::new(),
            connected: 0,
            waiting: 0,
            measure_from_us: 0,
            measurements: Measurements::default(),
            commands: Vec::new(),
            adding_established: false,
        };
        for index in 0..simulation.faults.len() {
            simulation.schedule(simulation.faults[index].0, SimulationEvent::Fault(index));
        }
        if simulation.users.arrivals_per_s > 0.0 {
            simulation.schedule(0, SimulationEvent::NewUser);
        }
        simulation
    }

    fn schedule(&mut self, time_us: u64, event: SimulationEvent) {
        self.sequence += 1;
        self.event_queue.push(Reverse((time_us.max(self.now_us), self.sequence, Entry(event))));
    }

    /// Adds users that are connected at the start, spread evenly over the servers.
    pub fn add_established_users(&mut self, count: usize) {
        for number in 0..count {
            let wanted_us = (self.exponential() * self.users.mean_connection_s * 1e6) as u64;
            let device = self.add_device(wanted_us.max(1));
            self.adding_established = true;
            self.open_session(device);
            let attempt = Attempt(1);
            self.send_event(device, PoolEvent::Connected(self.devices[device].session, attempt));
            self.connection_accepted(device, attempt, number % self.servers.len());
        }
        self.adding_established = false;
        self.measurements = Measurements::default();
    }

    /// Runs the simulation until `until_us`, in microseconds since the start.
    pub fn run(&mut self, until_us: u64) {
        while let Some(Reverse((time_us, ..))) = self.event_queue.peek() {
            if *time_us > until_us {
                break;
            }
            let Some(Reverse((time_us, _, Entry(event)))) = self.event_queue.pop() else { break };
            self.advance(time_us);
            self.handle(event);
        }
        self.advance(until_us);
    }

    /// Advances the time to `time_us` and adds up the connected and waiting times.
    fn advance(&mut self, time_us: u64) {
        while self.now_us < time_us {
            let second = self.now_us / 1_000_000;
            let next = ((second + 1) * 1_000_000).min(time_us);
            let passed = next.saturating_sub(self.now_us.max(self.measure_from_us));
            self.measurements.connected_us += passed * self.connected;
            self.measurements.waited_us += passed * self.waiting;
            self.now_us = next;
            let (connected, waiting) = (self.connected, self.waiting);
            let second = self.second_mut(second);
            (second.connected, second.waiting) = (connected, waiting);
        }
    }

    fn second_mut(&mut self, second: u64) -> &mut Second {
        let second = second as usize;
        if self.measurements.seconds.len() <= second {
            self.measurements.seconds.resize(second + 1, Second::default());
        }
        &mut self.measurements.seconds[second]
    }

    fn this_second(&mut self) -> &mut Second {
        self.second_mut(self.now_us / 1_000_000)
    }

    fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.rng)
    }

    /// Adds a device and returns its index.
    fn add_device(&mut self, wanted_us: u64) -> usize {
        let number = self.devices.len();
        let mut request = SessionRequest::new("resident-reading", format!("meter-{number}"), ATTEMPT_TIMEOUT);
        let seed = self.rng.random();
        let client =
            match &self.behavior {
                ClientBehavior::Library(settings, timeout) => {
                    (request.timeout, request.attempt_timeout) = (*timeout, Some(ATTEMPT_TIMEOUT));
                    // The caller passes valid settings.
                    let mut pool = SessionPool::new(Settings::clone(settings), seed)
                        .unwrap_or_else(|error| unreachable!("invalid client settings: {error}"));
                    pool.handle(
                        client_time(self.now_us),
                        PoolEvent::AddressesChanged(vec![Address::new(gateway_address())]),
                        &mut Vec::new(),
                    );
                    Client::Library(Box::new(pool))
                }
                ClientBehavior::Baseline(min_wait, max_wait) => Client::Baseline(Box::new(
                    BaselineClient::new((*min_wait, *max_wait), gateway_address(), request.clone(), seed),
                )),
            };
        self.devices.push(Device {
            client,
            request,
            session: SessionId(0),
            wake_us: None,
            established: None,
            waiting_since_us: None,
            wanted_us,
            waited_us: 0,
            left: false,
            open_attempts: Vec::new(),
        });
        number
    }

    /// Starts a user's wait for a connection, unless the user is waiting already.
    fn start_waiting(&mut self, index: usize) {
        let device = &mut self.devices[index];
        if device.waiting_since_us.is_none() {
            device.waiting_since_us = Some(self.now_us);
            self.waiting += 1;
            let remaining = microseconds(self.users.patience).saturating_sub(device.waited_us);
            let since = self.now_us;
            self.schedule(since + remaining, SimulationEvent::PatienceExhausted(index, since));
        }
    }

    /// Ends a user's wait. Returns its duration in microseconds, or 0 if the user was not waiting.
    fn stop_waiting(&mut self, index: usize) -> u64 {
        let device = &mut self.devices[index];
        let Some(since) = device.waiting_since_us.take() else { return 0 };
        device.waited_us += self.now_us - since;
        self.waiting -= 1;
        self.now_us - since
    }

    fn open_session(&mut self, index: usize) {
        self.start_waiting(index);
        let now = client_time(self.now_us);
        let device = &mut self.devices[index];
        match &mut device.client {
            Client::Library(pool) => {
                device.session = pool.open(now, device.request.clone(), &mut self.commands)
            }
            Client::Baseline(baseline) => {
                device.session = SessionId(1);
                baseline.open(now, &mut self.commands);
            }
        }
        self.execute_commands(index);
    }

    fn send_event(&mut self, index: usize, event: PoolEvent) {
        let now = client_time(self.now_us);
        match &mut self.devices[index].client {
            Client::Library(pool) => pool.handle(now, event, &mut self.commands),
            Client::Baseline(baseline) => baseline.handle(now, event, &mut self.commands),
        }
        self.execute_commands(index);
    }

    fn execute_commands(&mut self, index: usize) {
        let mut commands = VecDeque::from(std::mem::take(&mut self.commands));
        while let Some(command) = commands.pop_front() {
            match command {
                PoolCommand::Connect { .. } | PoolCommand::SendRequest { .. } if self.adding_established => {}
                // One round trip, as for the first packets of a connection.
                PoolCommand::Connect { attempt, .. } => {
                    let connected_at = self.now_us + 2 * microseconds(self.deployment.one_way_delay);
                    self.schedule(connected_at, SimulationEvent::Connected(index, attempt));
                }
                PoolCommand::SendRequest { attempt, line, .. } => {
                    let wait =
                        Open::parse(line).ok().and_then(|open| open.client_timeout).unwrap_or_default();
                    self.schedule(
                        self.now_us + microseconds(self.deployment.one_way_delay),
                        SimulationEvent::RequestArrives(index, attempt, wait),
                    );
                }
                PoolCommand::Close { session, attempt } => {
                    self.schedule(
                        self.now_us + microseconds(self.deployment.one_way_delay),
                        SimulationEvent::CloseArrives(index, attempt),
                    );
                    let now = client_time(self.now_us);
                    if let Client::Library(pool) = &mut self.devices[index].client {
                        pool.handle(now, PoolEvent::SocketClosed(session, attempt), &mut self.commands);
                    }
                    commands.extend(std::mem::take(&mut self.commands));
                }
                PoolCommand::Notify(_, SessionNotification::Disconnected(_)) => self.connection_lost(index),
                PoolCommand::Notify(..) => {}
                PoolCommand::EndSession(_, GiveUpReason::Closed) => {}
                PoolCommand::EndSession(..) => {
                    let (min_delay, max_delay) = self.users.reopen_delay;
                    let wait = min_delay + (max_delay - min_delay).mul_f64(self.rng.random::<f64>());
                    self.schedule(self.now_us + microseconds(wait), SimulationEvent::ReopenSession(index));
                }
            }
        }
        let device = &mut self.devices[index];
        let wake = match &device.client {
            Client::Library(pool) => pool.next_wake(),
            Client::Baseline(baseline) => baseline.next_wake(),
        };
        let wake = wake.map(|wake| wake.as_micros().saturating_sub(ORIGIN_US));
        if wake != device.wake_us {
            device.wake_us = wake;
            if let Some(wake) = wake {
                self.schedule(wake, SimulationEvent::Wake(index, wake));
            }
        }
    }

    fn connection_lost(&mut self, index: usize) {
        let device = &mut self.devices[index];
        if let Some((_, since)) = device.established.take() {
            device.wanted_us = device.wanted_us.saturating_sub(self.now_us - since).max(1);
            self.connected -= 1;
        }
        self.start_waiting(index);
    }

    fn connection_accepted(&mut self, index: usize, attempt: Attempt, server: usize) {
        let session = self.devices[index].session;
        self.send_event(index, PoolEvent::Received(session, attempt, Ok(GatewayEvent::Up(Bytes::new()))));
        // The client may have closed the attempt in the meantime.
        let is_established = match &self.devices[index].client {
            Client::Library(pool) => pool.is_established(session),
            Client::Baseline(baseline) => baseline.next_wake().is_none(),
        };
        if is_established && self.devices[index].established.is_none() && !self.devices[index].left {
            let waited = self.stop_waiting(index);
            self.measurements.waits.push((waited, self.now_us));
            let device = &mut self.devices[index];
            device.established = Some((server, self.now_us));
            self.connected += 1;
            let (since, satisfied_at) = (self.now_us, self.now_us + device.wanted_us);
            self.schedule(satisfied_at, SimulationEvent::UserSatisfied(index, since));
            self.this_second().established += 1;
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::NewUser => {
                let wanted_us = (self.exponential() * self.users.mean_connection_s * 1e6) as u64;
                let device = self.add_device(wanted_us.max(1));
                self.open_session(device);
                let next = self.exponential() / self.users.arrivals_per_s * 1e6;
                self.schedule(self.now_us + next as u64, SimulationEvent::NewUser);
            }
            SimulationEvent::Wake(index, wake) => {
                if self.devices[index].wake_us == Some(wake) {
                    self.devices[index].wake_us = None;
                    self.send_event(index, PoolEvent::TimerFired);
                }
            }
            SimulationEvent::Connected(index, attempt) => {
                let session = self.devices[index].session;
                self.send_event(index, PoolEvent::Connected(session, attempt));
            }
            SimulationEvent::RequestArrives(index, attempt, wait) => {
                self.request_arrives(index, attempt, wait)
            }
            SimulationEvent::CloseArrives(index, attempt) => {
                self.devices[index].open_attempts.retain(|open| *open != attempt)
            }
            SimulationEvent::SetupDone(server) => self.complete_setup(server),
            SimulationEvent::AnswerArrives(index, attempt, Answer::Up(server)) => {
                self.connection_accepted(index, attempt, server)
            }
            SimulationEvent::AnswerArrives(index, attempt, Answer::Busy) => {
                let (session, wait) = (self.devices[index].session, self.deployment.retry_delay);
                self.send_event(
                    index,
                    PoolEvent::Received(session, attempt, Ok(GatewayEvent::Busy(Some(wait)))),
                );
            }
            SimulationEvent::AttemptExpired(index, attempt) => {
                if self.devices[index].open_attempts.contains(&attempt) {
                    self.send_answer(index, attempt, Answer::Busy);
                }
            }
            SimulationEvent::UserSatisfied(index, since) => {
                if self.devices[index].established.is_some_and(|(_, from)| from == since) {
                    self.remove_user(index);
                }
            }
            SimulationEvent::ReopenSession(index) => {
                if !self.devices[index].left {
                    self.open_session(index);
                }
            }
            SimulationEvent::PatienceExhausted(index, since) => {
                if self.devices[index].waiting_since_us == Some(since) {
                    self.measurements.lost += 1;
                    self.remove_user(index);
                }
            }
            SimulationEvent::Fault(number) => self.apply_fault(self.faults[number].1),
        }
    }

    /// Removes a user, who closes the session.
    fn remove_user(&mut self, index: usize) {
        self.stop_waiting(index);
        let device = &mut self.devices[index];
        device.left = true;
        if device.established.take().is_some() {
            self.connected -= 1;
        }
        let session = self.devices[index].session;
        self.send_event(index, PoolEvent::CloseSession(session));
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::ServerSpeed(speed) => self.servers.iter_mut().for_each(|server| server.speed = speed),
            Fault::RejectingServers(fraction) => {
                let count = (self.servers.len() as f64 * fraction).round() as usize;
                for (number, server) in self.servers.iter_mut().enumerate() {
                    server.rejects = number < count;
                }
            }
            Fault::BreakConnections(fraction) => {
                for index in 0..self.devices.len() {
                    if self.devices[index].established.is_some() && self.rng.random::<f64>() < fraction {
                        let attempt = self.current_attempt(index);
                        let session = self.devices[index].session;
                        self.send_event(index, PoolEvent::ConnectionEnded(session, attempt, None));
                    }
                }
            }
        }
    }

    /// Returns the attempt of a device's established connection, which is the latest attempt for both kinds
    /// of clients.
    fn current_attempt(&self, index: usize) -> Attempt {
        match &self.devices[index].client {
            Client::Library(pool) => pool.current_attempt(self.devices[index].session).unwrap_or_default(),
            Client::Baseline(baseline) => baseline.attempt(),
        }
    }

    /// Handles the arrival of an attempt at the deployment.
    fn request_arrives(&mut self, index: usize, attempt: Attempt, wait: Duration) {
        self.measurements.arrivals.push(self.now_us);
        self.this_second().attempts += 1;
        let device = &mut self.devices[index];
        self.measurements.overlaps += u64::from(!device.open_attempts.is_empty());
        device.open_attempts.push(attempt);
        for _ in 0..MAX_SERVERS_TRIED.min(self.servers.len()) {
            let draw = |rng: &mut Xoshiro256PlusPlus| rng.random_range(0..self.servers.len());
            let (first, second) = (draw(&mut self.rng), draw(&mut self.rng));
            let server = if self.servers[second].queue.len() < self.servers[first].queue.len() {
                second
            } else {
                first
            };
            let (max_queue, rejection_cost) = (self.deployment.max_queue, self.deployment.rejection_cost);
            let chosen = &mut self.servers[server];
            if chosen.rejects || chosen.queue.len() >= max_queue {
                chosen.pending_rejection_cost += if chosen.rejects { 0.0 } else { rejection_cost };
                continue;
            }
            chosen.queue.push_back((index, attempt));
            if !chosen.busy {
                self.start_setup(server);
            }
            return self
                .schedule(self.now_us + microseconds(wait), SimulationEvent::AttemptExpired(index, attempt));
        }
        self.send_answer(index, attempt, Answer::Busy);
    }

    fn send_answer(&mut self, index: usize, attempt: Attempt, answer: Answer) {
        self.devices[index].open_attempts.retain(|open| *open != attempt);
        self.this_second().rejected += u64::from(answer == Answer::Busy);
        self.schedule(
            self.now_us + microseconds(self.deployment.one_way_delay),
            SimulationEvent::AnswerArrives(index, attempt, answer),
        );
    }

    /// Starts the next set-up of a server. It takes longer by the cost of the rejections since the last one.
    fn start_setup(&mut self, server: usize) {
        let work = self.exponential();
        let chosen = &mut self.servers[server];
        let work = work + std::mem::take(&mut chosen.pending_rejection_cost);
        chosen.busy = true;
        let time = work / (self.deployment.setups_per_s * chosen.speed) * 1e6;
        self.schedule(self.now_us + time as u64, SimulationEvent::SetupDone(server));
    }

    /// Answers the attempt whose set-up is complete, and starts the next set-up.
    fn complete_setup(&mut self, server: usize) {
        self.servers[server].busy = false;
        if let Some((index, attempt)) = self.servers[server].queue.pop_front() {
            if self.devices[index].open_attempts.contains(&attempt) {
                self.send_answer(index, attempt, Answer::Up(server));
            }
        }
        if !self.servers[server].queue.is_empty() {
            self.start_setup(server);
        }
    }
}
