//! Plays a plan with real processes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashtide::discovery::EndpointStatus;
use ashtide::net::handover::CLOCK_OFFSET_VARIABLE;
use ashtide_testkit::attempt_log::Arrival;
use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options, merge_json, send_admin_command};
use ashtide_testkit::mock_backend::MockBackend;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep, sleep_until, timeout};

use crate::FaultRunError;
use crate::checks::violations;
use crate::clients::{ClientLoad, GatewayTarget, Phase, locked, offer_load, request_id_prefix};
use crate::history::{Event, ExitCause, History};
use crate::mesh::{Link, ProxyMesh};
use crate::plan::{FaultAction, FaultPlan, Load};
use crate::summary::Summary;
use crate::violation::Violation;

/// How often processes are looked at for their end.
const PROCESS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Between two `PING`s of a front, and how long it waits for `PONG`.
const PING: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(1));
/// A front leads clients to a process for so long after it was asked to stop.
const SHUTDOWN_NOTICE_DELAY: Duration = Duration::from_millis(300);
/// Seconds from which a server counts as slow in the settings: stand-ins are slow only where the machine is,
/// and gateways that leave swamped servers alone for seconds would show that instead of the plan's faults.
const SLOW_RESPONSE_S: f64 = 1.0;
/// A door has so long for its answer.
const ADMIN_TIMEOUT: Duration = Duration::from_millis(400);
/// All processes have left so long after they were asked to: the longest deadline, and the platform's slack.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3_900);
/// How much longer than its plan a play may take, beside this a gateway, until it is given up.
const RUN_TIMEOUT_MARGIN: Duration = Duration::from_secs(30);
/// What the start of a gateway may take.
const GATEWAY_START_TIME: Duration = Duration::from_secs(1);

/// A play that came to its end.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultRun {
    /// All that happened.
    pub history: History,
    /// What did not hold.
    pub violations: Vec<Violation>,
    /// The whole in some lines.
    pub summary: Summary,
}

/// Plays a plan with this daemon.
///
/// # Errors
///
/// Fails where the plan cannot be played, or a process or stand-in does not start. What the daemon does
/// wrong is no error but a [`Violation`].
pub async fn run_plan(program: &Path, plan: &FaultPlan) -> Result<FaultRun, FaultRunError> {
    plan.check()?;
    let most = Duration::from_millis(plan.last_ms + plan.settle_ms)
        + RUN_TIMEOUT_MARGIN
        + GATEWAY_START_TIME * plan.gateways as u32;
    let late = FaultRunError::DeadlineExceeded {
        found_ms: most.as_millis() as u64,
        expected_ms: most.as_millis() as u64,
    };
    let history = timeout(most, Harness::open(program, plan)).await.map_err(|_| late)??;
    let busy = history.0.iter().find_map(|entry| match entry.event {
        Event::HarnessDelay { ms } if ms > plan.max_harness_delay_ms => Some(ms),
        _ => None,
    });
    if let Some(found_ms) = busy {
        return Err(FaultRunError::HarnessDelayed { found_ms, expected_ms: plan.max_harness_delay_ms });
    }
    Ok(FaultRun { violations: violations(&history), summary: Summary::of(&history), history })
}

/// A running process of the daemon. It ends, and so do its watchers, when this is dropped.
struct Process {
    number: usize,
    gateway: usize,
    is_duplicate: bool,
    daemon: Daemon,
    termination_requested: bool,
    /// Whether the gateway is to be started again once this has ended.
    restart_after_exit: bool,
    /// Pings, looks at its door.
    _watchers: JoinSet<()>,
}

/// Gateways' own sockets of one kind, and the relays between them.
struct ProxiedNetwork {
    own: Vec<SocketAddr>,
    mesh: ProxyMesh,
}

impl ProxiedNetwork {
    async fn open(host: IpAddr, gateways: usize, seed: u64) -> Result<Self, FaultRunError> {
        // Held together, so that they are all different; the daemons take them a moment later.
        let held = (0..gateways).map(|_| std::net::UdpSocket::bind((host, 0)));
        let held = held.collect::<Result<Vec<_>, _>>()?;
        let own = held.iter().map(std::net::UdpSocket::local_addr).collect::<Result<Vec<_>, _>>()?;
        let mesh = ProxyMesh::open(host, &own, seed).await?;
        Ok(Self { own, mesh })
    }

