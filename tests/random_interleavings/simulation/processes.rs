//! Simulated processes of gateways: start and shutdown, reports to their engines and the commands of these.

use super::*;

impl Simulation {
    /// Starts a process of a gateway, with the endpoint list of its predecessor if it has one. Returns its
    /// index.
    pub(super) fn start_process(&mut self, gateway: u32, list: Option<Vec<EndpointEntry>>) -> usize {
        let mut settings = Settings { gateway_id: GatewayId(gateway), ..self.settings.clone() };
        for class in &mut settings.classes {
            if let ashtide::Idempotency::WithKey { scope, remembered_for } = &mut class.idempotency {
                match self.fault {
                    Some(Fault::LongIdempotencyWindow) => *remembered_for = remembered_for.scale(10.0),
                    Some(Fault::WideDeduplicationScope) => *scope = DeduplicationScope::All,
                    _ => {}
                }
            }
        }
        if self.fault == Some(Fault::SingleGatewaySettings) {
            settings.gateways = 1;
            settings.gateway_id = GatewayId(0);
        }
        let elapsed = duration(self.now.since(self.epoch.time));
        let epoch = MonotonicEpoch { time: self.now, instant: self.epoch.instant + elapsed };
        let process = Process {
            gateway,
            engine: Engine::new(settings, self.rng.random(), epoch),
            exited: false,
            shutdown_began_at: None,
            last_report_at: self.now,
            last_list_update_at: self.now,
            is_watching: true,
            list: BTreeMap::new(),
            cordoned: BTreeSet::new(),
            has_lost_watch: false,
            full_load_recorded: false,
        };
        let index = self.processes.len();
        self.processes.push(process);
        if let Some(list) = list {
            self.report_to(index, DriverReport::ListUpdate(ListUpdate::Cached, list));
        }
        self.restore_watch(index);
        index
    }

