//! Simulated clients and their front ends.

use super::*;

impl Simulation {
    pub(super) fn handle_client_arrival(&mut self) {
        if self.now < self.arrivals_end_at {
            let delay_ms = self.random_int(0..self.max_arrival_interval_ms);
            self.schedule_after(delay_ms, SimulationEvent::ClientArrival);
            self.send_request();
        }
    }

    /// Sends a client's request to a random gateway. A few requests reach a process that is shutting down.
    pub(super) fn send_request(&mut self) {
        let gateway = self.rng.random_range(0..self.gateways);
        let candidates: Vec<usize> = self
            .running_processes()
            .into_iter()
            .filter(|&process| self.processes[process].gateway == gateway)
            .collect();
        let Some(&process) = candidates.choose(&mut self.rng) else { return };
        if let Some(shutdown_began_at) = self.processes[process].shutdown_began_at {
            let elapsed = self.now.since(shutdown_began_at);
            if elapsed > ms(400) && !self.chance(0.1) {
                return;
            }
            // A process closes its listener before it writes its last answers (`src/net/listen.rs`).
            if elapsed >= ms(SHUTDOWN_MS) {
                return;
            }
        }
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let class = self.rng.random_range(0..CLASSES.len());
        let time_left_ms = self.random_int(300..2_400);
        let group = if self.chance(0.3) {
            format!(",g={}", "x".repeat(self.rng.random_range(1..5)))
        } else {
            String::new()
        };
        let line = format!("OPEN id{} key c={},t=acme,d={time_left_ms}{group}\r\n", id.0, CLASSES[class]);
        let frontend = SimulatedFrontend::new(line.into(), self.fault).expect("a valid OPEN line");
        self.clients.insert(id, Client { process, class, frontend, last_command_at: self.now });
        self.record(Occurrence::Arrived { id, class, process, time_left: ms(time_left_ms) });
        self.report_to(process, DriverReport::Request(id));
        match self.random_int(0..20) {
            0..=2 => {
                let delay_ms = self.random_int(0..time_left_ms + 50);
                self.schedule_after(delay_ms, SimulationEvent::ClientDeparture(id));
            }
            3 => {
                let delay_ms = self.random_int(0..time_left_ms);
                let line: &[u8] = if self.chance(0.5) { b"OPEN again\r\n" } else { b"early\r\n" };
                self.schedule_after(delay_ms, SimulationEvent::ClientLine(id, line));
            }
            _ => {}
        }
    }

    pub(super) fn handle_client_departure(&mut self, id: RequestId) {
        let Some(client) = self.clients.get(&id) else { return };
        if client.frontend.is_finished() {
            return;
        }
        if !client.frontend.is_established() {
            self.count("client departures");
            self.record(Occurrence::ClientLeft { id });
        }
        self.drive_frontend(id, SimulatedFrontend::handle_client_departure);
    }

    pub(super) fn drive_frontend(
        &mut self,
        id: RequestId,
        handle: impl FnOnce(&mut SimulatedFrontend, &mut Vec<FrontendAction>),
    ) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let process = client.process;
        let mut actions = Vec::new();
        handle(&mut client.frontend, &mut actions);
        for action in actions {
            self.perform_action(process, id, action);
        }
    }

    pub(super) fn perform_action(&mut self, process: usize, id: RequestId, action: FrontendAction) {
        match action {
            FrontendAction::Report(event) => {
                if let FrontendEvent::Ended(_, outcome) = event {
                    self.count(match outcome {
                        Outcome::ConnectError => "connect errors",
                        Outcome::Reset => "resets",
                        Outcome::QueueFull => "queue full",
                        Outcome::Failed => "errors",
                        _ => "other attempt ends",
                    });
                }
                self.report_to(process, DriverReport::Frontend(id, event));
            }
            FrontendAction::Connect(attempt, server) => self.connect(id, attempt, server),
            FrontendAction::FirstByte(attempt) => {
                self.record(Occurrence::FirstByte { id, attempt });
                let write_ms = if self.chance(0.2) { self.random_int(0..60) } else { 0 };
                if write_ms > 0 && self.chance(0.4) {
                    self.schedule_after(
                        write_ms,
                        SimulationEvent::Connection(id, attempt, ConnectionEvent::Reset),
                    );
                } else {
                    self.schedule_after(
                        write_ms,
                        SimulationEvent::Connection(id, attempt, ConnectionEvent::Written),
                    );
                }
            }
            FrontendAction::LastByte(attempt) => {
                self.record(Occurrence::LastByte { id, attempt });
                self.answer_request(id, attempt);
            }
            FrontendAction::Close(attempt, outcome) => {
                self.record(Occurrence::Closed { id, attempt, outcome })
            }
            FrontendAction::FinalAnswer(answer) => {
                self.count(match answer {
                    ClientAnswer::Served => "served",
                    ClientAnswer::Rejected => "rejected",
                    ClientAnswer::Failed => "failed",
                });
                self.record(Occurrence::Answered { id, answer });
            }
            FrontendAction::Established(attempt) => self.schedule_established_traffic(id, attempt),
            FrontendAction::HandOff(server) => self.hand_off(process, id, server),
            FrontendAction::Finished => _ = self.clients.remove(&id),
        }
    }

    pub(super) fn hand_off(&mut self, process: usize, id: RequestId, server: ServerId) {
        let Some(successor) =
            self.current_process(self.processes[process].gateway).filter(|&current| current != process)
        else {
            return;
        };
        let Some(client) = self.clients.get(&id) else { return };
        let open = client.frontend.open.clone();
        let class = client.class;
        self.count("handoffs");
        self.last_request_id += 1;
        let adopted_id = RequestId(self.last_request_id);
        let frontend = SimulatedFrontend::established(open, server, self.fault);
        self.clients
            .insert(adopted_id, Client { process: successor, class, frontend, last_command_at: self.now });
        self.report_to(successor, DriverReport::AdoptedConnection(adopted_id, server));
        self.schedule_established_traffic(adopted_id, 0);
    }
}
