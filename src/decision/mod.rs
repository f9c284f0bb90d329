//! All decisions of ashtide. The types, events and actions are in `interface.rs`.
//! Read it as a connection travels: list, draw and compare, attempt, outcome, final answer; then cold starts,
//! health and timers. The ordinary path is two ready servers drawn at random, the one with fewer of this
//! relay's own open connections wins, and placed connections stay put (Luczak and McDiarmid).

pub mod interface;
pub mod slow_start;

use std::collections::BTreeMap;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::decision::interface::*;
use crate::discovery::MAX_POLL_WAIT;
use slow_start::{PermitHolder, PermitSchedule};

/// Draws in search of a fit server before the whole list is walked.
const MAX_SAMPLES: u32 = 6;
/// How often new servers are looked for between list changes, as a part of the warm-up time.
const READY_REFRESH_SHARE: f64 = 0.25;
/// How often this relay's connections are counted, as a part of the time between notes.
const TYPICAL_LOAD_REFRESH_SHARE: f64 = 0.1;
/// How many times the burden of the other draw a server may carry and still keep its group.
const AFFINITY_LOAD_FACTOR: f64 = 2.0;
/// For this long a relay that nobody answers goes by its own turns.
const GRANTORS_UNREACHABLE_TIME: Span = Span::from_micros(1_000_000);
/// Part of the tenants' shares that servers hold at least: a fleet in use by half.
const MIN_QUOTA_USE: f64 = 0.5;
/// What a recovering server is not sent now may be sent later, up to this part of `overload_for`.
const RECOVERY_BURST_SHARE: f64 = 0.25;
/// Multiple of the warm-up time in which a new server is paced; else all relays would turn to it just after.
const SLOW_START_FACTOR: f64 = 2.0;
/// A server of another zone counts as this much fuller: a crossing costs little beside a full server.
const CROSS_ZONE_LOAD_FACTOR: f64 = 1.25;
/// Rungs of the ladder on which fit servers stand, and the one of those set aside; see `rung`.
const UNUSABLE_RANK: u8 = 4;
const EJECTED_RANK: u8 = 3;
/// First-attempt time-out, as a part of the time left. Half leaves as much for a second server.
const FIRST_ATTEMPT_TIMEOUT_SHARE: f64 = 0.5;
/// Set-ups out at once grow by one for each window of quick ones, and shrink to this part with each other.
const CONNECT_WINDOW_DECREASE: f64 = 0.9;
/// Set-ups out at once to begin with: ample, until the first sign of congestion.
const INITIAL_CONNECT_WINDOW: f64 = 64.0;
/// First wait before another attempt after an error, as a part of the class's aim; doubles each time.
const RETRY_BACKOFF_BASE: f64 = 0.2;
/// A set-up is quick within this part of the class's aim.
const FAST_CONNECT_SHARE: f64 = 0.5;
/// Set-up is slow everywhere once the window has shrunk to this part.
const CONGESTED_WINDOW_SHARE: f64 = 0.5;
/// Failures in a row, of any kind that may be the server's, that set a server aside.
const OUTLIER_CONSECUTIVE_FAILURES: u32 = 2;
/// First wait after setting a server aside, as a part of the warm-up time; doubles up to all of it.
const INITIAL_EJECTION_SHARE: f64 = 0.1;
/// Part of the time left for which a request may be held when no server is fit.
const MAX_QUEUE_TIME_SHARE: f64 = 0.5;
/// How often held requests are looked at again, as a part of the shortest aim.
const QUEUE_RETRY_SHARE: f64 = 0.1;
/// First subscription after a start: spread over this part of `ask_within`, as all relays restart at once.
const INITIAL_SUBSCRIBE_JITTER_SHARE: f64 = 0.1;

/// A server is hot when a message there takes this part of the shortest message aim; told from a third on.
const SLOW_RESPONSE_SHARE: f64 = 0.34;
/// A server is swamped when a message takes this multiple of it: one more connection would earn nothing.
const SATURATED_RESPONSE_SHARE: f64 = 0.67;
/// How often a hot server's state is told anew.
const RESPONSE_TIME_INTERVAL: Span = Span::from_micros(1_000_000);
/// Notes that must fail to come before a hot server is drawn again; one more, by chance.
const SLOW_INTERVALS: f64 = 1.5;
/// Part of a relay's connections to a swamped server that each note moves off it.
const MIGRATION_SHARE: f64 = 0.1;
/// Connections that a server must drop within [`DROPS_WITHIN`] to count as shedding.
const SHEDDING_DROPS: f64 = 3.0;
const DROP_WINDOW: Span = Span::from_micros(2_000_000);
/// First time for which a server that sheds is hot, as a part of the warm-up time; doubles with each...
const INITIAL_SHEDDING_SHARE: f64 = 0.1;
/// ...up to this part, and begins anew when it has not for the warm-up time.
const MAX_SHEDDING_SHARE: f64 = 0.5;
/// A server that sheds bears this part of what it held when it began to...
const CAPACITY_ESTIMATE_SHARE: f64 = 0.75;
/// ...and as much again after this time.
const CAPACITY_RECOVERY_TIME: Span = Span::from_micros(40_000_000);
/// After it was swamped, a server is paced for the warm-up time at this part of the pace of its moves.
const RECOVERY_RATE_SHARE: f64 = 0.5;

/// Timers, beside the deadlines of requests.
const QUEUE_TIMER: TimerToken = TimerToken(0);
const SUBSCRIBE_TIMER: TimerToken = TimerToken(1);
const FIRST_DEADLINE_TIMER: u64 = 2;

