//! The task that owns the engine: fronts report to it, and it sends them commands.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashtide_quota::Offer;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tracing::info;

use super::door::{CordonCall, Health, Office};
use super::handover::{Post, unix_micros};
use super::log::Limited;
use super::quota::Desk;
use super::report::{Ask, Command, Handle, Port, Report, Seen, duration, span};
use super::state::Board;
use crate::config::Config;
use crate::discovery::{Entry, News, Status};
use crate::engine::{Answer, Due, Effect, Engine};
use crate::facts::{Names, group};
use crate::figures::{Figures, Gauge};
use crate::interface::*;
use crate::quic::placing::server_key;
use crate::quota;
use crate::rights::Datagram;
use crate::start_times::StartTimes;
use crate::state::{Look, Watched, key_of};

/// Reports that may wait for the core before fronts have to.
const QUEUE: usize = 1024;
/// Servers whose names are remembered; further new ones are passed over.
const MAX_SERVERS: usize = 4096;
/// Of the time between SIGTERM and SIGKILL, the last part is kept free for closing.
const LAST_MARGIN: Duration = Duration::from_millis(400);
/// Clients keep coming for a while after SIGTERM: no exit before.
const STAY: Duration = Duration::from_millis(900);
/// After a server has refused, what is beyond a quota is not placed for so long.
const FULL: Duration = Duration::from_secs(2);
/// A final answer that waits for its client to read it, at most.
const FLUSH: Duration = Duration::from_millis(150);

static TROUBLE: Limited = Limited::new("server");
static UNHEARD: Limited = Limited::new("rights");
static BROKEN: Limited = Limited::new("rights");
static INVARIANT: Limited = Limited::new("request");
static SHARED: Limited = Limited::new("state");

/// The core's driver.
pub struct Core {
    engine: Engine,
    names: Names,
    addresses: HashMap<ServerId, SocketAddr>,
    ports: BTreeMap<RequestId, Port>,
    anchor: (Time, Instant),
    reports: mpsc::Receiver<Report>,
    handle: Handle,
    subscribe: mpsc::Sender<()>,
    /// Where datagrams to other gateways go.
    datagrams: mpsc::Sender<Datagram>,
    /// The list as it stands, its version, and whether discovery has told any of it to this process.
    listed: BTreeMap<String, Entry>,
    index: u64,
    told: bool,
    /// When its servers started.
    start_times: StartTimes,
    /// Who wants to know of the servers on it.
    fleet: watch::Sender<BTreeMap<String, SocketAddr>>,
    connect_timeout: Duration,
    effects: Vec<Effect>,
    health: Arc<Health>,
    post: Post,
    /// Operators' calls; they go before all reports.
    calls: mpsc::Receiver<CordonCall>,
    /// Servers kept out for work, as the gateways have settled.
    worked_on: BTreeSet<String>,
    /// What the gateways share, where they do.
    state: Option<Arc<Board>>,
    /// Partners' quotas, where they are kept; when time is next to pass for them.
    quota: Option<(Arc<Desk>, Instant)>,
    /// When a server last refused, and the longest wait that clients may be told.
    full: Option<Instant>,
    max_retry_after: Span,
    /// No exit before the first; exit at the second whatever is left.
    leaving: Option<(Instant, Instant)>,
    /// Whether only what has been said is still written, and nobody else is to be taken in.
    closing: watch::Sender<bool>,
}

