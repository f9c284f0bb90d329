//! Discovery of the sibling processes that are already running.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ashtide_stream::{UnixReader, UnixWriter, split_unix};
use futures_util::StreamExt;
use futures_util::future::join_all;
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;
use tokio_util::codec::FramedRead;
use tracing::info;

use super::state_folder::StateFolder;
use crate::discovery::EndpointList;
use crate::handover::{Deployment, ProcessState, SiblingMessage, SiblingMessageCodec, SiblingSummary};

/// Time limit for connecting to a sibling, and again for receiving its state. After it, a new process starts
/// without the sibling's state.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of connected siblings. An upgrade has one.
pub(super) const MAX_SIBLINGS: usize = 4;

/// Reader of the messages of a sibling.
pub(super) type MessageReader = FramedRead<UnixReader, SiblingMessageCodec>;

/// Splits a stream to a sibling into a message reader and a writer.
pub(super) fn split_messages(stream: UnixStream) -> (MessageReader, UnixWriter) {
    let (reader, writer) = split_unix(stream);
    (FramedRead::new(reader, SiblingMessageCodec::default()), writer)
}

/// Connection to a discovered sibling.
pub(super) struct SiblingConnection {
    pub(super) messages: MessageReader,
    pub(super) writer: UnixWriter,
    /// State of the sibling; `None` if it has sent none within the time limit.
    pub(super) state: Option<ProcessState>,
}

/// Discovered sibling, with the state and the endpoint list that it has sent.
struct DiscoveredSibling {
    path: PathBuf,
    connection: SiblingConnection,
    endpoint_list: Option<EndpointList>,
}

/// Siblings that were already running when this process started.
pub struct DiscoveredSiblings {
    pub(super) connections: Vec<SiblingConnection>,
    /// Listener for siblings that start later; `None` if its path cannot be bound.
    pub(super) listener: Option<UnixListener>,
    /// Endpoint list of a sibling; `None` if none has sent its list.
    pub endpoint_list: Option<EndpointList>,
}

impl DiscoveredSiblings {
    /// Summarizes the states of the siblings for the process with rank `own_rank`.
    pub fn summary(&self, own_rank: u64) -> SiblingSummary {
        let states = self.connections.iter().filter_map(|connection| connection.state.as_ref());
        SiblingSummary::aggregate(own_rank, states)
    }

    fn add(&mut self, sibling: DiscoveredSibling) {
        match &sibling.connection.state {
            Some(state) => {
                info!(
                    "handover: received state from the previous process (usage of {} servers)",
                    state.server_usage.len()
                );
                self.endpoint_list = sibling.endpoint_list.or(self.endpoint_list.take());
            }
            None => info!("handover: the previous process has sent no state in time"),
        }
        if self.connections.len() < MAX_SIBLINGS {
            self.connections.push(sibling.connection);
        }
    }
}

/// Connects to all running siblings, then listens for later ones.
///
/// Failures are logged, and the process continues without the sibling or the listener concerned. Processes of
/// other deployments and their sockets are left unchanged.
pub async fn discover_siblings(state_folder: &StateFolder, own_rank: u64) -> DiscoveredSiblings {
    let mut siblings = DiscoveredSiblings { connections: Vec::new(), listener: None, endpoint_list: None };
    let discovered = join_all(state_folder.sibling_sockets().into_iter().map(connect_to_sibling)).await;
    for sibling in discovered.into_iter().flatten() {
        let state = sibling.connection.state.as_ref();
        match state.and_then(|state| state_folder.foreign_deployment(state)) {
            Some(deployment) => info!("handover: {}: {}", sibling.path.display(), ForeignProcess(deployment)),
            None => siblings.add(sibling),
        }
    }
    siblings.listener = listen_for_siblings(&state_folder.socket_path(own_rank));
    siblings
}

fn listen_for_siblings(path: &Path) -> Option<UnixListener> {
    let _ = std::fs::remove_file(path);
    match UnixListener::bind(path) {
        Ok(listener) => Some(listener),
        Err(error) => {
            info!(
                "handover: cannot listen on {}: {error}; a successor cannot connect to this process",
                path.display()
            );
            None
        }
    }
}

/// Connects to the process that listens at a socket, and waits for its first state.
async fn connect_to_sibling(path: PathBuf) -> Option<DiscoveredSibling> {
    match timeout(DISCOVERY_TIMEOUT, UnixStream::connect(&path)).await {
        Ok(Ok(stream)) => Some(receive_initial_messages(path, stream).await),
        // The socket is a remnant of a killed process: a running but overloaded process causes another error.
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            let _ = std::fs::remove_file(&path);
            let _ = std::fs::remove_file(path.with_extension("inbox"));
            None
        }
        _ => None,
    }
}

async fn receive_initial_messages(path: PathBuf, stream: UnixStream) -> DiscoveredSibling {
    let (mut messages, writer) = split_messages(stream);
    let mut endpoint_list = None;
    let first_state = receive_first_state(&mut messages, &mut endpoint_list);
    let state = timeout(DISCOVERY_TIMEOUT, first_state).await.ok().flatten();
    DiscoveredSibling { path, connection: SiblingConnection { messages, writer, state }, endpoint_list }
}

/// Receives messages up to the first state. A sibling that has an endpoint list sends it before the state.
async fn receive_first_state(
    messages: &mut MessageReader,
    endpoint_list: &mut Option<EndpointList>,
) -> Option<ProcessState> {
    while let Some(Ok(message)) = messages.next().await {
        match message {
            SiblingMessage::List(list) => *endpoint_list = Some(list),
            SiblingMessage::State(state) => return Some(state),
        }
    }
    None
}

/// Displays the reason for ignoring a process of another deployment.
pub(super) struct ForeignProcess<'a>(pub(super) &'a Deployment);

impl fmt::Display for ForeignProcess<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let deployment = self.0;
        write!(
            formatter,
            "process belongs to another deployment, {deployment}; leaving it alone; \
             configure a different name or TMPDIR for each gateway"
        )
    }
}