    fn placeholders(&self, gateway: usize) -> Vec<(&'static str, String)> {
        let mut others = self.mesh.public().to_vec();
        others.remove(gateway);
        vec![
            ("{others}", json!(others).to_string()),
            ("{gateway}", gateway.to_string()),
            ("{listen}", self.own[gateway].to_string()),
            ("{public}", self.mesh.public()[gateway].to_string()),
            ("{all}", self.mesh.all(gateway).to_string()),
            ("{peers}", json!(self.mesh.public()).to_string()),
        ]
    }
}

/// Files of a play; gone with it.
struct TemporaryDirectory(PathBuf);

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct Harness<'a> {
    program: &'a Path,
    plan: Arc<FaultPlan>,
    client_load: Arc<ClientLoad>,
    backend: MockBackend,
    /// Where gateways take clients.
    lines: Vec<SocketAddr>,
    /// The network of `peer_listen`, and those of the plan's further sockets.
    nets: Vec<ProxiedNetwork>,
    folder: TemporaryDirectory,
    /// Files that were written anew, by gateway and socket.
    texts: BTreeMap<(usize, usize), String>,
    running: Vec<Process>,
    started: usize,
}

/// A loopback address for this play alone, so that ports let go of stay free until a process takes them.
fn host() -> IpAddr {
    static PLAYED: AtomicU32 = AtomicU32::new(0);
    let (own, play) = (std::process::id(), PLAYED.fetch_add(1, Ordering::Relaxed));
    let [_, _, high, low] = own.to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 0x3f), low, 1 + (play % 250) as u8).into()
}

fn substitute(text: &str, marks: &[(&str, String)]) -> String {
    marks.iter().fold(text.to_owned(), |text, (mark, with)| text.replace(mark, with))
}

/// Replaces the marks in all strings of a value.
fn substitute_in_json(value: &mut Value, marks: &[(&str, String)]) {
    match value {
        Value::String(text) => *text = substitute(text, marks),
        Value::Array(items) => items.iter_mut().for_each(|item| substitute_in_json(item, marks)),
        Value::Object(fields) => fields.values_mut().for_each(|item| substitute_in_json(item, marks)),
        _ => {}
    }
}

impl<'a> Harness<'a> {
    async fn open(program: &'a Path, plan: &FaultPlan) -> Result<History, FaultRunError> {
        let zones: Vec<String> = (0..plan.servers).map(|server| zone(server % plan.zones)).collect();
        let backend = MockBackend::start_in(&zones).await?;
        let host = host();
        let held = (0..plan.gateways).map(|_| std::net::TcpListener::bind((host, 0)));
        let held = held.collect::<Result<Vec<_>, _>>()?;
        let lines = held.iter().map(std::net::TcpListener::local_addr).collect::<Result<Vec<_>, _>>()?;
        drop(held);
        let mut nets = Vec::new();
        for net in 0..=plan.sockets.len() {
            nets.push(ProxiedNetwork::open(host, plan.gateways, plan.seed ^ ((net as u64) << 60)).await?);
        }
        let folder = TemporaryDirectory(std::env::temp_dir().join(format!("ashtide-fault-injection-{host}")));
        std::fs::create_dir_all(&folder.0)?;
        let world = Arc::new(ClientLoad::new(Instant::now(), Vec::new()));
        let mut tier = Self {
            program,
            plan: Arc::new(plan.clone()),
            client_load: world,
            backend,
            lines,
            nets,
            folder,
            texts: BTreeMap::new(),
            running: Vec::new(),
            started: 0,
        };
        let there = (0..plan.gateways).filter(|gateway| !plan.absent.contains(gateway));
        let tier_now = &tier;
        let starts = there.map(|gateway| async move {
            let options = tier_now.options(gateway, false, plan.initial_clock_offset_ms(gateway))?;
            let daemon = Daemon::start(program, &tier_now.backend, &options).await;
            daemon
                .map(|daemon| (gateway, daemon))
                .map_err(|problem| FaultRunError::Gateway { gateway, problem })
        });
        let daemons = futures_util::future::try_join_all(starts).await?;
        // The beginning is when all that are to be there are.
        tier.client_load = Arc::new(ClientLoad::new(Instant::now(), plan.load.clone()));
        tier.client_load.record_at(0, Event::RunStarted { plan: Box::new(plan.clone()) });
        for (gateway, daemon) in daemons {
            tier.register_process(gateway, false, daemon);
        }
        tier.run().await
    }

