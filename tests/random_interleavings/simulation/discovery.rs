//! Simulated discovery: sends the endpoint list to each process.

use super::*;

impl Simulation {
    pub(super) fn handle_list_update(
        &mut self,
        process: usize,
        kind: ListUpdate,
        entries: Vec<EndpointEntry>,
    ) {
        let target = &mut self.processes[process];
        if kind != ListUpdate::Delta {
            target.list.values_mut().for_each(|entry| entry.state = ServerState::Removed);
        }
        for entry in &entries {
            target.list.insert(entry.server, entry.clone());
        }
        (0..SERVERS).for_each(|server| self.record_listing(process, ServerId(server)));
        let has_unready_server = entries.iter().any(|entry| entry.state != ServerState::Ready);
        if self.fault == Some(Fault::DelaysDrains) && has_unready_server {
            return self.schedule_after(
                1_500,
                SimulationEvent::Report(process, DriverReport::LateListUpdate(kind, entries)),
            );
        }
        self.processes[process].engine.handle_list_update(self.now, kind, entries, &mut self.commands);
        self.perform_commands(process, false);
    }

    pub(super) fn record_listing(&mut self, process: usize, server: ServerId) {
        let target = &self.processes[process];
        let Some(entry) = target.list.get(&server) else { return };
        let ready = entry.state == ServerState::Ready && !target.cordoned.contains(&server);
        let started_at = entry.started_at;
        self.record(Occurrence::Listed { process, server, ready, started_at });
    }

    /// Sends a changed endpoint entry with a random delay to all processes that have a watch.
    pub(super) fn announce_change(&mut self, server: ServerId) {
        let entry = self.servers[server.0 as usize].clone();
        for process in self.running_processes() {
            if !self.processes[process].is_watching {
                continue;
            }
            let delay_ms = if self.chance(0.2) { self.random_int(0..1_500) } else { self.random_int(0..50) };
            let last_update_at = &mut self.processes[process].last_list_update_at;
            *last_update_at = (self.now + ms(delay_ms)).max(*last_update_at);
            let delivered_at = *last_update_at;
            self.schedule_at(
                delivered_at,
                SimulationEvent::Report(
                    process,
                    DriverReport::ListUpdate(ListUpdate::Delta, vec![entry.clone()]),
                ),
            );
        }
    }

    pub(super) fn snapshot(&self) -> Vec<EndpointEntry> {
        self.servers.iter().filter(|entry| entry.state != ServerState::Removed).cloned().collect()
    }

    pub(super) fn end_watch(&mut self, process: usize, silent_since: Option<Time>) {
        self.processes[process].is_watching = false;
        self.report_to(process, DriverReport::WatchEnded(silent_since));
        let delay_ms = if self.chance(0.3) { self.random_int(2_000..7_000) } else { self.random_int(0..800) };
        self.schedule_after(delay_ms, SimulationEvent::WatchRestored(process));
    }

    /// Restores a watch. Discovery answers with a snapshot or a delta.
    pub(super) fn restore_watch(&mut self, process: usize) {
        let target = &mut self.processes[process];
        if target.exited {
            return;
        }
        target.is_watching = true;
        let is_first = target.list.is_empty();
        let (kind, entries) = match is_first || self.chance(0.5) {
            true => (ListUpdate::Snapshot, self.snapshot()),
            false => (ListUpdate::Delta, self.servers.clone()),
        };
        self.report_to(process, DriverReport::ListUpdate(kind, entries));
        self.processes[process].last_list_update_at = self.processes[process].last_report_at;
        self.report_to(process, DriverReport::WatchRestored);
    }
}
