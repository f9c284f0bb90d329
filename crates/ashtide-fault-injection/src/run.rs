//! Executes a fault plan with daemon processes.

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

/// The interval at which processes are checked for their exit.
const PROCESS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The interval between two `PING`s to a process.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// The time limit for `PONG`.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// The time for which clients still connect to a process after SIGTERM.
const SHUTDOWN_NOTICE_DELAY: Duration = Duration::from_millis(300);
/// The response time from which a server counts as slow in the settings, in seconds. Mock servers are slow
/// only if the machine is. With a lower value, gateways would avoid overloaded servers for seconds, and runs
/// would show this instead of the faults of the plan.
const SLOW_RESPONSE_S: f64 = 1.0;
/// The time limit for an answer of an admin endpoint.
const ADMIN_TIMEOUT: Duration = Duration::from_millis(400);
/// The time limit for the exit of all processes after SIGTERM: the longest deadline plus the tolerance of the
/// platform.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3_900);
/// The time that a run may take beyond its plan and the start of its gateways, before it is aborted.
const RUN_TIMEOUT_MARGIN: Duration = Duration::from_secs(30);
/// The time allowed for the start of each gateway.
const GATEWAY_START_TIME: Duration = Duration::from_secs(1);

/// The result of a completed fault run.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultRun {
    /// The history of the run.
    pub history: History,
    /// The violated invariants.
    pub violations: Vec<Violation>,
    /// The summary of the history.
    pub summary: Summary,
}

/// Executes a plan with the daemon binary `program`.
///
/// # Errors
///
/// Returns an error if the plan is invalid, a process or mock server does not start, the run exceeds its time
/// limit, or the harness was delayed for too long. Faulty behaviour of the daemon is not an error but a
/// [`Violation`].
pub async fn run_plan(program: &Path, plan: &FaultPlan) -> Result<FaultRun, FaultRunError> {
    plan.check()?;
    let time_limit = Duration::from_millis(plan.load_duration_ms + plan.settle_ms)
        + RUN_TIMEOUT_MARGIN
        + GATEWAY_START_TIME * plan.gateways as u32;
    let timed_out = FaultRunError::DeadlineExceeded {
        found_ms: time_limit.as_millis() as u64,
        expected_ms: time_limit.as_millis() as u64,
    };
    let history = timeout(time_limit, Harness::open(program, plan)).await.map_err(|_| timed_out)??;
    let excessive_delay_ms = history.0.iter().find_map(|entry| match entry.event {
        Event::HarnessDelay { ms } if ms > plan.max_harness_delay_ms => Some(ms),
        _ => None,
    });
    if let Some(found_ms) = excessive_delay_ms {
        return Err(FaultRunError::HarnessDelayed { found_ms, expected_ms: plan.max_harness_delay_ms });
    }
    Ok(FaultRun { violations: violations(&history), summary: Summary::of(&history), history })
}

/// A running process of the daemon. Dropping it ends the process and its background tasks.
struct Process {
    number: usize,
    gateway: usize,
    is_duplicate: bool,
    daemon: Daemon,
    termination_requested: bool,
    /// Whether the gateway is started again once this process has exited.
    restart_after_exit: bool,
    /// Background tasks: the health checks and the samples of the admin endpoint.
    background_tasks: JoinSet<()>,
}

/// The sockets of one kind at all gateways, and the relays between them.
struct ProxiedNetwork {
    own: Vec<SocketAddr>,
    mesh: ProxyMesh,
}

