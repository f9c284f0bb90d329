//! Connections to the siblings while the process runs, and the handling of their messages.

use std::collections::BTreeMap;
use std::ops::ControlFlow;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ashtide_stream::UnixWriter;
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::net::UnixListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tracing::info;

use super::discovery::{
    DiscoveredSiblings, ForeignProcess, MAX_SIBLINGS, MessageReader, SiblingConnection, split_messages,
};
use super::link::PublishedState;
use super::state_folder::StateFolder;
use crate::discovery::EndpointList;
use crate::engine::open_ids::{OpenIdFollower, OpenIds};
use crate::handover::{MAX_MESSAGE_LENGTH, ProcessState, SiblingMessage, SiblingSummary};
use crate::net::connection_handoff::{ADOPTION_TIME, Successor};
use crate::net::messages::{DriverEvent, EventLoopHandle};
use crate::net::pending_clients::PendingClients;

/// Time limit for writing a message to a sibling, which is disconnected when it is exceeded.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time for which changes of the open request ids are collected before they are sent to a sibling.
const ID_BATCH_DELAY: Duration = Duration::from_millis(50);
/// Maximum total length of the request ids in one message, in bytes.
const MAX_IDS_LENGTH: usize = MAX_MESSAGE_LENGTH / 8;

/// Waits for changes of the open request ids, and collects further ones for a moment.
async fn next_id_batch(open_ids: &mut OpenIdFollower) {
    open_ids.changed().await;
    sleep(ID_BATCH_DELAY).await;
}

/// State of this process that the connections to siblings read and change.
#[derive(Clone)]
pub struct SiblingContext {
    /// State that is sent to the siblings.
    pub published: watch::Receiver<PublishedState>,
    /// Clients of this process.
    pub pending_clients: PendingClients,
    /// Whether this process accepts clients.
    pub accepting: watch::Sender<bool>,
    /// Event loop of this process.
    pub event_loop: EventLoopHandle,
    /// Folder of this deployment.
    pub state_folder: StateFolder,
    /// Successor; `None` until a sibling takes over established connections.
    pub successor: watch::Sender<Option<Arc<Successor>>>,
    /// Request ids that are open at this gateway.
    pub open_ids: OpenIds,
}

/// Claims the request ids that are open at the discovered siblings, then serves these and accepts connections
/// of later ones in a new task, until the process exits. Call it before clients are accepted.
pub fn start(siblings: DiscoveredSiblings, context: SiblingContext) {
    for (number, connection) in (0..).zip(&siblings.connections) {
        if let Some(state) = &connection.state {
            context.open_ids.apply_sibling_changes(number, &state.open_id_changes);
        }
    }
    let own_rank = context.published.borrow().process.rank;
    let connections = SiblingConnections { own_rank, context, sibling_states: Arc::default() };
    tokio::spawn(connections.serve(siblings));
}

/// Set of all connections to siblings.
#[derive(Clone)]
struct SiblingConnections {
    own_rank: u64,
    context: SiblingContext,
    /// Last received state of each connected sibling, by connection number.
    sibling_states: Arc<Mutex<BTreeMap<u64, ProcessState>>>,
}

impl SiblingConnections {
    fn lock_states(&self) -> MutexGuard<'_, BTreeMap<u64, ProcessState>> {
        self.sibling_states.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self, siblings: DiscoveredSiblings) {
        let mut next_number = 0;
        for SiblingConnection { messages, writer, state } in siblings.connections {
            let is_verified = state.is_some();
            self.update_sibling(next_number, Some(state.unwrap_or_default())).await;
            tokio::spawn(self.create_session(next_number, messages, writer, is_verified).run());
            next_number += 1;
        }
        if let Some(listener) = siblings.listener {
            self.accept_siblings(listener, next_number).await;
        }
    }

    async fn accept_siblings(&self, listener: UnixListener, mut last_number: u64) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if self.lock_states().len() >= MAX_SIBLINGS {
                continue;
            }
            last_number += 1;
            let (messages, writer) = split_messages(stream);
            self.update_sibling(last_number, Some(ProcessState::default())).await;
            tokio::spawn(self.create_session(last_number, messages, writer, false).run());
        }
    }

    /// Creates the session of a new connection.
    fn create_session(
        &self,
        number: u64,
        messages: MessageReader,
        writer: UnixWriter,
        is_verified: bool,
    ) -> SiblingSession {
        SiblingSession {
            published: self.context.published.clone(),
            open_ids: self.context.open_ids.follow(),
            connections: self.clone(),
            number,
            messages,
            writer,
            is_verified,
            unverified_list: None,
            sent_list_index: None,
        }
    }

    /// Records the state of a sibling, `None` if it has disconnected, and applies the summary of all
    /// siblings' states.
    async fn update_sibling(&self, number: u64, state: Option<ProcessState>) {
        let summary = {
            let mut states = self.lock_states();
            match state {
                Some(state) => _ = states.insert(number, state),
                None => _ = states.remove(&number),
            }
            SiblingSummary::aggregate(self.own_rank, states.values())
        };
        self.context.pending_clients.set_sibling_sockets(summary.descriptors);
        if summary.restore_phase_over {
            self.context.pending_clients.end_restore_phase();
        }
        // The successor is set before this process stops accepting clients, so that connections can be handed
        // off to it from then on.
        self.update_successor(summary.successor_rank);
        self.update_accepting(!summary.has_ready_successor);
        let event = DriverEvent::SiblingState { usage: summary.server_usage, cordons: summary.cordons };
        self.context.event_loop.send(event).await;
    }

    fn update_successor(&self, successor_rank: Option<u64>) {
        self.context.successor.send_if_modified(|successor| {
            if successor.as_ref().map(|successor| successor.rank) == successor_rank {
                return false;
            }
            *successor = successor_rank.and_then(|rank| self.connect_to_successor(rank)).map(Arc::new);
            true
        });
    }

    fn connect_to_successor(&self, rank: u64) -> Option<Successor> {
        Successor::connect(&self.context.state_folder.handoff_path(rank), rank).ok()
    }

    fn update_accepting(&self, accepts_clients: bool) {
        self.context.accepting.send_if_modified(|accepting| {
            if *accepting == accepts_clients {
                return false;
            }
            match accepts_clients {
                true => info!("handover: this process accepts clients from now on"),
                false => info!("handover: the successor accepts clients from now on"),
            }
            *accepting = accepts_clients;
            true
        });
    }
}