    pub(super) fn running_processes(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|&process| !self.processes[process].exited).collect()
    }

    /// Returns the process of a gateway that accepts new clients.
    pub(super) fn current_process(&self, gateway: u32) -> Option<usize> {
        let belongs_to_gateway = |&process: &usize| self.processes[process].gateway == gateway;
        self.running_processes().into_iter().rfind(belongs_to_gateway)
    }

    /// Reaches the shutdown deadline: the engine answers all requests and migrates all connections.
    pub(super) fn reach_shutdown_deadline(&mut self, process: usize) {
        if self.processes[process].exited {
            return;
        }
        self.processes[process].engine.handle_timer(
            self.now,
            TimerEvent::ShutdownDeadline,
            &mut self.commands,
        );
        self.perform_commands(process, false);
        self.schedule_after(FLUSH_MS, SimulationEvent::ProcessExit(process));
    }

    /// Exits after a shutdown, once all answers are written.
    pub(super) fn exit_after_shutdown(&mut self, process: usize) {
        if self.processes[process].exited {
            return;
        }
        if let Some(id) = self.history.unanswered_request(process) {
            let invariant = Invariant::OneFinalAnswer;
            let details = format!("process {process} exits while {id:?} has no answer");
            self.violation.get_or_insert(Violation { invariant, details });
        }
        self.exit_process(process);
    }

    pub(super) fn exit_process(&mut self, process: usize) {
        if std::mem::replace(&mut self.processes[process].exited, true) {
            return;
        }
        let requests: Vec<RequestId> =
            self.clients.iter().filter(|(_, client)| client.process == process).map(|(&id, _)| id).collect();
        for id in requests {
            self.record(Occurrence::ProcessExited { id });
            self.clients.remove(&id);
        }
        let gateway = self.processes[process].gateway;
        if self.current_process(gateway).is_none() {
            let delay_ms = self.random_int(0..800);
            self.schedule_after(delay_ms, SimulationEvent::RestartGateway(gateway));
        }
    }

    pub(super) fn share_sibling_state(&mut self, from: usize, to: usize) {
        if self.processes[from].exited || self.processes[to].exited {
            return;
        }
        for server in (0..SERVERS).map(ServerId) {
            let usage = self.processes[from].engine.sibling_usage(server);
            self.report_to(to, DriverReport::SiblingState(server, usage));
        }
        self.schedule_after(500, SimulationEvent::ShareSiblingState(from, to));
    }

    pub(super) fn report_to(&mut self, process: usize, report: DriverReport) {
        let delivered_at = self.now + self.delivery_delay();
        let last_report_at = &mut self.processes[process].last_report_at;
        *last_report_at = delivered_at.max(*last_report_at);
        let delivered_at = *last_report_at;
        self.schedule_at(delivered_at, SimulationEvent::Report(process, report));
    }

    pub(super) fn handle_report(&mut self, process: usize, report: DriverReport) {
        if self.processes[process].exited {
            return;
        }
        let now = self.now;
        match report {
            DriverReport::Request(id) => {
                self.record(Occurrence::Admitted { id });
                self.record_full_load(process);
                let Some(request) = self.request(id) else { return };
                self.processes[process].engine.handle_request(now, request, &mut self.commands);
            }
            DriverReport::Frontend(id, event) => return self.handle_frontend_event(process, id, event),
            DriverReport::AdoptedConnection(id, server) => {
                let Some(request) = self.request(id) else { return };
                self.count("adopted");
                self.processes[process].engine.adopt_connection(now, request, server, &mut self.commands);
            }
            DriverReport::ListUpdate(kind, entries) => {
                return self.handle_list_update(process, kind, entries);
            }
            DriverReport::LateListUpdate(kind, entries) => {
                self.processes[process].engine.handle_list_update(now, kind, entries, &mut self.commands);
            }
            DriverReport::WatchRestored => {
                self.processes[process].has_lost_watch = false;
                self.record(Occurrence::WatchRestored { process });
                self.processes[process].engine.renew_list_lease(now, &mut self.commands);
            }
            DriverReport::WatchEnded(silent_since) => {
                // The list was in sync until the watch was closed, but not while the watch was silent.
                let end = if silent_since.is_some() { WatchEnd::Failed } else { WatchEnd::Closed };
                let silent_since = silent_since.unwrap_or(now);
                self.record(Occurrence::WatchLost { process, silent_since });
                self.processes[process].has_lost_watch = true;
                if self.fault != Some(Fault::LosesWatchEnd) {
                    self.processes[process].engine.handle_watch_end(now, silent_since, end);
                }
                let engine = &mut self.processes[process].engine;
                engine.handle_list_update(now, ListUpdate::WatchFailed, Vec::new(), &mut self.commands);
            }
            DriverReport::Datagram(from, bytes) => {
                self.record_full_load(process);
                // Late, duplicate and unexpected datagrams are rejected and change nothing.
                let result =
                    self.processes[process].engine.handle_datagram(now, from, &bytes, &mut self.commands);
                self.count(if result.is_ok() { "datagrams accepted" } else { "datagrams rejected" });
            }
            DriverReport::Cordon(server, is_cordoned) => {
                let cordoned = &mut self.processes[process].cordoned;
                if is_cordoned {
                    cordoned.insert(server)
                } else {
                    cordoned.remove(&server)
                };
                self.record_listing(process, server);
                self.processes[process].engine.set_cordon(now, server, is_cordoned, &mut self.commands);
            }
            DriverReport::QuorumEjections(keys) => {
                self.processes[process].engine.set_quorum_ejections(now, &keys, &mut self.commands)
            }
            DriverReport::SiblingState(server, usage) => {
                self.processes[process].engine.handle_sibling_state(now, server, usage, &mut self.commands);
            }
            DriverReport::GracefulShutdown => {
                let migrate_within = ms(SHUTDOWN_MS - 400);
                self.processes[process].engine.begin_shutdown(now, migrate_within, ms(SHUTDOWN_MS));
            }
            DriverReport::HandOver => {
                let migrate_within = ms(SHUTDOWN_MS - 400);
                let engine = &mut self.processes[process].engine;
                engine.begin_handover(now, migrate_within, ms(SHUTDOWN_MS), &mut self.commands);
            }
        }
        self.perform_commands(process, false);
    }

    pub(super) fn handle_frontend_event(&mut self, process: usize, id: RequestId, event: FrontendEvent) {
        let now = self.now;
        match event {
            FrontendEvent::Connected(attempt) => {
                let may_send =
                    self.processes[process].engine.may_send_first_byte(now, id, attempt, &mut self.commands);
                self.perform_commands(process, false);
                if may_send {
                    self.send_command(id, FrontendCommand::SendFirstByte { attempt });
                } else {
                    self.count("late connections not used");
                }
                return;
            }
            FrontendEvent::Accepted(attempt) => {
                let is_established =
                    self.processes[process].engine.handle_established(now, id, attempt, &mut self.commands);
                // `UP` is forwarded before the commands that result from it, as in the driver.
                if is_established {
                    self.send_command(id, FrontendCommand::ForwardAccepted { attempt });
                } else {
                    self.count("late acceptances");
                }
            }
            FrontendEvent::Ended(attempt, outcome) => {
                self.record(Occurrence::AttemptEndReported { id, attempt, outcome });
                self.processes[process].engine.handle_attempt_end(
                    now,
                    id,
                    attempt,
                    outcome,
                    &mut self.commands,
                );
            }
            FrontendEvent::ClientLeft => {
                self.record(Occurrence::DepartureReported { id });
                if self.fault != Some(Fault::LosesClientDeparture) {
                    self.processes[process].engine.handle_client_left(now, id, &mut self.commands);
                }
            }
            FrontendEvent::ClientMessage => {
                self.processes[process].engine.handle_client_message(now, id, true)
            }
            FrontendEvent::ServerMessage => self.processes[process].engine.handle_server_message(now, id),
            FrontendEvent::Load(load) => {
                self.processes[process].engine.handle_load_report(now, id, load, &mut self.commands)
            }
        }
        self.perform_commands(process, false);
    }

    /// Returns the request that the driver derives from the line of the client.
    pub(super) fn request(&self, id: RequestId) -> Option<Request> {
        let client = self.clients.get(&id)?;
        let open = &client.frontend.open;
        let class = CLASSES.iter().position(|name| *name == open.class)?;
        let class = if self.fault == Some(Fault::SwapsClasses) { (class + 1) % CLASSES.len() } else { class };
        let group = open.group.as_ref().map(|name| GroupId(name.len() as u32));
        let tenant = open.tenant.as_ref().map(|_| TenantId(0));
        let time_left = Span::from_micros(client.frontend.client_timeout().as_micros() as i64);
        Some(Request { id, class: ClassId(class as u32), tenant, group, time_left, load: open.expected_load })
    }

    /// Records the number of connections at which a server is full, when the process first uses its decision
    /// module.
    pub(super) fn record_full_load(&mut self, process: usize) {
        let target = &mut self.processes[process];
        if !std::mem::replace(&mut target.full_load_recorded, true) {
            let is_ready = |entry: &&EndpointEntry| {
                entry.state == ServerState::Ready
                    && !target.cordoned.contains(&entry.server)
                    && !target.has_lost_watch
            };
            let ready_servers = target.list.values().filter(is_ready).count().max(1);
            self.history.connections_when_full =
                self.history.connections_when_full.max(QUOTA_CONNECTIONS / ready_servers as f64);
        }
    }

    pub(super) fn perform_commands(&mut self, process: usize, timed_out: bool) {
        for command in std::mem::take(&mut self.commands) {
            match command {
                Command::Attempt { id, attempt, server, timeout } => {
                    if attempt > 0 {
                        self.count("retries");
                    }
                    self.record(Occurrence::Chosen { id, attempt, server, timeout });
                    self.send_command(id, FrontendCommand::Attempt { attempt, server, timeout });
                }
                Command::Close { id, attempt } => {
                    self.record(Occurrence::Abandoned { id, attempt, timed_out });
                    self.send_command(id, FrontendCommand::Close { attempt });
                }
                Command::Answer { id, answer } => {
                    self.record(Occurrence::AnswerDecided { id });
                    if self.fault == Some(Fault::LosesAnswers) && self.chance(0.1) {
                        continue;
                    }
                    let answer = match self.fault {
                        Some(Fault::RejectsUnservedClients) => {
                            ashtide::engine::FinalAnswer::Rejected(Span::ZERO)
                        }
                        _ => answer,
                    };
                    self.send_command(id, FrontendCommand::Answer(answer));
                }
                Command::Migrate { id } => {
                    self.count("migrations");
                    self.send_command(id, FrontendCommand::Migrate);
                }
                Command::HandOff { id, server } => self.send_command(id, FrontendCommand::HandOff(server)),
                Command::SendDatagram(datagram) => self.send_datagram(process, datagram.to, datagram.bytes()),
                Command::CheckHealth { .. } | Command::Subscribe => {}
            }
        }
        // In runs without an injected fault, the invariant checks of the engine itself find no violation
        // either.
        let engine_violations = self.processes[process].engine.take_request_violations().recent;
        if let Some(violation) = engine_violations.first().filter(|_| self.fault.is_none()) {
            panic!("the engine reports a violated invariant: {violation}");
        }
        if let Err(violation) = self.processes[process].engine.check_permits() {
            let invariant = Invariant::PermitsWithinLimit;
            self.violation.get_or_insert(Violation { invariant, details: violation.to_string() });
        }
    }

    /// Sends a datagram to another gateway with a random delay. It may be lost or duplicated.
    pub(super) fn send_datagram(&mut self, process: usize, to: GatewayId, bytes: &[u8]) {
        let from = GatewayId(self.processes[process].gateway);
        let mut bytes = bytes.to_vec();
        // Sets the flag that grants the permit, in replies to permit requests (tag 19).
        if let [19, .., flags, _] = &mut bytes[..]
            && self.fault == Some(Fault::ForgesPermits)
        {
            *flags |= 1;
        }
        let copies = match self.random_int(0..20) {
            0 | 1 => 0,
            2 => 2,
            _ => 1,
        };
        self.count(["datagrams lost", "datagrams", "datagrams duplicated"][copies]);
        for _ in 0..copies {
            let processes: Vec<usize> = self
                .running_processes()
                .into_iter()
                .filter(|&process| self.processes[process].gateway == to.0)
                .collect();
            let Some(&process) = processes.choose(&mut self.rng) else { continue };
            let delay_ms = if self.chance(0.1) { self.random_int(60..300) } else { self.random_int(0..25) };
            self.schedule_after(
                delay_ms,
                SimulationEvent::Report(process, DriverReport::Datagram(from, bytes.clone())),
            );
        }
    }

    pub(super) fn send_command(&mut self, id: RequestId, command: FrontendCommand) {
        let delivered_at = self.now + self.delivery_delay();
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.last_command_at = client.last_command_at.max(delivered_at);
        let delivered_at = client.last_command_at;
        self.schedule_at(delivered_at, SimulationEvent::Command(id, command));
    }
}