    /// What a gateway's daemon is told.
    fn options(&self, gateway: usize, twin: bool, clock_ms: i64) -> Result<Options, FaultRunError> {
        let (plan, peers) = (&self.plan, &self.nets[0]);
        let cold = plan.configured_slow_start.unwrap_or(plan.slow_start);
        let secs = |ms: u64| ms as f64 / 1e3;
        let quotas: Vec<f64> = plan.tenants.iter().map(|tenant| tenant.quota_connections).collect();
        let customers: Vec<Value> = plan
            .tenants
            .iter()
            .map(|tenant| json!({"name": tenant.name, "quotaPerS": tenant.quota_per_s}))
            .collect();
        let zones: Vec<String> = (0..plan.zones).map(zone).collect();
        let listen = if twin { SocketAddr::new(self.lines[gateway].ip(), 0) } else { self.lines[gateway] };
        let mut config = json!({
            "name": format!("g{gateway}"), "listen": listen, "operator": "127.0.0.1:0",
            "seed": format!("{:x}", (plan.seed << 16) ^ gateway as u64),
            "peer_listen": peers.own[gateway], "peers": peers.mesh.public(), "peers_all": peers.mesh.all(gateway),
            "limits": {"memory_mb": 192, "sockets": 4096},
            "settings": {
                "azs": zones, "zone": zone(gateway % plan.zones), "balancers": plan.gateways, "index": gateway,
                "classes": [{"name": "meter", "aim": SLOW_RESPONSE_S, "deadline": secs(plan.deadline_ms), "effect": "pure",
                             "worth": 1.0}],
                "customers": customers,
                "familyInfo": {"tenantQuotaConnections": quotas, "messageAim": [SLOW_RESPONSE_S]},
                "limits": {"peers": plan.gateways > 1, "connectTimeout": SLOW_RESPONSE_S},
                "rules": {"coldFrom": cold.from, "warmWithin": secs(cold.warm_ms),
                          "fallMultiple": cold.fall_multiple, "overloadFor": secs(cold.window_ms)},
            },
        });
        let mut over = plan.config.clone();
        substitute_in_json(&mut over, &peers.placeholders(gateway));
        merge_json(&over, &mut config);
        let mut arguments = Vec::new();
        for (number, (socket, net)) in plan.sockets.iter().zip(&self.nets[1..]).enumerate() {
            let (file, mut marks) = (self.file(gateway, number), net.placeholders(gateway));
            marks.push(("{file}", file.display().to_string()));
            let text = self.texts.get(&(gateway, number)).unwrap_or(&socket.file);
            std::fs::write(&file, substitute(text, &marks))?;
            arguments.extend(socket.arguments.iter().map(|argument| substitute(argument, &marks).into()));
        }
        let mut environment = vec![(CLOCK_OFFSET_VARIABLE.to_owned(), clock_ms.to_string())];
        if plan.keeps_files {
            let folder = self.folder.0.join(format!("{gateway}{}", if twin { "-twin" } else { "" }));
            std::fs::create_dir_all(&folder)?;
            environment.push(("TMPDIR".to_owned(), folder.display().to_string()));
        }
        Ok(Options { config, environment, arguments, ..Options::default() })
    }

    /// Where a gateway finds the file of one of the plan's further sockets.
    fn file(&self, gateway: usize, socket: usize) -> PathBuf {
        self.folder.0.join(format!("{gateway}-{socket}"))
    }