impl ProxiedNetwork {
    async fn open(host: IpAddr, gateways: usize, seed: u64) -> Result<Self, FaultRunError> {
        // All sockets are bound at the same time, so that their ports differ. The daemons bind them after the
        // release.
        let reserved = (0..gateways).map(|_| std::net::UdpSocket::bind((host, 0)));
        let reserved = reserved.collect::<Result<Vec<_>, _>>()?;
        let own = reserved.iter().map(std::net::UdpSocket::local_addr).collect::<Result<Vec<_>, _>>()?;
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

/// The folder for the files of a run, removed on drop.
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
    /// The addresses at which gateways accept clients.
    client_addresses: Vec<SocketAddr>,
    /// The network of `peer_listen`, followed by those of the additional sockets of the plan.
    networks: Vec<ProxiedNetwork>,
    folder: TemporaryDirectory,
    /// The templates of files rewritten during the run, by gateway and socket.
    rewritten_files: BTreeMap<(usize, usize), String>,
    running: Vec<Process>,
    started_processes: usize,
}

/// Returns a loopback address that no other run uses, so that released ports stay free until a process binds
/// them.
fn host() -> IpAddr {
    static RUNS: AtomicU32 = AtomicU32::new(0);
    let (process, run) = (std::process::id(), RUNS.fetch_add(1, Ordering::Relaxed));
    let [_, _, high, low] = process.to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 0x3f), low, 1 + (run % 250) as u8).into()
}

/// Replaces the placeholders in a text.
fn substitute(text: &str, placeholders: &[(&str, String)]) -> String {
    placeholders.iter().fold(text.to_owned(), |text, (placeholder, value)| text.replace(placeholder, value))
}

/// Replaces the placeholders in all strings of a JSON value.
fn substitute_in_json(value: &mut Value, placeholders: &[(&str, String)]) {
    match value {
        Value::String(text) => *text = substitute(text, placeholders),
        Value::Array(items) => items.iter_mut().for_each(|item| substitute_in_json(item, placeholders)),
        Value::Object(fields) => fields.values_mut().for_each(|item| substitute_in_json(item, placeholders)),
        _ => {}
    }
}

impl<'a> Harness<'a> {
    async fn open(program: &'a Path, plan: &FaultPlan) -> Result<History, FaultRunError> {
        let zones: Vec<String> = (0..plan.servers).map(|server| zone(server % plan.zones)).collect();
        let backend = MockBackend::start_in(&zones).await?;
        let host = host();
        let reserved = (0..plan.gateways).map(|_| std::net::TcpListener::bind((host, 0)));
        let reserved = reserved.collect::<Result<Vec<_>, _>>()?;
        let client_addresses =
            reserved.iter().map(std::net::TcpListener::local_addr).collect::<Result<Vec<_>, _>>()?;
        drop(reserved);
        let mut networks = Vec::new();
        for network in 0..=plan.sockets.len() {
            let seed = plan.seed ^ ((network as u64) << 60);
            networks.push(ProxiedNetwork::open(host, plan.gateways, seed).await?);
        }
        let folder = TemporaryDirectory(std::env::temp_dir().join(format!("ashtide-fault-injection-{host}")));
        std::fs::create_dir_all(&folder.0)?;
        let client_load = Arc::new(ClientLoad::new(Instant::now(), Vec::new()));
        let mut harness = Self {
            program,
            plan: Arc::new(plan.clone()),
            client_load,
            backend,
            client_addresses,
            networks,
            folder,
            rewritten_files: BTreeMap::new(),
            running: Vec::new(),
            started_processes: 0,
        };
        let initial = (0..plan.gateways).filter(|gateway| !plan.absent.contains(gateway));
        let harness_ref = &harness;
        let starts = initial.map(|gateway| async move {
            let options = harness_ref.options(gateway, false, plan.initial_clock_offset_ms(gateway))?;
            let daemon = Daemon::start(program, &harness_ref.backend, &options).await;
            daemon
                .map(|daemon| (gateway, daemon))
                .map_err(|problem| FaultRunError::Gateway { gateway, problem })
        });
        let daemons = futures_util::future::try_join_all(starts).await?;
        // The run starts, at time 0, when all initial gateways have started.
        harness.client_load = Arc::new(ClientLoad::new(Instant::now(), plan.load.clone()));
        harness.client_load.record_at(0, Event::RunStarted { plan: Box::new(plan.clone()) });
        for (gateway, daemon) in daemons {
            harness.register_process(gateway, false, daemon);
        }
        harness.run().await
    }