/// A server as this relay knows it.
#[derive(Default)]
struct Server {
    endpoint: EndpointEntry,
    /// This relay's own open connections to it, attempts included: what the draw compares.
    open_connections: u32,
    /// What another process of this relay holds there, once it has told.
    sibling_connections: Option<u32>,
    /// When this relay takes it to have started, if it may still be cold.
    started_at: Option<Time>,
    /// What this relay may still send it while it recovers, as of when; the last turn it has spent there.
    recovery_tokens: f64,
    recovery_tokens_at: Time,
    last_used_permit: u64,
    /// Until when a right to send it one connection is in hand, and whether one has been asked for.
    permit_valid_until: Option<Time>,
    permit_requested: bool,
    /// No right is asked for before this, and until this nobody answered; whether it lacks its part of all.
    next_permit_request_at: Time,
    grantors_unreachable_until: Time,
    below_fair_share: bool,
    /// Failures in a row, and until when it is set aside for that.
    consecutive_failures: u32,
    ejected_until: Option<Time>,
    /// Until when it counts as hot: its messages take long.
    slow_until: Option<Time>,
    /// Whether they take longer than clients want to wait, and when they last did.
    is_saturated: bool,
    saturated_at: Option<Time>,
    /// Connections dropped lately, as of when; how often it shed in a row, and until when it is hot for it.
    recent_drops: f64,
    drops_decayed_at: Time,
    consecutive_sheds: u32,
    shedding_until: Option<Time>,
    /// How many connections it held when it began to drop them, and how many it bears since then.
    connections_before_shedding: u32,
    capacity_estimate: Option<(f64, Time)>,
    /// It has been called back, and gets the next request.
    needs_first_connection: bool,
    /// It went silent, and has not answered a message since: it gets one connection to show itself.
    on_probation: bool,
}

/// An attempt or a connection that is out and not yet ended.
struct Attempt {
    server: ServerId,
    established: bool,
}

/// A request from its arrival until its answer is given and its last attempt has ended.
#[derive(Default)]
struct PendingRequest {
    class: ClassId,
    arrived_at: Time,
    deadline: Time,
    /// The final answer has been given, or is owed no more.
    answered: bool,
    attempts: u32,
    attempt_in_flight: Option<Attempt>,
    attempted_servers: Vec<ServerId>,
    /// The first attempt that may have run: where and when it was sent.
    first_execution: Option<(ServerId, Time)>,
    last_sent_at: Time,
    /// Its load where told: expected at first, then as it changes.
    load: Option<f64>,
    group: Option<GroupId>,
    /// No further attempt before this.
    retry_at: Time,
    /// It waits for a right to this server.
    awaiting_permit_from: Option<ServerId>,
}

/// The decisions of one relay.
pub struct Balancer {
    settings: Settings,
    rng: ChaCha8Rng,
    /// What is to be done about the event at hand.
    actions: Vec<Action>,
    servers: Vec<Option<Server>>,
    /// Servers listed as ready, in the order of their ids.
    ready: Vec<ServerId>,
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Requests for which no server was fit, oldest first.
    queued_requests: Vec<RequestId>,
    queue_timer_set: bool,
    /// Attempts out that are not yet established, and how many there may be.
    connects_in_flight: u32,
    connect_window: f64,
    /// Own open connections that a server usually holds, and when that was reckoned.
    typical_connections: f64,
    typical_load_at: Option<Time>,
    /// How many of this relay's connections fill a server, by the shares; the most servers ready at once.
    connections_when_full: f64,
    peak_ready_servers: usize,
    /// The ready servers that are new, and when that was looked at.
    warming_servers: Vec<ServerId>,
    ready_refreshed_at: Time,
    /// How many connections of a group this relay holds on a server.
    group_connections: BTreeMap<(GroupId, ServerId), u32>,
    list_failures: u32,
    started_at: Option<Time>,
}