/// Session on the connection to one sibling.
struct SiblingSession {
    connections: SiblingConnections,
    number: u64,
    messages: MessageReader,
    writer: UnixWriter,
    published: watch::Receiver<PublishedState>,
    /// Request ids of this process that the sibling has not been sent.
    open_ids: OpenIdFollower,
    /// Whether the sibling's state has shown that it is of the same deployment. Its endpoint list is not used
    /// before.
    is_verified: bool,
    /// Endpoint list that was received before the first state.
    unverified_list: Option<EndpointList>,
    /// Index of the last sent endpoint list.
    sent_list_index: Option<u64>,
}

impl SiblingSession {
    /// Serves the sibling until it disconnects.
    async fn run(mut self) {
        self.published.mark_changed();
        while self.serve_next().await.is_continue() {}
        self.connections.update_sibling(self.number, None).await;
        // Connections that the sibling has handed off may not have been adopted yet.
        sleep(ADOPTION_TIME).await;
        self.connections.context.open_ids.forget_sibling(self.number);
    }

    async fn serve_next(&mut self) -> ControlFlow<()> {
        tokio::select! {
            message = self.messages.next() => match message {
                Some(Ok(SiblingMessage::State(state))) => self.handle_state(state).await,
                Some(Ok(SiblingMessage::List(list))) => self.handle_list(list).await,
                Some(Err(error)) => {
                    info!("handover: cannot decode a sibling's message: {error}; closing the connection");
                    ControlFlow::Break(())
                }
                None => ControlFlow::Break(()),
            },
            changed = self.published.changed() => match changed {
                Ok(()) => self.send_published_state().await,
                Err(_) => ControlFlow::Break(()),
            },
            () = next_id_batch(&mut self.open_ids) => self.send_published_state().await,
        }
    }

    async fn handle_state(&mut self, state: ProcessState) -> ControlFlow<()> {
        if let Some(deployment) = self.connections.context.state_folder.foreign_deployment(&state) {
            info!("handover: {}", ForeignProcess(deployment));
            return ControlFlow::Break(());
        }
        self.is_verified = true;
        self.connections.context.open_ids.apply_sibling_changes(self.number, &state.open_id_changes);
        self.connections.update_sibling(self.number, Some(state)).await;
        match self.unverified_list.take() {
            Some(list) => self.handle_list(list).await,
            None => ControlFlow::Continue(()),
        }
    }

    async fn handle_list(&mut self, list: EndpointList) -> ControlFlow<()> {
        if self.is_verified {
            self.connections.context.event_loop.send(DriverEvent::SiblingList { list }).await;
        } else {
            self.unverified_list = Some(list);
        }
        ControlFlow::Continue(())
    }

    async fn send_published_state(&mut self) -> ControlFlow<()> {
        let PublishedState { mut process, endpoint_list } = self.published.borrow_and_update().clone();
        // The restore phase may have ended since the event loop published the state.
        process.restore_phase_over |= self.connections.context.pending_clients.restore_phase_is_over();
        let mut lines = Vec::new();
        // The list is sent first, because a sibling that starts only waits until it has received the state.
        if let Some(list) = endpoint_list.filter(|list| self.sent_list_index != Some(list.index)) {
            self.sent_list_index = Some(list.index);
            lines.extend_from_slice(&SiblingMessage::List(EndpointList::clone(&list)).encode_line());
        }
        loop {
            *process.open_id_changes = self.open_ids.take(MAX_IDS_LENGTH);
            lines.extend_from_slice(&SiblingMessage::State(process.clone()).encode_line());
            if !self.open_ids.has_untaken() {
                break;
            }
        }
        match timeout(WRITE_TIMEOUT, self.writer.write_all(&lines)).await {
            Ok(Ok(())) => ControlFlow::Continue(()),
            _ => ControlFlow::Break(()),
        }
    }
}
