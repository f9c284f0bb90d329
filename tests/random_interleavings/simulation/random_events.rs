//! Random events: state changes of servers, lost watches, operators' commands, process exits and bursts of
//! requests.

use super::*;

impl Simulation {
    pub(super) fn trigger_random_event(&mut self) {
        if self.now >= self.arrivals_end_at {
            return;
        }
        let delay_ms = self.random_int(20..400);
        self.schedule_after(delay_ms, SimulationEvent::RandomEvent);
        let running = self.running_processes();
        let (Some(&process), server) = (running.choose(&mut self.rng), self.rng.random_range(0..SERVERS))
        else {
            return;
        };
        let server_index = server as usize;
        match self.random_int(0..30) {
            0..=3 => self.change_server_state(server_index, ServerState::Draining, false),
            4 | 5 => self.change_server_state(server_index, ServerState::Removed, false),
            6..=10 => self.change_server_state(server_index, ServerState::Ready, true),
            11 => self.change_server_state(server_index, ServerState::Ready, false),
            12 => {
                // A snapshot lacks this server. The list update on the restored watch contains it again.
                let mut incomplete = self.snapshot();
                incomplete.retain(|entry| entry.server.0 != server);
                self.count("incomplete snapshots");
                self.report_to(process, DriverReport::ListUpdate(ListUpdate::Snapshot, incomplete));
                let delay_ms = self.random_int(5..1_500);
                self.schedule_after(delay_ms, SimulationEvent::WatchRestored(process));
            }
            13 | 14 if self.processes[process].is_watching => {
                self.count("closed watches");
                self.end_watch(process, None);
            }
            15..=17 if self.processes[process].is_watching => {
                // The watch delivers nothing from now on. The gateway detects the silence some seconds later.
                self.count("silent watches");
                self.processes[process].is_watching = false;
                let delay_ms = self.random_int(2_200..5_500);
                self.schedule_after(delay_ms, SimulationEvent::WatchEnd(process, Some(self.now)));
            }
            18 | 19 => {
                self.count("cordons");
                let cordoned = self.chance(0.5);
                self.report_to(process, DriverReport::Cordon(ServerId(server), cordoned));
            }
            20 => {
                let keys = self
                    .servers
                    .iter()
                    .map(|entry| entry.hash_key)
                    .filter(|key| (key >> 7) % 3 == u32::from(server % 3 == 0));
                let keys = keys.take((server % 3) as usize).collect();
                self.report_to(process, DriverReport::QuorumEjections(keys));
            }
            21 if running.len() > 1 => {
                self.count("crashes");
                self.exit_process(process);
            }
            22 if self.processes[process].shutdown_began_at.is_none() => self.shut_down(process, false),
            23 | 24 if self.processes[process].shutdown_began_at.is_none() => self.shut_down(process, true),
            25 | 26 => {
                self.count("hung servers");
                self.hung_until[server_index] = self.now + ms(self.rng.random_range(500..4_000));
            }
            _ => {
                for _ in 0..self.random_int(3..25) {
                    self.send_request();
                }
            }
        }
    }

    pub(super) fn change_server_state(&mut self, index: usize, state: ServerState, restarted: bool) {
        // At least two servers always remain ready.
        let ready = self.servers.iter().filter(|entry| entry.state == ServerState::Ready).count();
        if state != ServerState::Ready && ready < 3 {
            return;
        }
        self.count(match (state, restarted) {
            (ServerState::Draining, _) => "drains",
            (ServerState::Removed, _) => "servers removed",
            (ServerState::Ready, true) => "servers restarted",
            (ServerState::Ready, false) => "servers ready again",
        });
        let server = &mut self.servers[index];
        server.state = state;
        if restarted {
            server.started_at = Some(self.now);
        }
        self.announce_change(ServerId(index as u32));
    }

    pub(super) fn shut_down(&mut self, process: usize, has_successor: bool) {
        self.processes[process].shutdown_began_at = Some(self.now);
        if has_successor {
            self.count("handovers");
            let gateway = self.processes[process].gateway;
            let list = self.processes[process].list.clone();
            let successor = self.start_process(gateway, Some(list.into_values().collect()));
            self.report_to(process, DriverReport::HandOver);
            self.schedule_after(100, SimulationEvent::ShareSiblingState(process, successor));
            self.schedule_after(150, SimulationEvent::ShareSiblingState(successor, process));
        } else {
            self.count("graceful shutdowns");
            self.report_to(process, DriverReport::GracefulShutdown);
        }
        self.schedule_after(SHUTDOWN_MS, SimulationEvent::ShutdownDeadline(process));
    }
}