impl Core {
    /// A core for this configuration; `subscribe` asks the list's driver to watch.
    pub fn new(
        config: &Config,
        subscribe: mpsc::Sender<()>,
        datagrams: mpsc::Sender<Datagram>,
        post: Post,
    ) -> (Self, Handle, Office) {
        let unix = Duration::from_micros(unix_micros());
        let anchor = (Time::default() + span(unix), Instant::now());
        let names = config.facts.names();
        // Peers that are allowed and have no address cannot be asked: each gateway then has turns of its own.
        let settings = Settings { peers: config.peers.is_some(), ..config.facts.settings(&names) };
        let (sender, reports) = mpsc::channel(QUEUE);
        let figures = Arc::new(Figures::new(names.classes.names()));
        let (office, calls) = Office::new(figures.clone());
        let handle = Handle::new(figures, sender);
        // A list that is pushed comes from an agent of this machine, which has to be watched all the same;
        // the module asks only where the list is one service for all.
        let pushed = settings.discovery == Discovery::Pushed;
        let max_retry_after = settings.max_retry_after;
        let core = Self {
            engine: Engine::new(settings, config.seed, anchor),
            names,
            addresses: HashMap::new(),
            ports: BTreeMap::new(),
            anchor,
            reports,
            handle: handle.clone(),
            subscribe,
            datagrams,
            listed: BTreeMap::new(),
            index: 0,
            told: false,
            start_times: StartTimes::default(),
            fleet: watch::Sender::new(BTreeMap::new()),
            connect_timeout: duration(config.facts.connect_timeout()),
            effects: pushed.then_some(Effect::Subscribe).into_iter().collect(),
            health: office.health.clone(),
            post,
            calls,
            worked_on: BTreeSet::new(),
            state: None,
            quota: None,
            full: None,
            max_retry_after,
            leaving: None,
            closing: watch::Sender::new(false),
        };
        (core, handle, office)
    }

    /// What the gateways share is fed and used from now on; `witness`, where what attempts came to is told, too.
    pub fn share(&mut self, board: Arc<Board>, witness: bool) {
        self.state = Some(board);
        if witness {
            self.engine.witness();
        }
    }

    /// Partners' quotas are kept from now on.
    pub fn quota(&mut self, desk: Arc<Desk>) {
        self.quota = Some((desk, Instant::now()));
    }

    /// The servers on the list and their addresses, as they change.
    pub fn fleet(&self) -> watch::Receiver<BTreeMap<String, SocketAddr>> {
        self.fleet.subscribe()
    }

    /// Whether the process is about to end, after all that wait to be accepted.
    pub fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Serves until the process is to end.
    pub async fn run(mut self, known: Option<News>) {
        let out: Vec<String> = self.post.cordons().all_out().map(str::to_owned).collect();
        for server in out {
            self.cordon(self.now(), &server, true);
        }
        let known = known.unwrap_or(News { index: 0, snapshot: true, endpoints: Vec::new() });
        self.news(known, ListNews::Stale);
        loop {
            self.carry_out();
            self.report_violations();
            let end = match self.leaving {
                Some((earliest, _)) if self.ports.is_empty() && self.post.lobby.sockets() == 0 => {
                    Some(earliest)
                }
                Some((_, latest)) => Some(latest),
                None => None,
            };
            let look = self.quota.as_ref().map(|it| it.1);
            tokio::select! {
                biased;
                Some(call) = self.calls.recv() => self.call(call),
                () = tokio::time::sleep_until(look.unwrap_or_else(Instant::now)), if look.is_some() => self.count_time(),
                () = tokio::time::sleep_until(end.unwrap_or_else(Instant::now)), if end.is_some() => {
                    // Whatever is still open has its answer, also where the wheel comes late.
                    self.fire(Due::Leave);
                    self.carry_out();
                    self.closing.send_replace(true);
                    // What has just been answered still has to reach its clients, and what is passed on its
                    // successor.
                    self.flush().await;
                    while self.post.heir().is_some_and(|heir| heir.busy()) {
                        self.flush().await;
                    }
                    return;
                }
                due = self.engine.due() => self.fire(due),
                report = self.reports.recv() => match report {
                    Some(report) => self.report(report),
                    None => return,
                },
            }
        }
    }

    /// Gives what has been said the time to be written. Who still asks is refused meanwhile.
    async fn flush(&mut self) {
        let until = Instant::now() + FLUSH;
        while let Ok(Some(report)) = tokio::time::timeout_at(until, self.reports.recv()).await {
            self.report(report);
            self.carry_out();
        }
    }