impl Balancer {
    /// The module of a relay that has just started; `seed` feeds all its random draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            actions: Vec::new(),
            servers: Vec::new(),
            ready: Vec::new(),
            requests: BTreeMap::new(),
            queued_requests: Vec::new(),
            queue_timer_set: false,
            connects_in_flight: 0,
            connect_window: INITIAL_CONNECT_WINDOW,
            typical_connections: 0.0,
            connections_when_full: 0.0,
            peak_ready_servers: 0,
            typical_load_at: None,
            warming_servers: Vec::new(),
            ready_refreshed_at: Time::default(),
            group_connections: BTreeMap::new(),
            list_failures: 0,
            started_at: None,
        }
    }

    /// Takes in one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if self.started_at.replace(self.started_at.unwrap_or(now)).is_none() {
            self.schedule_first_subscription(now);
        }
        match event {
            Event::EndpointList { update: news, entries } => self.handle_list_update(now, news, entries),
            Event::Request(request) => self.handle_request(now, request),
            Event::ExistingConnection { request, server } => {
                self.handle_existing_connection(now, request, server)
            }
            Event::Established { id, attempt, elapsed: after } => {
                self.handle_established(now, id, attempt, after)
            }
            Event::AttemptEnded { id, attempt, outcome, request_done: request_over } => {
                self.handle_attempt_ended(now, id, attempt, outcome, request_over)
            }
            Event::ClientLeft { id } => self.finish(id),
            Event::Timer(token) => self.handle_timer(now, token),
            // What is told of a server that no list has named says nothing.
            _ if event.server().is_some_and(|server| !self.is_listed(server)) => {}
            Event::SlowResponses { server, response_time: takes } => {
                self.handle_slow_responses(now, server, takes)
            }
            Event::ServerSilent { server } => self.handle_silent_server(now, server),
            Event::LoadChanged { id, load } => self.handle_load_changed(id, load),
            Event::Uncordoned { server } => self.handle_uncordoned(now, server),
            Event::SiblingState { server, state: beside } => self.handle_sibling_state(now, server, beside),
            Event::PermitReply { server, reply: right } => self.handle_permit_reply(now, server, right),
            Event::HealthChecked { .. } => {}
        }
        actions.append(&mut self.actions);
    }

    /// How many connections of this relay the module counts on a server, attempts included.
    pub fn open_connections(&self, server: ServerId) -> u32 {
        if self.is_listed(server) { self.server(server).open_connections } else { 0 }
    }

    /// About how many connections of all relays fill a server.
    pub fn fleet_connections_when_full(&mut self, now: Time) -> f64 {
        self.update_typical_load(now);
        self.connections_when_full * f64::from(self.settings.gateways)
    }

    /// What another process of this relay is to know of its own on a server.
    pub fn sibling_state(&self, server: ServerId) -> SiblingState {
        let of = |it: &Server| SiblingState {
            open_connections: it.open_connections,
            recovery_tokens: it.recovery_tokens,
            last_used_permit: it.last_used_permit,
        };
        if self.is_listed(server) { of(self.server(server)) } else { SiblingState::default() }
    }

    /// Whether a ready server gets nothing while others are fit.
    pub fn is_avoided(&self, now: Time, server: ServerId) -> bool {
        self.is_listed(server)
            && self.candidate_rank(now, &PendingRequest::default(), self.server(server)) > 0
    }

    /// Whether the attempt that is out may begin now: a repeat's window may have ended since it was chosen.
    pub fn may_begin_attempt(&self, now: Time, id: RequestId) -> bool {
        let allowed = |r: &PendingRequest| {
            r.attempt_in_flight.as_ref().is_some_and(|out| self.may_execute_on(now, r, out.server))
        };
        self.requests.get(&id).is_some_and(allowed)
    }

    // ---- The list -------------------------------------------------------------------------

    fn handle_list_update(&mut self, now: Time, news: ListUpdate, entries: Vec<EndpointEntry>) {
        match news {
            ListUpdate::WatchFailed => return self.handle_watch_failure(now),
            ListUpdate::Snapshot | ListUpdate::Cached => {
                // What a complete list lacks has been removed.
                for server in self.servers.iter_mut().flatten() {
                    server.endpoint.state = ServerState::Removed;
                }
            }
            ListUpdate::Delta => {}
        }
        if news != ListUpdate::Cached {
            self.list_failures = 0;
        }
        for entry in entries {
            self.update_endpoint(now, entry);
        }
        self.refresh_ready(now);
        self.retry_queued(now);
    }

    fn refresh_ready(&mut self, now: Time) {
        let listed = self.servers.iter().flatten();
        let ready = listed.filter(|s| s.endpoint.state == ServerState::Ready);
        self.ready = ready.map(|s| s.endpoint.server).collect();
        self.warming_servers = self.ready.iter().copied().filter(|&s| self.is_warming_up(now, s)).collect();
        self.ready_refreshed_at = now;
    }

    fn update_endpoint(&mut self, now: Time, entry: EndpointEntry) {
        let index = entry.server.0 as usize;
        self.servers.resize_with(self.servers.len().max(index + 1), || None);
        let known = self.servers[index].as_ref().map(|s| s.endpoint.started_at);
        let fresh = known != Some(entry.started_at) && entry.started_at.is_some();
        let server = self.servers[index].get_or_insert_default();
        let size = Some(entry.weight).filter(|size| size.is_finite() && *size > 0.0).unwrap_or(1.0);
        server.endpoint = EndpointEntry { weight: size, ..entry };
        if fresh {
            server.restart(now, server.endpoint.started_at);
        }
    }

    /// All relays restart together and the list service has one fixed capacity: spread the calls.
    fn schedule_first_subscription(&mut self, now: Time) {
        if self.settings.discovery == DiscoveryMode::OnRequest {
            let wait = self
                .settings
                .list_poll_limit
                .scale(INITIAL_SUBSCRIBE_JITTER_SHARE * self.rng.random::<f64>());
            self.actions.push(Action::SetTimer { token: SUBSCRIBE_TIMER, due_at: now + wait });
        }
    }

    /// A call failed or the subscription broke: call again, with growing, jittered waits, so that it can be
    /// answered before the rules count the list as told. A pushed one counts at once; its agent has no price.
    fn handle_watch_failure(&mut self, now: Time) {
        let pushed = self.settings.discovery == DiscoveryMode::Pushed;
        let longest =
            if pushed { self.settings.drain_grace } else { self.settings.list_poll_limit }.scale(0.5);
        let wait =
            longest.scale((0.1 * f64::from(1 << self.list_failures.min(6))).min(1.0)).min(MAX_POLL_WAIT);
        let at = now + wait.scale(0.5 + 0.5 * self.rng.random::<f64>());
        self.list_failures += 1;
        self.actions.push(Action::SetTimer { token: SUBSCRIBE_TIMER, due_at: at });
    }

    /// The list may not tell of a restart: it is cold, earlier turns are lost, the next request goes there.
    fn handle_uncordoned(&mut self, now: Time, id: ServerId) {
        let born = self.server(id).started_at.filter(|_| self.is_warming_up(now, id)).unwrap_or(now);
        let come = PermitSchedule::ungranted_permits(&self.settings)
            .permits_issued(now.since(born), self.fleet_connections_when_full(now)) as u64;
        let server = self.server_mut(id);
        server.restart(now, Some(born));
        (server.needs_first_connection, server.last_used_permit) = (true, come);
        self.refresh_ready(now);
        self.retry_queued(now);
    }

    /// Two processes of one relay count as one: what the other may send, or has in a turn, is not sent twice.
    fn handle_sibling_state(&mut self, now: Time, id: ServerId, it: SiblingState) {
        let (schedule, full, server) = (
            PermitSchedule::ungranted_permits(&self.settings),
            self.fleet_connections_when_full(now),
            self.server_mut(id),
        );
        let most = server.sibling_connections.map_or(it.recovery_tokens, |_| server.recovery_tokens);
        (server.recovery_tokens, server.sibling_connections) =
            (server.recovery_tokens.min(most), Some(it.open_connections));
        server.last_used_permit = server.last_used_permit.max(schedule.accept_reported_permit(
            now,
            server.started_at,
            full,
            it.last_used_permit,
        ));
    }

    fn handle_request(&mut self, now: Time, request: Request) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        let pending = PendingRequest::new(now, &request);
        self.requests.insert(id, pending);
        let at = now + request.time_left + self.settings.answer_slack.scale(0.5);
        self.actions
            .push(Action::SetTimer { token: TimerToken(FIRST_DEADLINE_TIMER + u64::from(id.0)), due_at: at });
        if request.time_left <= Span::ZERO {
            return self.answer_unserved(id);
        }
        _ = self.place(now, id);
    }

    /// Connections open at start are counted on the server they are told with.
    fn handle_existing_connection(&mut self, now: Time, request: Request, server: ServerId) {
        let mut pending = PendingRequest::new(now, &request);
        (pending.answered, pending.attempts) = (true, 1);
        pending.attempt_in_flight = Some(Attempt { server, established: true });
        let group = pending.group;
        if self.is_listed(server) && self.requests.insert(request.id, pending).is_none() {
            self.adjust_connections(server, group, 1);
        }
    }

    /// Places the request, or holds it while no server is fit or its turn has not come; says whether others
    /// may still be placed now. A store that all set-ups share fails more of them the more it is asked: each
    /// relay keeps a window of set-ups out, which widens while they are quick and narrows as they fail.
    fn place(&mut self, now: Time, id: RequestId) -> bool {
        let free = f64::from(self.connects_in_flight) < self.connect_window;
        let due = now >= self.requests[&id].retry_at;
        let (mut choice, mut bound) = (None, false);
        if free && due {
            // Taken out once: looking it up for each of many draws took two fifths of all instructions.
            let request = self.requests.get_mut(&id).map(std::mem::take).unwrap_or_default();
            choice = self.select_server(now, &request);
            bound = request.first_execution.is_some();
            self.requests.insert(id, request);
        }
        match choice {
            Some(server)
                if self.uses_fleet_permits(now, server)
                    && self.server(server).permit_valid_until.is_none() =>
            {
                self.server_mut(server).permit_requested = true;
                self.requests.get_mut(&id).expect("a request being placed is known").awaiting_permit_from =
                    Some(server);
                self.actions.push(Action::RequestPermit { server });
            }
            Some(server) => self.begin_attempt(now, id, server),
            None => self.enqueue(now, id),
        }
        // What no server may take for its own sake says nothing of the others.
        choice.is_some() || (free && (!due || bound))
    }

    /// The ordinary path: of two fit servers drawn at random with replacement, the one with fewest of this
    /// relay's own open connections; the first drawn wins a tie. A new server goes first while it has an
    /// allowance left: most own counts are zero, and nothing else tells it from the old ones, which are
    /// overrun. No draw keeps to the own zone: its one server would get two thirds of all that comes.
    fn select_server(&mut self, now: Time, request: &PendingRequest) -> Option<ServerId> {
        self.update_typical_load(now);
        let owed =
            |s: &Server| s.needs_first_connection && !s.permit_requested && now >= s.next_permit_request_at;
        let owes = |id: &&ServerId| owed(self.server(**id)) && self.may_execute_on(now, request, **id);
        if let Some(&owed) = self.warming_servers.iter().find(owes) {
            return Some(owed);
        }
        let home = self.affinity_server(now, request);
        let new = self.sample_candidate(now, request, true, 0);
        if home.is_none() && new.is_some_and(|id| self.is_below_fair_share(now, id)) {
            return new;
        }
        let first = home.or_else(|| self.sample_candidate(now, request, false, 0));
        let second = new.or_else(|| self.sample_candidate(now, request, false, MAX_SAMPLES));
        let (first, second) = match (first, second) {
            (Some(first), Some(second)) => (first, second),
            (first, _) => {
                let fit = self.eligible_servers(now, request);
                let mut any = || fit.choose(&mut self.rng).copied();
                (first.or_else(&mut any)?, any()?)
            }
        };
        let named = request.group.is_some() && self.connections_when_full < 2.0;
        let keep = if home.is_some() || named { AFFINITY_LOAD_FACTOR } else { 1.0 };
        Some(if keep * self.relative_load(second) < self.relative_load(first) { second } else { first })
    }

    /// Draws among the ready servers, or the new ones of them, until one is on the lowest rung; the list is
    /// walked only if a few draws find none. Where a full server holds a connection or two of each relay,
    /// what a group draws follows from its name: drawn anew by each relay, it would spread over all servers.
    fn sample_candidate(
        &mut self,
        now: Time,
        request: &PendingRequest,
        new: bool,
        from: u32,
    ) -> Option<ServerId> {
        for round in from..from + MAX_SAMPLES {
            let pool = if new { &self.warming_servers } else { &self.ready };
            let key = |id: &&ServerId| self.server(**id).endpoint.hash_key;
            let server = *match request.group.filter(|_| self.connections_when_full < 2.0) {
                Some(group) => pool.iter().max_by_key(|id| group.rendezvous_hash(key(id), round)),
                None => pool.choose(&mut self.rng),
            }?;
            if self.candidate_rank(now, request, self.server(server)) == 0
                && (!new || self.is_warming_up(now, server))
                && self.may_execute_on(now, request, server)
                && self.slow_start_admits(now, server)
            {
                return Some(server);
            }
        }
        None
    }

    /// Each server that holds some of a group pays for the group: a fit one that holds most of this relay's
    /// connections of it takes the place of the first draw.
    fn affinity_server(&mut self, now: Time, request: &PendingRequest) -> Option<ServerId> {
        let group = request.group?;
        let homes = self.group_connections.range((group, ServerId(0))..=(group, ServerId(u32::MAX)));
        let homes = homes.map(|(&(_, server), &held)| (held, std::cmp::Reverse(server)));
        let fit = |s: ServerId| {
            self.candidate_rank(now, request, self.server(s)) == 0 && self.may_execute_on(now, request, s)
        };
        let ready = |s: ServerId| self.server(s).endpoint.state == ServerState::Ready;
        let home = homes.filter(|&(_, at)| ready(at.0) && fit(at.0)).max()?.1.0;
        self.slow_start_admits(now, home).then_some(home)
    }

    /// What the draw compares: own open connections, and one more, against the listed size. A live size also
    /// carries, seconds late, what all relays hold there, which decides where most own counts are alike.
    fn relative_load(&self, id: ServerId) -> f64 {
        let server = self.server(id);
        let priced = self.settings.prices.cross_zone > 0.0 && server.endpoint.zone != self.settings.zone;
        f64::from(server.total_connections() + 1) / server.endpoint.weight
            * if priced { CROSS_ZONE_LOAD_FACTOR } else { 1.0 }
    }

    /// The servers fit for this request, on the first rung that has any: when all are hot, all serve again.
    /// Those set aside come last, unless another's allowance is only spent: the request is held for that one.
    /// A swamped server is on no rung: it is held, and refused in the end, so that those placed are served.
    fn eligible_servers(&mut self, now: Time, request: &PendingRequest) -> Vec<ServerId> {
        let (mut lowest, mut fit) = (UNUSABLE_RANK, Vec::new());
        for at in 0..self.ready.len() {
            let server = self.ready[at];
            let rung = self.candidate_rank(now, request, self.server(server));
            if rung <= lowest && rung < UNUSABLE_RANK && self.may_execute_on(now, request, server) {
                let allowed = self.slow_start_admits(now, server);
                let reach = if allowed { rung } else { rung.max(EJECTED_RANK - 1) };
                if reach < lowest {
                    (lowest, fit) = (reach, Vec::new());
                }
                fit.extend(allowed.then_some(server));
            }
        }
        fit
    }

    fn candidate_rank(&self, now: Time, request: &PendingRequest, server: &Server) -> u8 {
        let on_trial = server.on_probation && server.open_connections > 0;
        let set_aside = on_trial || server.ejected_until.is_some_and(|until| now < until);
        let hot = server.slow_until.is_some_and(|until| now < until);
        let sheds =
            server.shedding_until.is_some_and(|until| now < until) || server.at_estimated_capacity(now);
        match () {
            () if hot && server.is_saturated => UNUSABLE_RANK,
            () if set_aside => EJECTED_RANK,
            () if request.attempted_servers.contains(&server.endpoint.server) => 2,
            () => u8::from(hot || sheds),
        }
    }

    /// Rule 2: once a keyed request may have run, only its group may see it again, and only while
    /// the group remembers it; an unsafe one goes nowhere.
    fn may_execute_on(&self, now: Time, request: &PendingRequest, server: ServerId) -> bool {
        let Some((first, sent)) = request.first_execution else {
            return true;
        };
        let (first, server) = (&self.server(first).endpoint, &self.server(server).endpoint);
        match self.class(request.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey { scope: group, remembered_for: window } => {
                now.since(sent) < window
                    && match group {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => first.zone == server.zone,
                        DeduplicationScope::Cell => first.cell == server.cell,
                    }
            }
        }
    }

    fn begin_attempt(&mut self, now: Time, id: RequestId, server: ServerId) {
        let (timeout, turn) = (self.attempt_timeout(now, id), self.next_permit(now, server));
        let at = self.server_mut(server);
        (at.needs_first_connection, at.permit_valid_until, at.last_used_permit) =
            (false, None, turn.unwrap_or(at.last_used_permit));
        at.recovery_tokens = (at.recovery_tokens - 1.0).max(0.0);
        self.adjust_connections(server, self.requests[&id].group, 1);
        self.connects_in_flight += 1;
        let request = self.requests.get_mut(&id).expect("a request being placed is known");
        (request.attempts, request.last_sent_at) = (request.attempts + 1, now);
        request.attempted_servers.push(server);
        request.attempt_in_flight = Some(Attempt { server, established: false });
        self.actions.push(Action::Attempt { id, server, timeout });
    }

    /// Leaves room for a second server, except on the last attempt and while set-up is slow
    /// everywhere: that is the shared store's doing, and a repeat would only ask it once more.
    fn attempt_timeout(&self, now: Time, id: RequestId) -> Span {
        let request = &self.requests[&id];
        let left = request.deadline.since(now);
        let class = self.class(request.class);
        let last = request.attempts + 1 >= self.settings.max_attempts;
        if last
            || self.connect_window < INITIAL_CONNECT_WINDOW * CONGESTED_WINDOW_SHARE
            || class.idempotency == Idempotency::NotIdempotent
        {
            return left;
        }
        class.latency_objective.max(left.scale(FIRST_ATTEMPT_TIMEOUT_SHARE)).min(left)
    }

    fn handle_established(&mut self, now: Time, id: RequestId, attempt: u32, after: Span) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let latest = request.attempts == attempt + 1;
        let Some(out) = request.attempt_in_flight.as_mut().filter(|_| latest) else { return };
        out.established = true;
        let server = out.server;
        request.answered = true;
        let aim = self.settings.classes[request.class.0 as usize].latency_objective;
        self.record_connect(now, server, after < aim.scale(FAST_CONNECT_SHARE));
        self.record_success(server);
        self.retry_queued(now);
    }

    fn handle_load_changed(&mut self, id: RequestId, load: f64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.load = Some(load).filter(|load| load.is_finite() && *load > 0.0).or(request.load);
        }
    }

    /// A set-up has left the window, quick or not. At a server that stands out it says nothing of others.
    fn record_connect(&mut self, now: Time, server: ServerId, quick: bool) {
        self.connects_in_flight = self.connects_in_flight.saturating_sub(1);
        if quick || self.is_avoided(now, server) {
            self.connect_window =
                (self.connect_window + 1.0 / self.connect_window).min(INITIAL_CONNECT_WINDOW);
        } else {
            self.connect_window = (self.connect_window * CONNECT_WINDOW_DECREASE).max(1.0);
        }
    }

    fn handle_attempt_ended(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        request_over: bool,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.attempts != attempt + 1 {
            return;
        }
        let Some(out) = request.attempt_in_flight.take() else { return };
        if !outcome.proves_not_executed() && request.first_execution.is_none() {
            request.first_execution = Some((out.server, request.last_sent_at));
        }
        let group = request.group;
        let over = request.answered || request_over;
        if !out.established {
            match outcome {
                Outcome::Failed | Outcome::TimedOut => self.record_connect(now, out.server, false),
                _ => self.connects_in_flight = self.connects_in_flight.saturating_sub(1),
            }
        }
        if over {
            self.requests.remove(&id);
        }
        self.adjust_connections(out.server, group, -1);
        self.record_outcome(now, out.server, outcome, out.established);
        if !over {
            self.retry_or_answer(now, id, outcome);
        }
        self.retry_queued(now);
    }

    /// After a failed attempt: another server if the rules and the time allow it, else the answer.
    fn retry_or_answer(&mut self, now: Time, id: RequestId, outcome: Outcome) {
        let request = &self.requests[&id];
        let spent = request.attempts >= self.settings.max_attempts || outcome == Outcome::NotSent;
        let barred = request.first_execution.is_some()
            && self.class(request.class).idempotency == Idempotency::NotIdempotent;
        if spent || barred || now >= request.deadline {
            return self.answer_unserved(id);
        }
        if outcome != Outcome::ConnectError {
            // An error or a full queue may be everybody's: do not hurry from one to the next.
            let wait = self.class(request.class).latency_objective.scale(RETRY_BACKOFF_BASE);
            let wait = wait.scale(f64::from(1 << (request.attempts - 1).min(6)));
            let not_before = now + wait.scale(0.5 + self.rng.random::<f64>());
            self.requests.get_mut(&id).expect("just seen").retry_at = not_before;
        }
        _ = self.place(now, id);
    }

    // ---- Held requests and the final answer -----------------------------------------------

    fn enqueue(&mut self, now: Time, id: RequestId) {
        self.queued_requests.push(id);
        if !self.queue_timer_set {
            self.queue_timer_set = true;
            let aims = self.settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or_default();
            let wait = aims.scale(QUEUE_RETRY_SHARE).max(self.settings.batch_interval);
            self.actions.push(Action::SetTimer { token: QUEUE_TIMER, due_at: now + wait });
        }
    }

    /// Tries held requests again; those held for long are refused while the client still has time
    /// to go elsewhere.
    fn retry_queued(&mut self, now: Time) {
        // Once one finds no server, the others find none either: many are held on the worst days.
        let mut room = true;
        for id in std::mem::take(&mut self.queued_requests) {
            let Some(request) =
                self.requests.get(&id).filter(|r| !r.answered && r.attempt_in_flight.is_none())
            else {
                continue;
            };
            let whole = request.deadline.since(request.arrived_at);
            if now >= request.arrived_at + whole.scale(MAX_QUEUE_TIME_SHARE) {
                self.answer_unserved(id);
            } else if room {
                room = self.place(now, id);
            } else {
                self.enqueue(now, id);
            }
        }
    }

    /// The final answer of a request that was not served: a refusal where trying again does no
    /// harm, else a failure, which promises nothing.
    fn answer_unserved(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.answered) else { return };
        if self.is_safe_to_retry(id) && request.attempt_in_flight.is_none() {
            let most = self.settings.max_retry_after;
            self.actions.push(Action::Reject { id, retry_after: most.scale(self.rng.random()) });
        } else {
            self.actions.push(Action::Fail { id });
        }
        self.finish(id);
    }

    /// Whether a refusal would be true: trying again does no harm, whatever has run.
    pub fn is_safe_to_retry(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_none_or(|r| match self.class(r.class).idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. } => true,
            Idempotency::WithKey { .. } | Idempotency::NotIdempotent => {
                r.first_execution.is_none() && r.attempt_in_flight.is_none()
            }
        })
    }

    /// The request is over; its record stays while an attempt is out, as that is still counted.
    fn finish(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.answered = true;
            if request.attempt_in_flight.is_none() {
                self.requests.remove(&id);
            }
        }
    }

    /// Rule 1: a request that is still open just past its deadline is called off and answered now.
    fn handle_deadline(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.answered) else { return };
        if request.attempt_in_flight.is_some() && self.settings.cancellation {
            self.actions.push(Action::CancelAttempt { id, attempt: request.attempts - 1 });
        }
        self.answer_unserved(id);
    }

    // ---- Cold starts ----------------------------------------------------------------------

    /// Rule 4: a cold server holds nothing, so it wins every comparison at every relay. It gets what comes by
    /// right or in turn; one that recovers is paced, as all that others have let go of wait for it.
    fn slow_start_admits(&mut self, now: Time, id: ServerId) -> bool {
        if self.uses_fleet_permits(now, id) {
            let server = self.server_mut(id);
            server.permit_valid_until = server.permit_valid_until.filter(|&until| now < until);
            return server.permit_valid_until.is_some()
                || (!server.permit_requested && now >= server.next_permit_request_at);
        }
        let may = !self.is_warming_up(now, id) || self.next_permit(now, id).is_some();
        if !may || self.server(id).saturated_at.is_none_or(|at| now.since(at) >= self.settings.warm_up_time) {
            return may;
        }
        let rate = RECOVERY_RATE_SHARE * MIGRATION_SHARE * self.typical_connections
            / RESPONSE_TIME_INTERVAL.as_secs();
        let burst = (rate * self.settings.overload_window.as_secs() * RECOVERY_BURST_SHARE).max(1.0);
        let server = self.server_mut(id);
        let since = now.since(server.recovery_tokens_at).as_secs();
        (server.recovery_tokens, server.recovery_tokens_at) =
            ((server.recovery_tokens + rate * since).min(burst), now);
        server.recovery_tokens >= 1.0
    }

    /// This relay's next turn at a new server. All relays count turns by its age, so no two have one.
    fn next_permit(&self, now: Time, id: ServerId) -> Option<u64> {
        let (server, settings) = (self.server(id), &self.settings);
        let born = server.started_at.filter(|_| self.is_warming_up(now, id))?;
        let holder = PermitHolder::for_gateway(
            settings,
            server.endpoint.hash_key,
            self.started_at?,
            server.last_used_permit,
        );
        PermitSchedule::ungranted_permits(settings)
            .next_permit(now, born, self.connections_when_full * f64::from(settings.gateways), holder)
            .ok()
    }

    /// Whether all relays spend one allowance of a server, which is asked for. A hundredth of it each is no
    /// whole connection, and idles with those whose clients stay. If nobody answers, each keeps to its turns.
    fn uses_fleet_permits(&self, now: Time, id: ServerId) -> bool {
        self.settings.fleet_permits
            && now >= self.server(id).grantors_unreachable_until
            && self.is_warming_up(now, id)
    }

    /// The request that waits for this right goes there, or elsewhere without it.
    fn handle_permit_reply(&mut self, now: Time, id: ServerId, right: PermitReply) {
        let server = self.server_mut(id);
        server.permit_requested = false;
        match right {
            PermitReply::Granted { expires_at: until, below_fair_share: lacks } => {
                (server.permit_valid_until, server.below_fair_share) = (Some(until), lacks)
            }
            PermitReply::Denied { retry_after: wait, below_fair_share: lacks } => {
                (server.next_permit_request_at, server.below_fair_share) = (now + wait, lacks)
            }
            PermitReply::NoReply => server.grantors_unreachable_until = now + GRANTORS_UNREACHABLE_TIME,
        }
        let mut waiting =
            self.requests.iter().filter(|(_, p)| p.awaiting_permit_from == Some(id) && !p.answered);
        let Some((&request, _)) = waiting.next() else { return };
        self.requests.get_mut(&request).expect("just seen").awaiting_permit_from = None;
        let pending = &self.requests[&request];
        let there = self.server(id).endpoint.state == ServerState::Ready
            && self.server(id).permit_valid_until.is_some_and(|until| now < until)
            && self.candidate_rank(now, pending, self.server(id)) == 0;
        if there { self.begin_attempt(now, request, id) } else { _ = self.place(now, request) }
    }

    /// Whether a new server lacks its part of what all hold, as far as is known here.
    fn is_below_fair_share(&self, now: Time, id: ServerId) -> bool {
        if self.uses_fleet_permits(now, id) {
            self.server(id).below_fair_share
        } else {
            self.server(id).total_connections() == 0
        }
    }

    fn is_warming_up(&self, now: Time, id: ServerId) -> bool {
        let paced = self.settings.warm_up_time.scale(SLOW_START_FACTOR);
        self.server(id).started_at.is_some_and(|born| now.since(born) < paced)
    }

    /// What a server usually holds of this relay's connections: the mean over those that are not new, or over
    /// all where that is more, and no less than the tenants' shares let expect. It is forgotten only over a
    /// warm-up time, as in a deploy or after a crash the connections are on their way.
    fn update_typical_load(&mut self, now: Time) {
        if now.since(self.ready_refreshed_at) > self.settings.warm_up_time.scale(READY_REFRESH_SHARE) {
            self.refresh_ready(now);
        }
        if self
            .typical_load_at
            .is_some_and(|at| now.since(at) < RESPONSE_TIME_INTERVAL.scale(TYPICAL_LOAD_REFRESH_SHARE))
        {
            return;
        }
        self.peak_ready_servers = self.peak_ready_servers.max(self.ready.len());
        let held = |server: &Server| f64::from(server.total_connections());
        let all: f64 = self.servers.iter().flatten().map(held).sum();
        let old = self
            .ready
            .iter()
            .filter(|id| !self.warming_servers.contains(id))
            .map(|&id| held(self.server(id)));
        let (settled, mean) = (old.clone().sum(), |open: f64, n: usize| open / n.max(1) as f64);
        let shares: f64 = self.settings.tenants.iter().map(|t| t.quota_connections).sum();
        let full = mean(shares / f64::from(self.settings.gateways), self.peak_ready_servers);
        let mean = mean(all, self.ready.len()).max(mean(settled, old.count()));
        let passed =
            now.since(self.typical_load_at.unwrap_or(now)).as_secs() / self.settings.warm_up_time.as_secs();
        self.typical_connections =
            mean.max(self.typical_connections * (1.0 - passed)).max(MIN_QUOTA_USE * full);
        self.connections_when_full = if full > 0.0 { full } else { self.typical_connections };
        self.typical_load_at = Some(now);
    }

    // ---- Health ---------------------------------------------------------------------------

    fn record_outcome(&mut self, now: Time, id: ServerId, outcome: Outcome, established: bool) {
        match outcome {
            Outcome::Ok => self.record_success(id),
            Outcome::Reset if established => self.record_drop(now, id),
            Outcome::ConnectError => self.record_failure(now, id, OUTLIER_CONSECUTIVE_FAILURES),
            Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFailure => {}
            _ => self.record_failure(now, id, 1),
        }
    }

    /// Counts failures towards setting the server aside, each time for longer, with jitter.
    fn record_failure(&mut self, now: Time, id: ServerId, weight: u32) {
        let jitter = 0.75 + 0.5 * self.rng.random::<f64>();
        let longest = self.settings.warm_up_time;
        let server = self.server_mut(id);
        if server.ejected_until.is_some_and(|until| now < until) {
            return;
        }
        server.consecutive_failures += weight;
        if server.consecutive_failures >= OUTLIER_CONSECUTIVE_FAILURES {
            let times = (server.consecutive_failures / OUTLIER_CONSECUTIVE_FAILURES).min(8) - 1;
            let wait = longest.scale(INITIAL_EJECTION_SHARE * f64::from(1 << times)).min(longest);
            server.ejected_until = Some(now + wait.scale(jitter));
        }
    }

    fn record_success(&mut self, id: ServerId) {
        let server = self.server_mut(id);
        // Taking a connection up is not yet serving it.
        if !server.on_probation {
            (server.consecutive_failures, server.ejected_until) = (0, None);
        }
    }

    /// A server that drops standing connections has more than it can hold; those it dropped make its count
    /// the lowest, so that it would be chosen first. It is hot for a while, each time for longer.
    fn record_drop(&mut self, now: Time, id: ServerId) {
        let warm_within = self.settings.warm_up_time;
        let jitter = 0.75 + 0.5 * self.rng.random::<f64>();
        let server = self.server_mut(id);
        let passed = now.since(server.drops_decayed_at).as_secs() / DROP_WINDOW.as_secs();
        if server.recent_drops <= SHEDDING_DROPS * passed {
            server.connections_before_shedding = server.total_connections() + 1;
        }
        (server.recent_drops, server.drops_decayed_at) =
            ((server.recent_drops - SHEDDING_DROPS * passed).max(0.0) + 1.0, now);
        if server.recent_drops < SHEDDING_DROPS {
            return;
        }
        server.capacity_estimate =
            Some((CAPACITY_ESTIMATE_SHARE * f64::from(server.connections_before_shedding), now));
        if server.shedding_until.is_some_and(|until| now < until) {
            return;
        }
        let again = server.shedding_until.is_some_and(|until| now.since(until) < warm_within);
        server.consecutive_sheds = if again { (server.consecutive_sheds + 1).min(8) } else { 0 };
        let wait = warm_within.scale(
            (INITIAL_SHEDDING_SHARE * f64::from(1 << server.consecutive_sheds)).min(MAX_SHEDDING_SHARE),
        );
        server.shedding_until = Some(now + wait.scale(jitter));
    }

    /// A silent server serves nobody: all that this relay has there are sent away at once, and it is set
    /// aside, each time for longer, then tried with one connection until that is answered.
    fn handle_silent_server(&mut self, now: Time, id: ServerId) {
        self.record_failure(now, id, OUTLIER_CONSECUTIVE_FAILURES);
        self.server_mut(id).on_probation = true;
        let here: Vec<RequestId> = self.established_on(id).map(|(id, _)| id).collect();
        self.actions.extend(here.into_iter().map(|id| Action::Migrate { id }));
    }

    /// This relay's standing connections on a server.
    fn established_on(&self, id: ServerId) -> impl Iterator<Item = (RequestId, &PendingRequest)> {
        let here = move |p: &PendingRequest| {
            p.attempt_in_flight.as_ref().is_some_and(|out| out.established && out.server == id)
        };
        self.requests.iter().filter(move |(_, p)| here(p)).map(|(&id, p)| (id, p))
    }

    /// A server whose messages take long is overrun: left until word comes that it is back, or none comes.
    fn handle_slow_responses(&mut self, now: Time, id: ServerId, takes: Span) {
        let aims =
            self.settings.classes.iter().map(|c| c.message_latency_objective).min().unwrap_or_default();
        let hot = takes >= aims.scale(SLOW_RESPONSE_SHARE);
        let until = now + RESPONSE_TIME_INTERVAL.scale(SLOW_INTERVALS + self.rng.random::<f64>());
        let server = self.server_mut(id);
        server.on_probation &= hot;
        (server.slow_until, server.is_saturated) =
            (hot.then_some(until), takes >= aims.scale(SATURATED_RESPONSE_SHARE));
        if server.is_saturated {
            let phase = self.rng.random::<f64>();
            let server = self.server_mut(id);
            (server.saturated_at, server.recovery_tokens, server.recovery_tokens_at) =
                (Some(now), phase, now);
            self.migrate_least_valuable(id, MIGRATION_SHARE * f64::from(self.server(id).open_connections));
        }
    }

    /// Lets so many of a server's connections go, those of least worth for their load first, and the heaviest
    /// of these; a part of one by chance. On a swamped server all are lost to their clients: each word of it
    /// lets a small part go, also when there is nowhere to go, so that the rest are served.
    fn migrate_least_valuable(&mut self, id: ServerId, how_many: f64) {
        let loads = || self.requests.values().filter_map(|p| p.load);
        let mean = loads().sum::<f64>() / loads().count() as f64;
        let usual = if mean.is_finite() { mean } else { 1.0 };
        let mut here: Vec<(f64, f64, RequestId)> = Vec::new();
        for (request, p) in self.established_on(id) {
            let load = p.load.unwrap_or(usual);
            let worth = self.class(p.class).priority_weight
                / if self.settings.priority_scales_with_load { 1.0 } else { load };
            here.push((worth, -load, request));
        }
        let part = (how_many + self.rng.random::<f64>()) as usize;
        here.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        self.actions.extend(here.iter().take(part).map(|&(.., id)| Action::Migrate { id }));
    }

    fn handle_timer(&mut self, now: Time, token: TimerToken) {
        match token {
            QUEUE_TIMER => {
                self.queue_timer_set = false;
                self.retry_queued(now);
            }
            SUBSCRIBE_TIMER => self.actions.push(Action::Subscribe),
            TimerToken(token) => self.handle_deadline(RequestId((token - FIRST_DEADLINE_TIMER) as u32)),
        }
    }

    /// Counts a connection to the server's and its group's, or takes it back.
    fn adjust_connections(&mut self, id: ServerId, group: Option<GroupId>, change: i32) {
        let server = self.server_mut(id);
        server.open_connections = server.open_connections.saturating_add_signed(change);
        if let Some(group) = group {
            let held = self.group_connections.entry((group, id)).or_insert(0);
            *held = held.saturating_add_signed(change);
            if *held == 0 {
                self.group_connections.remove(&(group, id));
            }
        }
    }

    fn class(&self, id: ClassId) -> &RequestClass {
        &self.settings.classes[id.0 as usize]
    }

    fn is_listed(&self, id: ServerId) -> bool {
        self.servers.get(id.0 as usize).is_some_and(Option::is_some)
    }

    fn server(&self, id: ServerId) -> &Server {
        self.servers[id.0 as usize].as_ref().expect("servers in use have been listed")
    }

    fn server_mut(&mut self, id: ServerId) -> &mut Server {
        self.servers[id.0 as usize].as_mut().expect("servers in use have been listed")
    }
}

