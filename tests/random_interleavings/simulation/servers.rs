//! Simulated servers and the network between them and the front ends.

use super::*;

impl Simulation {
    pub(super) fn connect(&mut self, id: RequestId, attempt: u32, server: ServerId) {
        let state = self.servers[server.0 as usize].state;
        let delay_ms = match self.random_int(0..10) {
            0 => self.random_int(0..MAX_CONNECT_MS),
            1 => self.random_int(0..300),
            _ => self.random_int(0..2) * TICK_MS,
        };
        if state == ServerState::Removed || self.chance(0.05) {
            return self.schedule_after(
                delay_ms,
                SimulationEvent::Connection(id, attempt, ConnectionEvent::Refused),
            );
        }
        if delay_ms > 300 {
            self.count("late connections");
        }
        self.schedule_after(delay_ms, SimulationEvent::Connection(id, attempt, ConnectionEvent::Connected));
        if self.chance(0.04) {
            let delay_ms = self.random_int(0..delay_ms + 40);
            self.schedule_after(delay_ms, SimulationEvent::Connection(id, attempt, ConnectionEvent::Reset));
        }
    }

    /// Schedules the response of a server that has received the complete request line.
    pub(super) fn answer_request(&mut self, id: RequestId, attempt: u32) {
        let Some((_, server)) = self.clients.get(&id).and_then(|client| client.frontend.current_attempt())
        else {
            return;
        };
        let server_index = server.0 as usize;
        if self.hung_until[server_index] > self.now {
            return;
        }
        let response = match self.servers[server_index].state {
            ServerState::Ready => self.random_int(0..100),
            ServerState::Draining => self.random_int(55..90),
            ServerState::Removed => 85,
        };
        let delay_ms = match self.random_int(0..10) {
            0 => self.random_int(0..1_200),
            1..=3 => self.random_int(0..200),
            _ => self.random_int(0..4) * TICK_MS,
        };
        let line: &'static [u8] = match response {
            0..=59 => b"UP 7c1\r\n",
            60..=71 => b"BUSY 200\r\n",
            72..=79 => b"ERR\r\n",
            80..=82 => b"MOVE\r\n",
            83..=91 => {
                return self.schedule_after(
                    delay_ms,
                    SimulationEvent::Connection(id, attempt, ConnectionEvent::Reset),
                );
            }
            92..=95 => b"UPP \r\n",
            _ => return,
        };
        self.schedule_after(
            delay_ms,
            SimulationEvent::Connection(id, attempt, ConnectionEvent::Line(line.into())),
        );
        if self.chance(0.1) {
            self.count("second responses");
            let line = [&b"UP 9\r\n"[..], b"BUSY\r\n", b"ERR\r\n"].choose(&mut self.rng).copied();
            let delay_ms = delay_ms + self.random_int(0..25);
            self.schedule_after(
                delay_ms,
                SimulationEvent::Connection(
                    id,
                    attempt,
                    ConnectionEvent::Line(line.unwrap_or_default().into()),
                ),
            );
        }
    }

    pub(super) fn handle_connection_event(&mut self, id: RequestId, attempt: u32, event: ConnectionEvent) {
        let Some(client) = self.clients.get(&id) else { return };
        // A line that the front end does not read yet remains in the socket buffer.
        if matches!(event, ConnectionEvent::Line(_))
            && client.frontend.current_attempt().is_some_and(|(current, _)| current == attempt)
            && !client.frontend.is_reading_from_server()
        {
            return self.schedule_after(TICK_MS, SimulationEvent::Connection(id, attempt, event));
        }
        self.drive_frontend(id, |frontend, actions| {
            frontend.handle_connection_event(attempt, event, actions)
        });
    }

    /// Schedules the messages on an established connection and its end.
    pub(super) fn schedule_established_traffic(&mut self, id: RequestId, attempt: u32) {
        let server_hangs = self.chance(0.1);
        for _ in 0..self.random_int(0..3) {
            let delay_ms = self.random_int(0..2_500);
            self.schedule_after(delay_ms, SimulationEvent::ClientLine(id, b"reading 17\r\n"));
            if !server_hangs {
                let line: &[u8] = if self.chance(0.3) { b"LOAD 1200\r\n" } else { b"ok\r\n" };
                self.schedule_after(
                    delay_ms + 5,
                    SimulationEvent::Connection(id, attempt, ConnectionEvent::Line(line.into())),
                );
            }
        }
        let delay_ms = self.random_int(50..6_000);
        match self.random_int(0..10) {
            0..=3 => self.schedule_after(delay_ms, SimulationEvent::ClientDeparture(id)),
            4 => self.schedule_after(
                delay_ms,
                SimulationEvent::Connection(id, attempt, ConnectionEvent::Line(b"BYE\r\n"[..].into())),
            ),
            5 => self.schedule_after(
                delay_ms,
                SimulationEvent::Connection(id, attempt, ConnectionEvent::Line(b"MOVE\r\n"[..].into())),
            ),
            6 | 7 => self
                .schedule_after(delay_ms, SimulationEvent::Connection(id, attempt, ConnectionEvent::Reset)),
            _ => {}
        }
    }
}