    /// Writes such a file anew, and tells the gateway's process, if there is one.
    fn rewrite(&mut self, gateway: usize, socket: usize, text: &str) -> Result<(), FaultRunError> {
        let (file, mut marks) = (self.file(gateway, socket), self.nets[socket + 1].placeholders(gateway));
        marks.push(("{file}", file.display().to_string()));
        self.texts.insert((gateway, socket), text.to_owned());
        std::fs::write(&file, substitute(text, &marks))?;
        for at in self.process_indices(gateway, false) {
            self.running[at].daemon.send_sighup()?;
        }
        Ok(())
    }

    async fn start(&mut self, gateway: usize, twin: bool, clock_ms: i64) -> Result<(), FaultRunError> {
        let options = self.options(gateway, twin, clock_ms)?;
        let daemon = Daemon::start(self.program, &self.backend, &options).await;
        let daemon = daemon.map_err(|problem| FaultRunError::Gateway { gateway, problem })?;
        self.register_process(gateway, twin, daemon);
        Ok(())
    }

    /// A process has said that it listens: its front and its door are watched from now on.
    fn register_process(&mut self, gateway: usize, twin: bool, daemon: Daemon) {
        let number = self.started;
        self.started += 1;
        self.client_load.record(Event::Started { process: number, gateway });
        let zone = gateway % self.plan.zones;
        let gate = GatewayTarget { process: number, gateway, zone, lines: daemon.lines, open: false };
        locked(&self.client_load.targets).push(gate);
        let mut watchers = JoinSet::new();
        watchers.spawn(health_check_loop(self.client_load.clone(), number, daemon.lines));
        if let Some(door) = daemon.admin_address {
            watchers.spawn(admin_poll_loop(self.client_load.clone(), number, door, self.plan.clone()));
        }
        let (asked, again) = (false, false);
        self.running.push(Process {
            number,
            gateway,
            is_duplicate: twin,
            daemon,
            termination_requested: asked,
            restart_after_exit: again,
            _watchers: watchers,
        });
    }

    /// Plays all steps, and the end.
    async fn run(mut self) -> Result<History, FaultRunError> {
        let start = Instant::now();
        let plan = self.plan.clone();
        let moment = |ms: u64| start + Duration::from_millis(ms);
        let load = tokio::spawn(offer_load(self.client_load.clone(), plan.clone()));
        let load = AbortOnDrop(load);
        let _minder = AbortOnDrop(tokio::spawn(
            self.client_load.clone().measure_harness_delay(self.backend.servers[0].address),
        ));
        for step in &plan.steps {
            self.watch_until(moment(step.at_ms)).await?;
            self.client_load.record(Event::Step { did: step.act.clone() });
            self.apply(&step.act).await?;
        }
        self.watch_until(moment(plan.last_ms)).await?;
        self.client_load.phase(Phase::Still);
        self.await_convergence().await?;
        self.client_load.phase(Phase::Over);
        let found_ms = self.client_load.late().as_millis() as u64;
        self.client_load.record(Event::HarnessDelay { ms: found_ms });
        load.end().await;
        for at in 0..self.running.len() {
            self.stall(at, false)?;
            self.request_termination(at)?;
        }
        let last = Instant::now() + SHUTDOWN_TIMEOUT;
        while !self.running.is_empty() && Instant::now() < last {
            self.reap_exited().await?;
            sleep(PROCESS_POLL_INTERVAL).await;
        }
        for mut process in std::mem::take(&mut self.running) {
            process.daemon.kill().await?;
            self.client_load.record(Event::Ended {
                process: process.number,
                how: ExitCause::Terminated,
                well: false,
            });
        }
        Ok(self.history())
    }

    fn history(&self) -> History {
        for (number, arrival) in (1..).zip(self.backend.attempt_log.arrivals()) {
            let event = Event::Attempt {
                request: String::from_utf8_lossy(&arrival.id).into_owned(),
                server: arrival.server.to_string(),
                receipt: Arrival::receipt(&arrival.server, number),
                until_us: arrival.ended_at.map(|ended_at| self.client_load.at(ended_at)),
            };
            self.client_load.record_at(self.client_load.at(arrival.at), event);
        }
        for (net, ProxiedNetwork { mesh, .. }) in self.nets.iter().enumerate() {
            for (from, row) in mesh.traffic().into_iter().enumerate() {
                for (to, traffic) in row.into_iter().enumerate().filter(|&(to, _)| to != from) {
                    self.client_load.record(Event::LinkTraffic { net, from, to, traffic });
                }
            }
        }
        let mut entries = self.client_load.entries();
        entries.sort_by_key(|entry| entry.at_us);
        History(entries)
    }