impl Server {
    /// What this relay holds there, in all its processes.
    fn total_connections(&self) -> u32 {
        self.open_connections + self.sibling_connections.unwrap_or(0)
    }

    /// Whether it holds as much as it is taken to bear.
    fn at_estimated_capacity(&self, now: Time) -> bool {
        let grown = |since| 1.0 + now.since(since).as_secs() / CAPACITY_RECOVERY_TIME.as_secs();
        self.capacity_estimate
            .is_some_and(|(bears, since)| f64::from(self.total_connections()) >= bears * grown(since))
    }

    /// A new process: what held against the old is void, and it is cold.
    fn restart(&mut self, now: Time, born: Option<Time>) {
        (self.consecutive_failures, self.ejected_until, self.on_probation, self.shedding_until) =
            (0, None, false, None);
        (self.slow_until, self.is_saturated, self.saturated_at, self.capacity_estimate) =
            (None, false, None, None);
        (self.last_used_permit, self.started_at) =
            (self.last_used_permit * u64::from(self.started_at == born), born);
        (self.permit_valid_until, self.next_permit_request_at, self.below_fair_share) = (None, now, true);
    }
}

impl PendingRequest {
    fn new(now: Time, request: &Request) -> Self {
        let load = request.load.filter(|load| load.is_finite() && *load > 0.0);
        let deadline = now + request.time_left;
        let (class, group) = (request.class, request.group);
        Self { class, arrived_at: now, deadline, load, group, retry_at: now, ..Self::default() }
    }
}