    /// Returns the configuration, arguments and environment of the daemon of a gateway.
    fn options(&self, gateway: usize, is_duplicate: bool, clock_ms: i64) -> Result<Options, FaultRunError> {
        let (plan, peers) = (&self.plan, &self.networks[0]);
        let slow_start = plan.configured_slow_start.unwrap_or(plan.slow_start);
        let secs = |ms: u64| ms as f64 / 1e3;
        let quotas: Vec<f64> = plan.tenants.iter().map(|tenant| tenant.quota_connections).collect();
        let customers: Vec<Value> = plan
            .tenants
            .iter()
            .map(|tenant| json!({"name": tenant.name, "quotaPerS": tenant.quota_per_s}))
            .collect();
        let zones: Vec<String> = (0..plan.zones).map(zone).collect();
        let listen = if is_duplicate {
            SocketAddr::new(self.client_addresses[gateway].ip(), 0)
        } else {
            self.client_addresses[gateway]
        };
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
                "rules": {"coldFrom": slow_start.initial_part, "warmWithin": secs(slow_start.warm_ms),
                          "fallMultiple": slow_start.fall_multiple, "overloadFor": secs(slow_start.window_ms)},
            },
        });
        let mut overrides = plan.config.clone();
        substitute_in_json(&mut overrides, &peers.placeholders(gateway));
        merge_json(&overrides, &mut config);
        let mut arguments = Vec::new();
        for (index, (socket, network)) in plan.sockets.iter().zip(&self.networks[1..]).enumerate() {
            let (file, mut placeholders) = (self.file(gateway, index), network.placeholders(gateway));
            placeholders.push(("{file}", file.display().to_string()));
            let template = self.rewritten_files.get(&(gateway, index)).unwrap_or(&socket.file);
            std::fs::write(&file, substitute(template, &placeholders))?;
            arguments
                .extend(socket.arguments.iter().map(|argument| substitute(argument, &placeholders).into()));
        }
        let mut environment = vec![(CLOCK_OFFSET_VARIABLE.to_owned(), clock_ms.to_string())];
        if plan.preserves_files {
            let folder = self.folder.0.join(format!("{gateway}{}", if is_duplicate { "-twin" } else { "" }));
            std::fs::create_dir_all(&folder)?;
            environment.push(("TMPDIR".to_owned(), folder.display().to_string()));
        }
        Ok(Options { config, environment, arguments, ..Options::default() })
    }

    /// Returns the path of the file for one of the additional sockets of a gateway.
    fn file(&self, gateway: usize, socket: usize) -> PathBuf {
        self.folder.0.join(format!("{gateway}-{socket}"))
    }

    /// Rewrites the file for an additional socket, and sends SIGHUP to the processes of the gateway.
    fn rewrite(&mut self, gateway: usize, socket: usize, template: &str) -> Result<(), FaultRunError> {
        let file = self.file(gateway, socket);
        let mut placeholders = self.networks[socket + 1].placeholders(gateway);
        placeholders.push(("{file}", file.display().to_string()));
        self.rewritten_files.insert((gateway, socket), template.to_owned());
        std::fs::write(&file, substitute(template, &placeholders))?;
        for index in self.process_indices(gateway, false) {
            self.running[index].daemon.send_sighup()?;
        }
        Ok(())
    }

    async fn start(
        &mut self,
        gateway: usize,
        is_duplicate: bool,
        clock_ms: i64,
    ) -> Result<(), FaultRunError> {
        let options = self.options(gateway, is_duplicate, clock_ms)?;
        let daemon = Daemon::start(self.program, &self.backend, &options).await;
        let daemon = daemon.map_err(|problem| FaultRunError::Gateway { gateway, problem })?;
        self.register_process(gateway, is_duplicate, daemon);
        Ok(())
    }

    /// Registers a process that accepts clients, and starts its health checks and the samples of its admin
    /// endpoint.
    fn register_process(&mut self, gateway: usize, is_duplicate: bool, daemon: Daemon) {
        let number = self.started_processes;
        self.started_processes += 1;
        self.client_load.record(Event::Started { process: number, gateway });
        let zone = gateway % self.plan.zones;
        let target = GatewayTarget {
            process: number,
            gateway,
            zone,
            client_address: daemon.lines,
            is_available: false,
        };
        locked(&self.client_load.targets).push(target);
        let mut background_tasks = JoinSet::new();
        background_tasks.spawn(health_check_loop(self.client_load.clone(), number, daemon.lines));
        if let Some(admin) = daemon.admin_address {
            background_tasks.spawn(admin_poll_loop(
                self.client_load.clone(),
                number,
                admin,
                self.plan.clone(),
            ));
        }
        self.running.push(Process {
            number,
            gateway,
            is_duplicate,
            daemon,
            termination_requested: false,
            restart_after_exit: false,
            background_tasks,
        });
    }

    /// Executes all steps, waits for convergence and ends all processes.
    async fn run(mut self) -> Result<History, FaultRunError> {
        let start = Instant::now();
        let plan = self.plan.clone();
        let moment = |ms: u64| start + Duration::from_millis(ms);
        let load = AbortOnDrop(tokio::spawn(offer_load(self.client_load.clone(), plan.clone())));
        let _delay_measurement = AbortOnDrop(tokio::spawn(
            self.client_load.clone().measure_harness_delay(self.backend.servers[0].address),
        ));
        for step in &plan.steps {
            self.poll_processes_until(moment(step.at_ms)).await?;
            self.client_load.record(Event::Step { action: step.action.clone() });
            self.apply(&step.action).await?;
        }
        self.poll_processes_until(moment(plan.load_duration_ms)).await?;
        self.client_load.set_phase(Phase::Stopped);
        self.await_convergence().await?;
        self.client_load.set_phase(Phase::Ended);
        let delay_ms = self.client_load.harness_delay().as_millis() as u64;
        self.client_load.record(Event::HarnessDelay { ms: delay_ms });
        load.join().await;
        for index in 0..self.running.len() {
            self.stall(index, false)?;
            self.request_termination(index)?;
        }
        let shutdown_deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while !self.running.is_empty() && Instant::now() < shutdown_deadline {
            self.reap_exited().await?;
            sleep(PROCESS_POLL_INTERVAL).await;
        }
        for mut process in std::mem::take(&mut self.running) {
            process.daemon.kill().await?;
            self.client_load.record(Event::Ended {
                process: process.number,
                cause: ExitCause::Terminated,
                success: false,
            });
        }
        Ok(self.history())
    }

    /// Returns the recorded entries, the attempts and the traffic as a history.
    fn history(&self) -> History {
        for (number, arrival) in (1..).zip(self.backend.attempt_log.arrivals()) {
            let event = Event::Attempt {
                request: String::from_utf8_lossy(&arrival.id).into_owned(),
                server: arrival.server.to_string(),
                receipt: Arrival::receipt(&arrival.server, number),
                until_us: arrival.ended_at.map(|ended_at| self.client_load.elapsed_us(ended_at)),
            };
            self.client_load.record_at(self.client_load.elapsed_us(arrival.at), event);
        }
        for (net, ProxiedNetwork { mesh, .. }) in self.networks.iter().enumerate() {
            for (from, row) in mesh.traffic().into_iter().enumerate() {
                for (to, traffic) in row.into_iter().enumerate().filter(|&(to, _)| to != from) {
                    self.client_load.record(Event::LinkTraffic { net, from, to, traffic });
                }
            }
        }
        let mut entries = self.client_load.take_entries();
        entries.sort_by_key(|entry| entry.at_us);
        History(entries)
    }

    /// Checks processes for their exit until this moment.
    async fn poll_processes_until(&mut self, moment: Instant) -> Result<(), FaultRunError> {
        while Instant::now() < moment {
            self.reap_exited().await?;
            sleep_until(moment.min(Instant::now() + PROCESS_POLL_INTERVAL)).await;
        }
        Ok(())
    }

    /// Removes and records processes that have exited, and starts those of restarted gateways again.
    async fn reap_exited(&mut self) -> Result<(), FaultRunError> {
        let mut index = 0;
        while index < self.running.len() {
            let Some(status) = self.running[index].daemon.exit_status()? else {
                index += 1;
                continue;
            };
            let process = self.running.remove(index);
            let cause =
                if process.termination_requested { ExitCause::Terminated } else { ExitCause::Unexpected };
            self.record_exit(&process, cause, status.success());
            if process.restart_after_exit {
                let clock_ms = self.plan.initial_clock_offset_ms(process.gateway);
                self.start(process.gateway, false, clock_ms).await?;
            }
        }
        Ok(())
    }

    fn record_exit(&self, process: &Process, cause: ExitCause, success: bool) {
        locked(&self.client_load.targets).retain(|target| target.process != process.number);
        self.client_load.record(Event::Ended { process: process.number, cause, success });
    }

    /// Returns the indices in `running` of the processes of a gateway.
    fn process_indices(&self, gateway: usize, only_duplicates: bool) -> Vec<usize> {
        let matches =
            |process: &Process| process.gateway == gateway && (process.is_duplicate || !only_duplicates);
        (0..self.running.len()).filter(|&index| matches(&self.running[index])).collect()
    }

    /// Sets the treatment of datagrams from any gateway in `from` to any gateway in `to`, in all networks.
    fn link(&self, from: &[usize], to: &[usize], link: Link) {
        self.networks.iter().for_each(|network| network.mesh.set(from, to, link));
    }

    async fn apply(&mut self, action: &FaultAction) -> Result<(), FaultRunError> {
        let all_gateways: Vec<usize> = (0..self.plan.gateways).collect();
        match action {
            FaultAction::Link { from, to, link } => {
                let or_all = |gateways: &Vec<usize>| {
                    if gateways.is_empty() { all_gateways.clone() } else { gateways.clone() }
                };
                self.link(&or_all(from), &or_all(to), *link);
            }
            FaultAction::Split { parts } => {
                self.link(&all_gateways, &all_gateways, Link::CUT);
                parts.iter().for_each(|part| self.link(part, part, Link::PERFECT));
            }
            FaultAction::Heal => self.link(&all_gateways, &all_gateways, Link::PERFECT),
            FaultAction::Stall { gateway } => {
                for index in self.process_indices(*gateway, false) {
                    self.stall(index, true)?;
                }
            }
            FaultAction::Resume { gateway } => {
                for index in self.process_indices(*gateway, false) {
                    self.stall(index, false)?;
                }
            }
            FaultAction::Kill { gateway } => {
                for index in self.process_indices(*gateway, false).into_iter().rev() {
                    let mut process = self.running.remove(index);
                    process.daemon.kill().await?;
                    self.client_load.record(Event::Ended {
                        process: process.number,
                        cause: ExitCause::Killed,
                        success: false,
                    });
                    // Clients keep connecting to the process until the next health check would fail.
                    let (client_load, number) = (self.client_load.clone(), process.number);
                    tokio::spawn(async move {
                        sleep(PING_INTERVAL).await;
                        locked(&client_load.targets).retain(|target| target.process != number);
                    });
                }
            }
            FaultAction::Terminate { gateway } => {
                for index in self.process_indices(*gateway, false) {
                    self.request_termination(index)?;
                }
            }
            FaultAction::Restart { gateway } => {
                for index in self.process_indices(*gateway, false) {
                    self.request_termination(index)?;
                    self.running[index].restart_after_exit = !self.running[index].is_duplicate;
                }
            }
            FaultAction::StopDuplicate { gateway } => {
                for index in self.process_indices(*gateway, true) {
                    self.request_termination(index)?;
                }
            }
            FaultAction::Start { gateway, clock_ms } => match self.process_indices(*gateway, false).first() {
                Some(&index) => {
                    self.running[index].restart_after_exit |= self.running[index].termination_requested
                }
                None => self.start(*gateway, false, *clock_ms).await?,
            },
            FaultAction::StartDuplicate { gateway } => self.start(*gateway, true, 0).await?,
            FaultAction::Load(load) => {
                let mut loads = locked(&self.client_load.loads);
                let same_cell = |old: &&mut Load| (old.tenant, old.zone) == (load.tenant, load.zone);
                match loads.iter_mut().find(same_cell) {
                    Some(old) => *old = *load,
                    None => loads.push(*load),
                }
            }
            FaultAction::Add { zone: zone_number } => {
                let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                let server = self.backend.add(&zone(*zone_number), unix_time.as_millis() as u64).await?;
                self.record_listing(server, "SERVING", true);
            }
            FaultAction::Drain { server } => {
                self.backend.set_status(*server, EndpointStatus::Draining);
                self.record_listing(*server, "DRAINING", false);
            }
            FaultAction::Fail { server, gateways } => {
                let affected = if gateways.is_empty() { &all_gateways } else { gateways };
                let prefixes =
                    affected.iter().map(|&gateway| request_id_prefix(gateway).into_bytes()).collect();
                self.backend.servers[*server].reset_requests_with_prefixes(prefixes);
            }
            FaultAction::Rewrite { socket, gateways, file } => {
                for &gateway in if gateways.is_empty() { &all_gateways } else { gateways } {
                    self.rewrite(gateway, *socket, file)?;
                }
            }
            FaultAction::Recover { server } => {
                self.backend.servers[*server].reset_requests_with_prefixes(Vec::new())
            }
            FaultAction::Remove { server } => {
                self.backend.remove(*server);
                self.record_listing(*server, "DELETED", false);
            }
        }
        Ok(())
    }

    fn record_listing(&self, server: usize, status: &str, cold: bool) {
        let server = self.backend.servers[server].name.clone();
        self.client_load.record(Event::EndpointListed { server, status: status.to_owned(), cold });
    }

    fn stall(&mut self, index: usize, stalled: bool) -> Result<(), FaultRunError> {
        let process = &self.running[index];
        process.daemon.set_suspended(stalled)?;
        self.client_load.record(Event::Stalled { process: process.number, stalled });
        Ok(())
    }

    /// Sends SIGTERM to a process. Clients keep connecting to it for [`SHUTDOWN_NOTICE_DELAY`].
    fn request_termination(&mut self, index: usize) -> Result<(), FaultRunError> {
        let process = &mut self.running[index];
        if std::mem::replace(&mut process.termination_requested, true) {
            return Ok(());
        }
        process.daemon.terminate()?;
        self.client_load.record(Event::TerminationRequested { process: process.number });
        let (client_load, number) = (self.client_load.clone(), process.number);
        process.background_tasks.spawn(async move {
            sleep(SHUTDOWN_NOTICE_DELAY).await;
            locked(&client_load.targets).retain(|target| target.process != number);
        });
        Ok(())
    }

    /// Returns the processes whose shared state counts other open connections than the clients have; empty if
    /// the plan has no admin call `state`.
    async fn shared_state_differences(&self) -> Vec<String> {
        const CALL: &str = "state";
        if !self.plan.calls.iter().any(|call| call == CALL) {
            return Vec::new();
        }
        let (mut reports, mut expected) = (Vec::new(), 0);
        for process in &self.running {
            let Some(admin) = process.daemon.admin_address else { continue };
            let text = sample_admin(admin, &[CALL.to_owned()]).await.2.remove(CALL).unwrap_or_default();
            // A second process of the same name does not take part in the shared state.
            if text.starts_with("self ") {
                expected +=
                    self.client_load.open_connections().get(&process.number).copied().unwrap_or_default();
                reports.push((
                    process,
                    ["server ", "tenant "].map(|prefix| open_connections(&text, prefix)),
                    text,
                ));
            }
        }
        let differing = reports.into_iter().filter(|(_, found, _)| *found != [Some(expected); 2]);
        let describe = |(process, found, text): (&Process, _, String)| {
            let (number, gateway) = (process.number, process.gateway);
            format!(
                "process {number} of gateway {gateway}: open connections by server and by tenant are {found:?}, \
                     expected {expected}: {}",
                text.replace('\n', "; ")
            )
        };
        differing.map(describe).collect()
    }

    /// Waits until admin endpoints and clients agree, for at most `settle_ms` of the plan.
    async fn await_convergence(&mut self) -> Result<(), FaultRunError> {
        let settle_deadline = Instant::now() + Duration::from_millis(self.plan.settle_ms);
        self.client_load.record(Event::LoadStopped { open_connections: self.client_load.open_connections() });
        loop {
            self.reap_exited().await?;
            let mut differences = Vec::new();
            let mut running_gateways = BTreeSet::new();
            let known = self.backend.endpoint_list()["endpoints"].as_array().map_or(0, Vec::len) as f64;
            for process in &self.running {
                running_gateways.insert(process.gateway);
                let Some(admin) = process.daemon.admin_address else { continue };
                let (ready, metrics, _) = sample_admin(admin, &[]).await;
                let open_connections =
                    self.client_load.open_connections().get(&process.number).copied().unwrap_or_default()
                        as f64;
                let found = (ready, metrics.get("in_progress"), metrics.get("known_reading_servers"));
                if found != (Some(true), Some(&open_connections), Some(&known)) {
                    differences.push(format!(
                        "process {} of gateway {}: (ready, in_progress, known_reading_servers) are {found:?}, \
                         expected (true, {open_connections}, {known})",
                        process.number, process.gateway
                    ));
                }
            }
            differences.extend(self.shared_state_differences().await);
            if differences.is_empty() || Instant::now() >= settle_deadline {
                self.client_load.record(Event::Settled { differences });
                return Ok(());
            }
            sleep(PROCESS_POLL_INTERVAL).await;
        }
    }
}