    fn fire(&mut self, due: Due) {
        let now = self.now();
        self.engine.fire(now, due, &mut self.effects);
        match due {
            Due::Unvouched if self.engine.unvouched() => {
                info!("discovery: the list is unvouched for; nothing new is placed until it answers");
            }
            Due::Sweep => {
                if let Err(broken) = self.engine.check() {
                    BROKEN.say(format_args!("invariant broken: {broken}; {}", broken.help()));
                }
                self.gauge(now);
                self.look(now);
            }
            Due::Leave => self.post.lobby.close(),
            _ => {}
        }
    }

    /// Logs and counts what broke an invariant of a request. A debug build ends.
    fn report_violations(&mut self) {
        let (found, count) = self.engine.request_violations();
        for violation in &found {
            INVARIANT.say(format_args!("invariant broken: {violation}; {}", violation.help()));
        }
        if !found.is_empty() {
            self.handle.figures().set(Gauge::Violations, usize::try_from(count).unwrap_or(usize::MAX));
        }
        debug_assert!(found.is_empty(), "an invariant is broken: {found:?}");
    }

    /// Feeds what the gateways share, and carries out what follows of it.
    fn look(&mut self, now: Time) {
        let Some(board) = self.state.clone() else { return };
        let (servers, tenants) = self.engine.standing_by();
        let sights = self.engine.seen(now);
        let listed = self.listed.iter().filter_map(|(name, entry)| {
            let server = ServerId(self.names.servers.find(name)?);
            let (key, open) = (key_of(name), servers.get(&server).copied().unwrap_or_default());
            Some(Watched { key, name, size: entry.weight, ready: self.engine.ready(server), open })
        });
        let names = self.names.tenants.names();
        let look = Look {
            servers: listed.collect(),
            tenants: tenants
                .iter()
                .map(|(tenant, &open)| (names[tenant.0 as usize].as_str(), open))
                .collect(),
            sights,
        };
        let Some(judged) = board.with(|hub, at| hub.look(at, &look)) else { return };
        judged.lines.iter().for_each(|line| info!("{line}"));
        if let Some(broken) = judged.broken {
            SHARED.say(format_args!("invariant broken: {broken}; {}", broken.help()));
        }
        self.engine.judge(now, &judged.out, &mut self.effects);
    }

    /// Tells the figures what is so now.
    fn gauge(&mut self, now: Time) {
        let figures = self.handle.figures();
        figures.set(Gauge::InProgress, self.engine.open());
        figures.set(Gauge::Known, self.listed.len());
        figures.set(Gauge::Skipped, self.engine.avoided(now));
        let (sent, withheld) = self.engine.probes();
        figures.set(Gauge::Probes, sent);
        figures.set(Gauge::Withheld, withheld);
        let shares = self.listed.keys().filter_map(|name| {
            let server = self.names.servers.find(name).map(ServerId)?;
            Some((name.clone(), self.engine.share(server)))
        });
        let shares = shares.collect();
        self.post.tell(self.health.is_ready(), shares);
    }

    fn now(&self) -> Time {
        self.anchor.0 + span(self.anchor.1.elapsed())
    }

