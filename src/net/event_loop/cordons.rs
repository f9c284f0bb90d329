//! Cordoned servers: by an operator, at this process or a sibling, or by a maintenance decision of the
//! gateways.

use std::collections::BTreeMap;

use tracing::info;

use super::EventLoop;
use crate::decision::interface::*;
use crate::discovery::{Endpoint, EndpointStatus};
use crate::handover::{CordonTransition, Cordons, ServerUsage};
use crate::net::admin::CordonRequest;
use crate::net::messages::ServerObservations;

impl EventLoop {
    /// Executes an operator's request. Cordoning a cordoned server and uncordoning an uncordoned one succeed;
    /// a name that was never on the endpoint list is an error.
    pub(super) fn handle_cordon_request(&mut self, request: CordonRequest) {
        let CordonRequest { server, cordon, reply } = request;
        let result = if self.names.servers.find(&server).is_some() {
            self.set_operator_cordon(self.now(), &server, cordon);
            self.sibling_link.record_cordon(&server, cordon).map_err(|error| format!("not kept: {error}"))
        } else {
            Err(format!("no server '{server}'"))
        };
        self.update_gauges(self.now());
        // Sending fails only if the caller no longer waits for the answer.
        let _ = reply.send(result);
    }

    /// Applies the cordons that were recorded before the start.
    pub(super) fn restore_cordons(&mut self) {
        let cordoned: Vec<String> =
            self.sibling_link.cordons().cordoned_servers().map(str::to_owned).collect();
        for server in cordoned {
            self.set_operator_cordon(self.now(), &server, true);
        }
    }

    /// Applies the connections and permits that the sibling processes report, and the cordons set at them.
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
        let effective = cordoned || self.under_maintenance.contains(server);
        self.set_cordon(now, server, effective);
    }

    /// Cordons a server for maintenance, or uncordons it unless an operator's cordon remains.
    pub(super) fn set_maintenance_cordon(&mut self, now: Time, server: String, cordoned: bool) {
        if cordoned {
            self.under_maintenance.insert(server.clone());
        } else {
            self.under_maintenance.remove(&server);
        }
        let effective = cordoned || self.sibling_link.cordons().is_cordoned(&server);
        self.set_cordon(now, &server, effective);
    }

    fn set_cordon(&mut self, now: Time, server: &str, cordoned: bool) {
        let server = ServerId(self.names.servers.intern(server));
        self.engine.set_cordon(now, server, cordoned, &mut self.commands);
    }

    /// Returns the servers that are serving according to the endpoint list and not cordoned by an operator,
    /// and the number of connections with each of the named servers.
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