    /// Watches processes until then.
    async fn watch_until(&mut self, moment: Instant) -> Result<(), FaultRunError> {
        while Instant::now() < moment {
            self.reap_exited().await?;
            sleep_until(moment.min(Instant::now() + PROCESS_POLL_INTERVAL)).await;
        }
        Ok(())
    }

    /// Takes away what has ended, and starts again what is to be.
    async fn reap_exited(&mut self) -> Result<(), FaultRunError> {
        let mut at = 0;
        while at < self.running.len() {
            let Some(status) = self.running[at].daemon.exit_status()? else {
                at += 1;
                continue;
            };
            let process = self.running.remove(at);
            let how =
                if process.termination_requested { ExitCause::Terminated } else { ExitCause::Unexpected };
            self.record_exit(&process, how, status.success());
            if process.restart_after_exit {
                let clock_ms = self.plan.initial_clock_offset_ms(process.gateway);
                self.start(process.gateway, false, clock_ms).await?;
            }
        }
        Ok(())
    }

    fn record_exit(&self, process: &Process, how: ExitCause, well: bool) {
        locked(&self.client_load.targets).retain(|gate| gate.process != process.number);
        self.client_load.record(Event::Ended { process: process.number, how, well });
    }

    /// Processes of a gateway, by their place among those that run.
    fn process_indices(&self, gateway: usize, only_twins: bool) -> Vec<usize> {
        let of = |process: &Process| process.gateway == gateway && (process.is_duplicate || !only_twins);
        (0..self.running.len()).filter(|&at| of(&self.running[at])).collect()
    }

    /// From now on, what goes from any of `from` to any of `to` is treated like this.
    fn link(&self, from: &[usize], to: &[usize], link: Link) {
        self.nets.iter().for_each(|net| net.mesh.set(from, to, link));
    }

    async fn apply(&mut self, act: &FaultAction) -> Result<(), FaultRunError> {
        let everyone: Vec<usize> = (0..self.plan.gateways).collect();
        match act {
            FaultAction::Link { from, to, link } => {
                let some = |some: &Vec<usize>| if some.is_empty() { everyone.clone() } else { some.clone() };
                self.link(&some(from), &some(to), *link);
            }
            FaultAction::Split { parts } => {
                self.link(&everyone, &everyone, Link::CUT);
                parts.iter().for_each(|part| self.link(part, part, Link::PERFECT));
            }
            FaultAction::Heal => self.link(&everyone, &everyone, Link::PERFECT),
            FaultAction::Stall { gateway } => {
                for at in self.process_indices(*gateway, false) {
                    self.stall(at, true)?;
                }
            }
            FaultAction::Resume { gateway } => {
                for at in self.process_indices(*gateway, false) {
                    self.stall(at, false)?;
                }
            }
            FaultAction::Kill { gateway } => {
                for at in self.process_indices(*gateway, false).into_iter().rev() {
                    let mut process = self.running.remove(at);
                    process.daemon.kill().await?;
                    self.client_load.record(Event::Ended {
                        process: process.number,
                        how: ExitCause::Killed,
                        well: false,
                    });
                    // Its front finds out by itself, a little later.
                    let (world, number) = (self.client_load.clone(), process.number);
                    tokio::spawn(async move {
                        sleep(PING.0).await;
                        locked(&world.targets).retain(|gate| gate.process != number);
                    });
                }
            }
            FaultAction::Terminate { gateway } => {
                for at in self.process_indices(*gateway, false) {
                    self.request_termination(at)?;
                }
            }
            FaultAction::Restart { gateway } => {
                for at in self.process_indices(*gateway, false) {
                    self.request_termination(at)?;
                    self.running[at].restart_after_exit = !self.running[at].is_duplicate;
                }
            }
            FaultAction::StopDuplicate { gateway } => {
                for at in self.process_indices(*gateway, true) {
                    self.request_termination(at)?;
                }
            }
            FaultAction::Start { gateway, clock_ms } => match self.process_indices(*gateway, false).first() {
                Some(&at) => self.running[at].restart_after_exit |= self.running[at].termination_requested,
                None => self.start(*gateway, false, *clock_ms).await?,
            },
            FaultAction::StartDuplicate { gateway } => self.start(*gateway, true, 0).await?,
            FaultAction::Load(load) => {
                let mut loads = locked(&self.client_load.loads);
                let same = |old: &&mut Load| (old.tenant, old.zone) == (load.tenant, load.zone);
                match loads.iter_mut().find(same) {
                    Some(old) => *old = *load,
                    None => loads.push(*load),
                }
            }
            FaultAction::Add { zone: at } => {
                let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                let server = self.backend.add(&zone(*at), unix.as_millis() as u64).await?;
                self.listed(server, "SERVING", true);
            }
            FaultAction::Drain { server } => {
                self.backend.set_status(*server, EndpointStatus::Draining);
                self.listed(*server, "DRAINING", false);
            }
            FaultAction::Fail { server, gateways } => {
                let of = if gateways.is_empty() { &everyone } else { gateways };
                let beginnings = of.iter().map(|&gateway| request_id_prefix(gateway).into_bytes()).collect();
                self.backend.servers[*server].reset_requests_with_prefixes(beginnings);
            }
            FaultAction::Rewrite { socket, gateways, file } => {
                for &gateway in if gateways.is_empty() { &everyone } else { gateways } {
                    self.rewrite(gateway, *socket, file)?;
                }
            }
            FaultAction::Recover { server } => {
                self.backend.servers[*server].reset_requests_with_prefixes(Vec::new())
            }
            FaultAction::Remove { server } => {
                self.backend.remove(*server);
                self.listed(*server, "DELETED", false);
            }
        }
        Ok(())
    }