    fn report(&mut self, report: Report) {
        let now = self.now();
        let out = &mut self.effects;
        match report {
            Report::Request(id, ask, port) => {
                self.ports.insert(id, port);
                let request = self.request(id, &ask);
                match request.map(|request| self.admit(id, &ask).map(|()| request)) {
                    Some(Ok(request)) => self.engine.request(now, request, &mut self.effects),
                    Some(Err(wait)) => {
                        let answer = Answer::Refused(span(wait).min(self.max_retry_after));
                        self.effects.push(Effect::Answer { id, answer });
                    }
                    None => self.effects.push(Effect::Answer { id, answer: Answer::Failed }),
                }
            }
            Report::Existing(id, ask, server, port) => match self.standing(id, &ask, &server, port) {
                Some((request, server)) => {
                    let timeout = request.time_left;
                    self.engine.existing(now, request, server, &mut self.effects);
                    self.effects.push(Effect::Attempt { id, attempt: 0, server, timeout });
                }
                None => self.effects.push(Effect::Answer { id, answer: Answer::Failed }),
            },
            Report::Adopted(id, ask, server, port) => match self.standing(id, &ask, &server, port) {
                Some((request, server)) => self.engine.adopt(now, request, server, &mut self.effects),
                None => self.effects.push(Effect::Move { id }),
            },
            Report::Connected(id, attempt) => {
                if self.engine.may_begin(now, id, attempt, out) {
                    self.command(id, Command::Begin { attempt });
                }
            }
            Report::Up(id, attempt) => {
                if self.engine.established(now, id, attempt, out) {
                    self.command(id, Command::Pass { attempt });
                }
            }
            Report::Ended(id, attempt, outcome) => {
                if !matches!(outcome, Outcome::Ok | Outcome::Cancelled) {
                    self.note(id, attempt, outcome);
                }
                if outcome == Outcome::QueueFull {
                    self.full = Some(Instant::now());
                }
                let out = &mut self.effects;
                self.engine.ended(now, id, attempt, outcome, out);
                if !self.engine.holds(id) {
                    self.forget_unless_answered(id);
                }
            }
            Report::Left(id) => {
                self.engine.client_left(now, id, out);
                self.forget(id);
            }
            Report::Asked(id, prompt) => self.engine.asked(now, id, prompt),
            Report::Answered(id) => self.engine.answered(now, id),
            Report::Load(id, figure) => self.engine.load(now, id, figure, out),
            report if self.handle.is_void(&report) => {}
            Report::News(_, news) => {
                self.told = true;
                let kind = if news.snapshot { ListNews::Whole } else { ListNews::Changes };
                self.news(news, kind);
            }
            // Discovery's own word goes before what another process has heard of it.
            Report::Relayed(news) => {
                if !self.told && news.index > self.index {
                    self.news(news, ListNews::Stale);
                }
            }
            Report::Beside(shares, cordons) => {
                for (server, out) in self.post.merge(&cordons) {
                    self.cordon(now, &server, out);
                }
                for (name, share) in shares {
                    if let Some(server) = self.names.servers.find(&name).map(ServerId) {
                        self.engine.beside(now, server, share, &mut self.effects);
                    }
                }
            }
            Report::Heard(from, bytes) => {
                if let Err(why) = self.engine.hear(now, from, &bytes, out) {
                    UNHEARD.say(format_args!("datagram of gateway {}: {why}; {}", from.0, why.help()));
                }
            }
            // Behind the news that came with it: what is vouched for again may have changed.
            Report::Watching(_) => {
                self.start_times.watching(now);
                self.engine.vouched(now, out);
            }
            Report::WatchEnded { in_step, end, ask } => {
                self.start_times.watch_ended(now - span(in_step));
                self.engine.unheard(now, now - span(in_step), end);
                if ask {
                    self.engine.list(now, ListNews::Broken, Vec::new(), out);
                }
            }
            Report::Probed(server, ok) => self.engine.probed(now, server, ok, out),
            Report::Keep(server, out) => {
                if out {
                    self.worked_on.insert(server.clone());
                } else {
                    self.worked_on.remove(&server);
                }
                self.hold(now, &server);
            }
            Report::Look(names, reply) => {
                // Whoever asked may have given up.
                let _ = reply.send(self.seen(names));
            }
            Report::Quotas(settings) => {
                if let Some((desk, _)) = &self.quota {
                    desk.reload(*settings);
                }
            }
            Report::Leave(grace) => {
                self.health.leaving();
                let last = grace.saturating_sub(LAST_MARGIN);
                let over = last.saturating_sub(LAST_MARGIN);
                if self.post.heir().is_some() {
                    self.engine.hand_over(now, span(over), span(last), &mut self.effects);
                    let handed = self.effects.iter().filter(|it| matches!(it, Effect::Hand { .. })).count();
                    info!("handover: passes {handed} connections to its successor");
                } else {
                    self.engine.leave(now, span(over), span(last));
                }
                let start = Instant::now();
                self.leaving = Some((start + STAY.min(last), start + last));
            }
        }
    }

