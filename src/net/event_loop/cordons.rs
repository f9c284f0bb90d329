//! Servers that are out of service: by an operator's cordon here or at a sibling process, or as the gateways together
//! have settled for maintenance.

use std::collections::BTreeMap;

use tracing::info;

use super::EventLoop;
use crate::decision::interface::*;
use crate::discovery::{Endpoint, EndpointStatus};
use crate::handover::{CordonTransition, Cordons, ServerUsage};
use crate::net::admin::CordonRequest;
use crate::net::messages::ServerObservations;

impl EventLoop {
    /// Carries an operator's request out. To set a cordon twice, or to lift it twice, succeeds; a name that was never on
    /// the list is an error.
    pub(super) fn handle_cordon_request(&mut self, request: CordonRequest) {
        let CordonRequest { server, cordon, reply } = request;
        let result = if self.names.servers.find(&server).is_some() {
            self.set_operator_cordon(self.now(), &server, cordon);
            self.sibling_link.record_cordon(&server, cordon).map_err(|error| format!("not kept: {error}"))
        } else {
            Err(format!("no server '{server}'"))
        };
        self.update_gauges(self.now());
        // A caller that has gone has no use for the answer.
        let _ = reply.send(result);
    }

    /// Sets the cordons that were recorded before the start.
    pub(super) fn restore_cordons(&mut self) {
        let cordoned: Vec<String> =
            self.sibling_link.cordons().cordoned_servers().map(str::to_owned).collect();
        for server in cordoned {
            self.set_operator_cordon(self.now(), &server, true);
        }
    }

    /// Takes in what other processes of this balancer hold, and the cordons that were set there.
    pub(super) fn handle_sibling_state(
        &mut self,
        now: Time,
        usage: BTreeMap<String, ServerUsage>,
        cordons: &Cordons,
    ) {
        for CordonTransition { server, cordoned } in self.sibling_link.merge_cordons(cordons) {
            self.set_operator_cordon(now, &server, cordoned);
        }
        for (name, usage) in usage {
            if let Some(server) = self.names.servers.find(&name).map(ServerId) {
                self.engine.handle_sibling_state(now, server, usage, &mut self.commands);
            }
        }
    }

    fn set_operator_cordon(&mut self, now: Time, server: &str, cordoned: bool) {
        info!("operator: {server} is {}", if cordoned { "out" } else { "back" });
        let out = cordoned || self.under_maintenance.contains(server);
        self.set_cordon(now, server, out);
    }

    /// Takes a server out for maintenance, or back unless an operator here wants it out.
    pub(super) fn set_maintenance_cordon(&mut self, now: Time, server: String, cordoned: bool) {
        if cordoned {
            self.under_maintenance.insert(server.clone());
        } else {
            self.under_maintenance.remove(&server);
        }
        let out = cordoned || self.sibling_link.cordons().is_cordoned(&server);
        self.set_cordon(now, &server, out);
    }

    fn set_cordon(&mut self, now: Time, server: &str, out: bool) {
        let server = ServerId(self.names.servers.intern(server));
        self.engine.set_cordon(now, server, out, &mut self.commands);
    }

    /// What this gateway observes: servers that are ready by the list and not cordoned here, and the connections with
    /// those that are named.
    pub(super) fn observe_servers(&self, names: Vec<String>) -> ServerObservations {
        let cordons = self.sibling_link.cordons();
        let is_ready = |(name, endpoint): &(&String, &Endpoint)| {
            endpoint.status == EndpointStatus::Serving && !cordons.is_cordoned(name)
        };
        let ready = self.endpoints.entries.iter().filter(is_ready).map(|(name, _)| name.clone()).collect();
        let count = |name: String| {
            let server = self.names.servers.find(&name).map(ServerId);
            let connections = server.map_or(0, |server| self.engine.connections_on(server));
            (name, connections)
        };
        ServerObservations { ready, open_connections: names.into_iter().map(count).collect() }
    }
}
