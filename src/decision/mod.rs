//! The decision module of a gateway. Its input is events and the current time, its output is actions. It uses
//! no socket and no clock.
//!
//! A request passes through these modules:
//!
//! 1. `admission` places a new request, or queues it while too many connects are in flight or no server is
//!    eligible.
//! 2. `selection` samples two ready servers and selects the one with fewer of this gateway's own connections.
//!    `affinity` places connections of a group on the same server.
//! 3. `permits` decides whether a server that is warming up can be sent a connection, by the schedules of
//!    `slow_start`. `recovery` limits the rate of connections to a server that was saturated.
//! 4. `attempts` sends the request, and tracks the attempt and its connection until they end.
//! 5. `retry` sends the request to another server after a failure, or sends the final answer.
//!
//! The other modules do not handle individual requests:
//!
//! - `endpoint_list` applies updates of the endpoint list.
//! - `outlier` detects servers that perform worse than others.
//! - `migration` moves connections off a saturated server.
//! - `typical_load` estimates the number of connections that a server typically has.
//! - `server` and `request` contain the state, which changes only through their methods.
//!
//! All random numbers come from one generator. The order of draws and of actions is part of the behaviour,
//! because the simulator replays runs from a seed.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

mod admission;
mod affinity;
mod attempts;
mod endpoint_list;
pub mod interface;
mod migration;
mod outlier;
mod permits;
mod recovery;
mod request;
mod retry;
mod selection;
mod server;
pub mod slow_start;
mod timer;
mod typical_load;

use admission::{ConnectWindow, RequestQueue};
use affinity::GroupConnections;
pub use endpoint_list::MAX_POLL_WAIT;

use endpoint_list::ServerRecords;
use interface::{
    Action, ClassId, Event, RequestClass, RequestId, ServerId, Settings, SiblingState, Time, TimerToken,
};
use request::PendingRequest;
use server::Server;
use timer::Timer;
use typical_load::TypicalLoad;

/// Decision module of one gateway.
pub struct Balancer {
    settings: Settings,
    rng: ChaCha8Rng,
    /// Time of the first event; `None` before it.
    started_at: Option<Time>,
    /// Actions in response to the event that is being handled.
    actions: Vec<Action>,
    endpoints: ServerRecords,
    /// Requests that are unanswered, or that have an attempt or a connection.
    requests: BTreeMap<RequestId, PendingRequest>,
    queue: RequestQueue,
    connect_window: ConnectWindow,
    /// Connection counts by group.
    groups: GroupConnections,
    typical_load: TypicalLoad,
}

impl Balancer {
    /// Creates the decision module of a gateway. `seed` initialises the random number generator.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            started_at: None,
            actions: Vec::new(),
            endpoints: ServerRecords::default(),
            requests: BTreeMap::new(),
            queue: RequestQueue::default(),
            connect_window: ConnectWindow::new(),
            groups: GroupConnections::default(),
            typical_load: TypicalLoad::default(),
        }
    }

    /// Handles one event and appends the resulting actions to `actions`, in the order in which they are to be
    /// carried out.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if self.started_at.is_none() {
            self.started_at = Some(now);
            self.schedule_first_subscription(now);
        }
        self.dispatch(now, event);
        actions.append(&mut self.actions);
    }

    fn dispatch(&mut self, now: Time, event: Event) {
        // A report about a server that has never been in the endpoint list is ignored.
        if event.reported_server().is_some_and(|server| !self.is_listed(server)) {
            return;
        }
        match event {
            Event::EndpointList { update, entries } => self.handle_list_update(now, update, entries),
            Event::Request(request) => self.handle_request(now, request),
            Event::ExistingConnection { request, server } => {
                self.handle_existing_connection(now, request, server);
            }
            Event::Established { id, attempt, elapsed } => {
                self.handle_established(now, id, attempt, elapsed);
            }
            Event::AttemptEnded { id, attempt, outcome, request_done } => {
                self.handle_attempt_ended(now, id, attempt, outcome, request_done);
            }
            Event::ClientLeft { id } => self.finish_request(id),
            Event::SlowResponses { server, response_time } => {
                self.handle_slow_responses(now, server, response_time);
            }
            Event::ServerSilent { server } => self.handle_silent_server(now, server),
            Event::Uncordoned { server } => self.handle_uncordoned(now, server),
            Event::SiblingState { server, state } => self.handle_sibling_state(now, server, &state),
            Event::LoadChanged { id, load } => self.handle_load_changed(id, load),
            Event::HealthChecked { .. } => {}
            Event::Timer(token) => self.handle_timer(now, token),
            Event::PermitReply { server, reply } => self.handle_permit_reply(now, server, reply),
        }
    }

    fn handle_timer(&mut self, now: Time, token: TimerToken) {
        match Timer::from_token(token) {
            Timer::PlaceQueued => self.handle_queue_timer(now),
            Timer::Subscribe => self.actions.push(Action::Subscribe),
            Timer::Deadline(id) => self.handle_deadline(id),
        }
    }

    /// Records the state that a sibling process reports. The connections of both processes count as those of
    /// one gateway.
    fn handle_sibling_state(&mut self, now: Time, server: ServerId, state: &SiblingState) {
        self.record_sibling_permit(now, server, state.last_used_permit);
        self.server_mut(server).record_sibling(state);
    }

    /// Returns the number of connections that this process has to a server, attempts included.
    pub fn open_connections(&self, server: ServerId) -> u32 {
        if self.is_listed(server) { self.server(server).open_connections() } else { 0 }
    }

    /// Returns the state of a server that is reported to sibling processes.
    pub fn sibling_state(&self, server: ServerId) -> SiblingState {
        if self.is_listed(server) { self.server(server).sibling_state() } else { SiblingState::default() }
    }

    fn set_timer(&mut self, timer: Timer, due_at: Time) {
        self.actions.push(Action::SetTimer { token: timer.token(), due_at });
    }

    fn class(&self, id: ClassId) -> &RequestClass {
        &self.settings.classes[id.0 as usize]
    }

    fn is_listed(&self, id: ServerId) -> bool {
        self.endpoints.contains(id)
    }

    fn server(&self, id: ServerId) -> &Server {
        self.endpoints.server(id)
    }

    fn server_mut(&mut self, id: ServerId) -> &mut Server {
        self.endpoints.server_mut(id)
    }

    fn request_mut(&mut self, id: RequestId) -> &mut PendingRequest {
        self.requests.get_mut(&id).expect("a request that is being placed has a state")
    }
}