    /// Carries an operator's call out. Out twice or back twice is a yes, too; an id that was never on
    /// the list is a no.
    fn call(&mut self, call: CordonCall) {
        let CordonCall { server, out, done } = call;
        let known = self.names.servers.find(&server).is_some();
        let kept = if known {
            self.cordon(self.now(), &server, out);
            self.post.call(&server, out).map_err(|error| format!("not kept: {error}"))
        } else {
            Err(format!("no server '{server}'"))
        };
        self.gauge(self.now());
        // A caller that has gone has no use for the answer.
        let _ = done.send(kept);
    }

    fn cordon(&mut self, now: Time, server: &str, out: bool) {
        info!("operator: {server} is {}", if out { "out" } else { "back" });
        let out = out || self.worked_on.contains(server);
        let server = ServerId(self.names.servers.intern(server));
        self.engine.cordon(now, server, out, &mut self.effects);
    }

    /// Out as long as an operator here or the gateways together want it so.
    fn hold(&mut self, now: Time, server: &str) {
        let out = self.worked_on.contains(server) || self.post.cordons().out(server);
        let server = ServerId(self.names.servers.intern(server));
        self.engine.cordon(now, server, out, &mut self.effects);
    }

    fn seen(&self, names: Vec<String>) -> Seen {
        let serving = |it: &(&String, &Entry)| it.1.status == Status::Serving;
        let here = |it: &&String| !self.post.cordons().out(it);
        let ready = self.listed.iter().filter(serving).map(|it| it.0).filter(here).cloned().collect();
        let count = |name: String| {
            let server = self.names.servers.find(&name).map(ServerId);
            let open = server.map_or(0, |server| self.engine.open_on(server));
            (name, open)
        };
        Seen { ready, open: names.into_iter().map(count).collect() }
    }

    /// Logs trouble with a server.
    fn note(&self, id: RequestId, attempt: u32, what: Outcome) {
        if let Some(server) = self.engine.server_of(id) {
            let name = &self.names.servers.names()[server.0 as usize];
            TROUBLE.say(format_args!("{name}: request {} attempt {attempt}: {what:?}", id.0));
        }
    }

    /// A connection that has ended has no use for commands; a request that was just answered does.
    fn forget_unless_answered(&mut self, id: RequestId) {
        let answered = |effect: &Effect| matches!(effect, Effect::Answer { id: it, .. } if *it == id);
        if !self.effects.iter().any(answered) {
            self.forget(id);
        }
    }

    /// A request, or its connection, is over here.
    fn forget(&mut self, id: RequestId) {
        self.ports.remove(&id);
        if let Some((desk, _)) = &self.quota {
            desk.with(|admission, _, exchange| admission.over(exchange, id));
        }
    }

    /// Whether a partner's quota allows a request: all its attempts are one.
    ///
    /// # Errors
    ///
    /// Says how long its client is to wait.
    fn admit(&mut self, id: RequestId, ask: &Ask) -> Result<(), Duration> {
        let (Some((desk, _)), Some(tenant)) = (&self.quota, &ask.tenant) else { return Ok(()) };
        let offer = match (ask.again, ask.retry) {
            (true, _) => Offer::Again,
            (false, true) => Offer::Retry,
            (false, false) => Offer::New,
        };
        let room = self.full.is_none_or(|at| at.elapsed() >= FULL);
        desk.with(|admission, now, exchange| admission.offer((now, exchange), id, tenant, offer, room))
    }

    /// A connection that stands is counted for its partner, whatever its quota.
    fn adopt(&mut self, id: RequestId, ask: &Ask) {
        if let (Some((desk, _)), Some(tenant)) = (&self.quota, &ask.tenant) {
            desk.with(|admission, _, exchange| admission.adopt(exchange, id, tenant));
        }
    }

    /// Lets time pass for quotas.
    fn count_time(&mut self) {
        if let Some((desk, next)) = &mut self.quota {
            desk.tick();
            *next = Instant::now() + quota::TICK;
        }
    }

    /// Notes the port of a connection that stood before; what it is and where, if both are known here.
    fn standing(
        &mut self,
        id: RequestId,
        ask: &Ask,
        server: &str,
        port: Port,
    ) -> Option<(Request, ServerId)> {
        self.ports.insert(id, port);
        let server = self.names.servers.find(server).map(ServerId)?;
        let request = self.request(id, ask)?;
        self.adopt(id, ask);
        Some((request, server))
    }