/// A task that is aborted on drop.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl AbortOnDrop {
    async fn join(mut self) {
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

/// Returns the sum of open connections over all lines of the admin answer `state` with this prefix; `None` if
/// a line has no number.
fn open_connections(text: &str, prefix: &str) -> Option<u64> {
    let lines = text.lines().filter(|line| line.starts_with(prefix));
    lines.map(|line| line.split(' ').find_map(|field| field.strip_prefix("open=")?.parse::<u64>().ok())).sum()
}

/// Sends `PING` to a process repeatedly, and updates its availability for clients by the answer.
async fn health_check_loop(load: Arc<ClientLoad>, process: usize, address: SocketAddr) {
    loop {
        let pong = timeout(PING_TIMEOUT, async {
            let mut client = LineClient::connect(address).await.ok()?;
            client.send_line("PING").await.ok()?;
            client.next().await.ok()?
        });
        let is_available = pong.await.is_ok_and(|line| line.as_deref() == Some("PONG"));
        for target in locked(&load.targets).iter_mut().filter(|target| target.process == process) {
            target.is_available = is_available;
        }
        sleep(PING_INTERVAL).await;
    }
}

/// Records samples of the admin endpoint of a process repeatedly.
async fn admin_poll_loop(load: Arc<ClientLoad>, process: usize, admin: SocketAddr, plan: Arc<FaultPlan>) {
    let mut tick = interval(Duration::from_millis(plan.admin_poll_interval_ms));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let (ready, metrics, calls) = sample_admin(admin, &plan.calls).await;
        load.record(Event::AdminSample { process, ready, metrics, calls });
    }
}

/// Readiness, metrics by name, and answers by call.
type AdminState = (Option<bool>, BTreeMap<String, f64>, BTreeMap<String, String>);

/// Requests readiness, metrics and the additional calls from an admin endpoint. The readiness is `None`
/// without an answer in time.
async fn sample_admin(admin: SocketAddr, calls: &[String]) -> AdminState {
    let answer = async |call: &str| timeout(ADMIN_TIMEOUT, send_admin_command(admin, call)).await.ok()?.ok();
    let ready = answer("health").await.map(|text| text.starts_with("200"));
    if ready.is_none() {
        return AdminState::default();
    }
    let mut metrics = BTreeMap::new();
    for line in answer("counters").await.unwrap_or_default().lines() {
        let Some((name, value)) = line.rsplit_once(' ') else { continue };
        let name = name.split('{').next().unwrap_or(name).trim_start_matches("router_");
        if let Ok(value) = value.parse::<f64>() {
            *metrics.entry(name.to_owned()).or_insert(0.0) += value;
        }
    }
    let mut answers = BTreeMap::new();
    for call in calls {
        answers.insert(call.clone(), answer(call).await.unwrap_or_default());
    }
    (ready, metrics, answers)
}