    fn listed(&self, server: usize, status: &str, cold: bool) {
        let server = self.backend.servers[server].name.clone();
        self.client_load.record(Event::EndpointListed { server, status: status.to_owned(), cold });
    }

    fn stall(&mut self, at: usize, stalled: bool) -> Result<(), FaultRunError> {
        let process = &self.running[at];
        process.daemon.set_suspended(stalled)?;
        self.client_load.record(Event::Stalled { process: process.number, stalled });
        Ok(())
    }

    /// Asks a process to stop; its front finds out a little later.
    fn request_termination(&mut self, at: usize) -> Result<(), FaultRunError> {
        let process = &mut self.running[at];
        if std::mem::replace(&mut process.termination_requested, true) {
            return Ok(());
        }
        process.daemon.terminate()?;
        self.client_load.record(Event::TerminationRequested { process: process.number });
        let (world, number) = (self.client_load.clone(), process.number);
        process._watchers.spawn(async move {
            sleep(SHUTDOWN_NOTICE_DELAY).await;
            locked(&world.targets).retain(|gate| gate.process != number);
        });
        Ok(())
    }

    /// Where doors tell what gateways share: whose sums of open connections are not what clients hold.
    async fn shared_state_differences(&self) -> Vec<String> {
        const CALL: &str = "state";
        if !self.plan.calls.iter().any(|call| call == CALL) {
            return Vec::new();
        }
        let (mut told, mut expected) = (Vec::new(), 0);
        for process in &self.running {
            let Some(door) = process.daemon.admin_address else { continue };
            let text = sample_admin(door, &[CALL.to_owned()]).await.2.remove(CALL).unwrap_or_default();
            // A second process of one name has no part in it.
            if text.starts_with("self ") {
                expected += self.client_load.standing().get(&process.number).copied().unwrap_or_default();
                told.push((process, ["server ", "tenant "].map(|what| open(&text, what)), text));
            }
        }
        let differs = told.into_iter().filter(|it| it.1 != [Some(expected); 2]);
        let tell = |(process, found, text): (&Process, _, String)| {
            let (number, gateway) = (process.number, process.gateway);
            format!(
                "process {number} of gateway {gateway}: open by server and by tenant are {found:?}, \
                     expected {expected}: {}",
                text.replace('\n', "; ")
            )
        };
        differs.map(tell).collect()
    }