    fn request(&mut self, id: RequestId, ask: &Ask) -> Option<Request> {
        Some(Request {
            id,
            class: ClassId(self.names.classes.find(&ask.class)?),
            tenant: ask.tenant.as_deref().and_then(|t| self.names.tenants.find(t)).map(TenantId),
            group: ask.group.as_deref().map(group),
            time_left: ask.wait,
            load: ask.load,
        })
    }

    fn news(&mut self, news: News, kind: ListNews) {
        self.index = news.index;
        let now = self.now();
        // What older lists say is not known to be new.
        let unlisted_until =
            if kind == ListNews::Stale { None } else { self.start_times.unlisted_until(now) };
        let mut entries = Vec::with_capacity(news.endpoints.len());
        if kind != ListNews::Changes {
            self.listed.clear();
        }
        for entry in news.endpoints {
            let servers = &mut self.names.servers;
            if servers.find(&entry.name).is_none() && servers.names().len() >= MAX_SERVERS {
                info!("list: too many servers, '{}' is passed over", entry.name);
                continue;
            }
            let server = ServerId(servers.intern(&entry.name));
            match entry.status {
                Status::Deleted => _ = self.listed.remove(&entry.name),
                _ => _ = self.listed.insert(entry.name.clone(), entry.clone()),
            }
            self.addresses.insert(server, entry.address);
            entries.push(Listing {
                server,
                key: u32::from_be_bytes(server_key(&entry.name)),
                zone: ZoneId(self.names.zones.intern(&entry.zone)),
                kind: KindId(self.names.kinds.intern(&entry.kind)),
                cell: CellId(entry.group),
                state: entry.status.into(),
                size: entry.weight,
                started: self.start_times.started(now, server, entry.since_ms, unlisted_until),
            });
        }
        if kind != ListNews::Stale {
            self.start_times.news(now);
        }
        self.fleet.send_if_modified(|fleet| {
            let now: BTreeMap<_, _> =
                self.listed.iter().map(|(name, it)| (name.clone(), it.address)).collect();
            let changed = *fleet != now;
            *fleet = now;
            changed
        });
        self.engine.list(now, kind, entries, &mut self.effects);
        if !self.listed.is_empty() {
            self.health.ready();
        }
        let endpoints = self.listed.values().cloned().collect();
        self.post.list(News { index: self.index, snapshot: true, endpoints });
        self.gauge(now);
    }

    fn carry_out(&mut self) {
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                Effect::Attempt { id, attempt, server, timeout } => {
                    let address = self.addresses[&server];
                    self.command(id, Command::Attempt { attempt, address, timeout });
                }
                Effect::Close { id, attempt } => self.command(id, Command::Close { attempt }),
                Effect::Answer { id, answer } => {
                    self.command(id, Command::Answer(answer));
                    self.forget(id);
                }
                Effect::Move { id } => {
                    self.command(id, Command::Move);
                    self.forget(id);
                }
                Effect::Hand { id, server } => {
                    let server = self.names.servers.names()[server.0 as usize].clone();
                    self.command(id, Command::Hand(server));
                    self.forget(id);
                }
                Effect::Probe { server } => {
                    let probe = super::probe::run(self.addresses[&server], self.connect_timeout);
                    let handle = self.handle.clone();
                    tokio::spawn(async move {
                        let ok = probe.await;
                        handle.tell(Report::Probed(server, ok)).await;
                    });
                }
                // A full queue means that the driver has been asked already.
                Effect::Subscribe => _ = self.subscribe.try_send(()),
                // With a full queue it is lost, as on any network.
                Effect::Send(datagram) => _ = self.datagrams.try_send(datagram),
            }
        }
    }

    fn command(&mut self, id: RequestId, command: Command) {
        let Some(port) = self.ports.get(&id) else { return };
        if let Err(error) = port.try_send((id, command)) {
            // A closed port is a session that has just ended; its report is on the way.
            if matches!(error, mpsc::error::TrySendError::Full(_)) {
                info!("core: request {} takes no commands", id.0);
            }
        }
    }
}
