//! The event loop's side of the handover: the state that this process publishes to its siblings, and the
//! state that it persists.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use tokio::sync::watch;

use super::clock::unix_micros;
use super::state_folder::StateFolder;
use crate::discovery::EndpointList;
use crate::handover::{CordonTransition, Cordons, PersistedState, ProcessState, ServerUsage};
use crate::net::connection_handoff::Successor;
use crate::net::pending_clients::PendingClients;
use crate::net::rate_limited_log::RateLimitedLog;

static PERSIST_LOG: RateLimitedLog = RateLimitedLog::new("handover");

/// State that a process publishes to its siblings whenever it changes.
#[derive(Debug, Clone, Default)]
pub struct PublishedState {
    /// State of the process.
    pub process: ProcessState,
    /// Endpoint list of the process; `None` until it has one.
    pub endpoint_list: Option<Arc<EndpointList>>,
}

/// Publishes the state of this process to its siblings, and persists the state that later processes need.
pub struct SiblingLink {
    /// Pending clients of this process, which also record whether the restore phase is over.
    pub pending_clients: PendingClients,
    state_folder: Option<StateFolder>,
    persisted: PersistedState,
    reserved_descriptors: usize,
    /// Whether `persisted` has changed since it was last stored.
    has_unsaved_changes: bool,
    published: watch::Sender<PublishedState>,
    successor: watch::Receiver<Option<Arc<Successor>>>,
}

impl SiblingLink {
    /// Creates the link of a process in state `process`.
    ///
    /// `reserved_descriptors` is the number of descriptors that the process reserves in addition to those of
    /// its clients.
    pub fn new(
        pending_clients: PendingClients,
        state_folder: Option<StateFolder>,
        persisted: PersistedState,
        reserved_descriptors: usize,
        process: ProcessState,
        successor: watch::Receiver<Option<Arc<Successor>>>,
    ) -> Self {
        let published = watch::Sender::new(PublishedState { process, endpoint_list: None });
        Self {
            pending_clients,
            state_folder,
            persisted,
            reserved_descriptors,
            has_unsaved_changes: false,
            published,
            successor,
        }
    }

    /// Returns the successor; `None` until a sibling takes over established connections.
    pub fn successor(&self) -> Option<Arc<Successor>> {
        self.successor.borrow().clone()
    }

    /// Subscribes to the published state.
    pub fn subscribe(&self) -> watch::Receiver<PublishedState> {
        self.published.subscribe()
    }

    /// Publishes the current state, and persists unsaved changes.
    pub fn publish(&mut self, ready: bool, server_usage: BTreeMap<String, ServerUsage>) {
        let restore_phase_over = self.pending_clients.restore_phase_is_over();
        if restore_phase_over != self.persisted.restore_phase_over {
            self.persisted.restore_phase_over = restore_phase_over;
            self.has_unsaved_changes = true;
        }
        self.persist_changes();
        let descriptors = self.reserved_descriptors + self.pending_clients.sockets_in_use();
        let cordons = self.persisted.cordons.clone();
        self.published.send_modify(|published| {
            let process = &mut published.process;
            process.ready = ready;
            process.restore_phase_over = restore_phase_over;
            process.descriptors = descriptors;
            process.server_usage = server_usage;
            process.cordons = cordons;
        });
    }

    /// Sets the endpoint list, which is sent with the next published state.
    pub fn publish_list(&mut self, list: EndpointList) {
        self.published.send_if_modified(|published| {
            published.endpoint_list = Some(Arc::new(list));
            false
        });
    }

    /// Records an operator's cordon or uncordon, and persists it.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be persisted. This process applies it nevertheless.
    pub fn record_cordon(&mut self, server: &str, cordoned: bool) -> io::Result<()> {
        self.persisted.cordons.record_now(server, unix_micros(), cordoned);
        self.persist()
    }

    /// Merges the cordons of siblings; returns the servers that are thereby cordoned or uncordoned.
    pub fn merge_cordons(&mut self, cordons: &Cordons) -> Vec<CordonTransition> {
        let transitions = self.persisted.cordons.merge(cordons);
        // This process may later overwrite the state file that the sibling has written, so it stores them as
        // well.
        self.has_unsaved_changes |= !transitions.is_empty();
        transitions
    }

    /// Returns the cordons of operators.
    pub fn cordons(&self) -> &Cordons {
        &self.persisted.cordons
    }

    /// Persists unsaved changes. After a failure, the next published state retries.
    fn persist_changes(&mut self) {
        if !self.has_unsaved_changes {
            return;
        }
        if let Err(error) = self.persist() {
            let path = self.state_folder.as_ref().map(|folder| folder.file_path("kept")).unwrap_or_default();
            PERSIST_LOG.log(format_args!(
                "cannot write state file {}: {error}; retrying with the next state",
                path.display()
            ));
        }
    }

    fn persist(&mut self) -> io::Result<()> {
        let stored = match &self.state_folder {
            Some(folder) => folder.store(&self.persisted),
            None => Ok(()),
        };
        self.has_unsaved_changes = stored.is_err();
        stored
    }
}