    /// Waits until doors and clients agree, for as long as the plan gives.
    async fn await_convergence(&mut self) -> Result<(), FaultRunError> {
        let last = Instant::now() + Duration::from_millis(self.plan.settle_ms);
        self.client_load.record(Event::LoadStopped { standing: self.client_load.standing() });
        loop {
            self.reap_exited().await?;
            let mut differs = Vec::new();
            let mut there = BTreeSet::new();
            let known = self.backend.endpoint_list()["endpoints"].as_array().map_or(0, Vec::len) as f64;
            for process in &self.running {
                there.insert(process.gateway);
                let Some(door) = process.daemon.admin_address else { continue };
                let (ready, figures, _) = sample_admin(door, &[]).await;
                let standing =
                    self.client_load.standing().get(&process.number).copied().unwrap_or_default() as f64;
                let found = (ready, figures.get("in_progress"), figures.get("known_reading_servers"));
                if found != (Some(true), Some(&standing), Some(&known)) {
                    differs.push(format!(
                        "process {} of gateway {}: (ready, in_progress, known_reading_servers) are {found:?}, \
                         expected (true, {standing}, {known})",
                        process.number, process.gateway
                    ));
                }
            }
            differs.extend(self.shared_state_differences().await);
            if differs.is_empty() || Instant::now() >= last {
                self.client_load.record(Event::Settled { differs });
                return Ok(());
            }
            sleep(PROCESS_POLL_INTERVAL).await;
        }
    }
}

/// A task that ends with its holder.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl AbortOnDrop {
    async fn end(mut self) {
        let _ = (&mut self.0).await;
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn zone(number: usize) -> String {
    format!("z{number}")
}

/// The sum of open connections that a door's `state` tells of all lines that begin like this; none where one is not
/// known there.
fn open(text: &str, beginning: &str) -> Option<u64> {
    let lines = text.lines().filter(|line| line.starts_with(beginning));
    lines.map(|line| line.split(' ').find_map(|word| word.strip_prefix("open=")?.parse::<u64>().ok())).sum()
}

/// Asks a process for `PONG` and opens or closes its gate by the answer.
async fn health_check_loop(world: Arc<ClientLoad>, process: usize, lines: SocketAddr) {
    loop {
        let pong = timeout(PING.1, async {
            let mut client = LineClient::connect(lines).await.ok()?;
            client.send_line("PING").await.ok()?;
            client.next().await.ok()?
        });
        let open = pong.await.is_ok_and(|word| word.as_deref() == Some("PONG"));
        for gate in locked(&world.targets).iter_mut().filter(|gate| gate.process == process) {
            gate.open = open;
        }
        sleep(PING.0).await;
    }
}

/// Notes again and again what a door says.
async fn admin_poll_loop(world: Arc<ClientLoad>, process: usize, door: SocketAddr, plan: Arc<FaultPlan>) {
    let mut tick = interval(Duration::from_millis(plan.admin_poll_interval_ms));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let (ready, figures, calls) = sample_admin(door, &plan.calls).await;
        world.record(Event::AdminSample { process, ready, figures, calls });
    }
}

type AdminState = (Option<bool>, BTreeMap<String, f64>, BTreeMap<String, String>);

/// What a door says now.
async fn sample_admin(door: SocketAddr, calls: &[String]) -> AdminState {
    let said = async |call: &str| timeout(ADMIN_TIMEOUT, send_admin_command(door, call)).await.ok()?.ok();
    let ready = said("health").await.map(|answer| answer.starts_with("200"));
    if ready.is_none() {
        return AdminState::default();
    }
    let mut figures = BTreeMap::new();
    for line in said("counters").await.unwrap_or_default().lines() {
        let Some((name, figure)) = line.rsplit_once(' ') else { continue };
        let name = name.split('{').next().unwrap_or(name).trim_start_matches("router_");
        if let Ok(figure) = figure.parse::<f64>() {
            *figures.entry(name.to_owned()).or_insert(0.0) += figure;
        }
    }
    let mut answers = BTreeMap::new();
    for call in calls {
        answers.insert(call.clone(), said(call).await.unwrap_or_default());
    }
    (ready, figures, answers)
}
