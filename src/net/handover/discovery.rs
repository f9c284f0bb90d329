//! Discovery of the processes of this gateway that run already.

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

/// How long a new process waits for the state of an older one before it starts without.
const MEETING_TIMEOUT: Duration = Duration::from_millis(500);
/// Siblings that a process is connected to at most; an upgrade has one.
pub(super) const MAX_SIBLINGS: usize = 4;

/// Reads the messages of a sibling.
pub(super) type MessageReader = FramedRead<UnixReader, SiblingMessageCodec>;

/// Splits a stream to a sibling into messages and a writer.
pub(super) fn split_messages(stream: UnixStream) -> (MessageReader, UnixWriter) {
    let (reader, writer) = split_unix(stream);
    (FramedRead::new(reader, SiblingMessageCodec::default()), writer)
}

/// A connection to a sibling that was discovered.
pub(super) struct SiblingConnection {
    pub(super) messages: MessageReader,
    pub(super) writer: UnixWriter,
    /// State of the sibling; `None` where it has sent none in time.
    pub(super) state: Option<ProcessState>,
}

/// A discovered sibling with everything that it has sent so far.
struct Greeting {
    path: PathBuf,
    connection: SiblingConnection,
    endpoint_list: Option<EndpointList>,
}

/// The siblings that run already.
pub struct DiscoveredSiblings {
    pub(super) connections: Vec<SiblingConnection>,
    /// Accepts the siblings that start later; `None` where it cannot be bound.
    pub(super) listener: Option<UnixListener>,
    /// Endpoint list of a sibling, where one has sent its list.
    pub endpoint_list: Option<EndpointList>,
}

impl DiscoveredSiblings {
    /// Summarizes the states of the siblings for the process of `own_rank`.
    pub fn summary(&self, own_rank: u64) -> SiblingSummary {
        let states = self.connections.iter().filter_map(|connection| connection.state.as_ref());
        SiblingSummary::aggregate(own_rank, states)
    }

    fn add(&mut self, greeting: Greeting) {
        match &greeting.connection.state {
            Some(state) => {
                info!(
                    "handover: received state from the previous process (usage of {} servers)",
                    state.server_usage.len()
                );
                self.endpoint_list = greeting.endpoint_list.or(self.endpoint_list.take());
            }
            None => info!("handover: the previous process has sent no state in time"),
        }
        if self.connections.len() < MAX_SIBLINGS {
            self.connections.push(greeting.connection);
        }
    }
}

/// Connects to all siblings that run already, then listens for later ones.
///
/// Failures are logged and leave a process without siblings. Processes of other deployments, and their sockets, are
/// left alone.
pub async fn discover_siblings(state_folder: &StateFolder, own_rank: u64) -> DiscoveredSiblings {
    let mut siblings = DiscoveredSiblings { connections: Vec::new(), listener: None, endpoint_list: None };
    let greetings = join_all(state_folder.sibling_sockets().into_iter().map(connect_to_sibling)).await;
    for greeting in greetings.into_iter().flatten() {
        let state = greeting.connection.state.as_ref();
        match state.and_then(|state| state_folder.foreign_deployment(state)) {
            Some(other) => info!("handover: {}: {}", greeting.path.display(), ForeignProcess(other)),
            None => siblings.add(greeting),
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
            info!("handover: {}: {error}; a successor cannot connect to this process", path.display());
            None
        }
    }
}

/// Connects to the process that listens at a socket, and waits for its first state.
async fn connect_to_sibling(path: PathBuf) -> Option<Greeting> {
    match timeout(MEETING_TIMEOUT, UnixStream::connect(&path)).await {
        Ok(Ok(stream)) => Some(receive_greeting(path, stream).await),
        // Left behind by a process that was killed; a process that runs and is overloaded fails otherwise.
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            let _ = std::fs::remove_file(&path);
            let _ = std::fs::remove_file(path.with_extension("inbox"));
            None
        }
        _ => None,
    }
}

async fn receive_greeting(path: PathBuf, stream: UnixStream) -> Greeting {
    let (mut messages, writer) = split_messages(stream);
    let mut endpoint_list = None;
    let first_state = receive_first_state(&mut messages, &mut endpoint_list);
    let state = timeout(MEETING_TIMEOUT, first_state).await.ok().flatten();
    Greeting { path, connection: SiblingConnection { messages, writer, state }, endpoint_list }
}

/// Reads up to the first state; the list, if any, comes before it.
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

/// Displays why a process of another deployment is left alone.
pub(super) struct ForeignProcess<'a>(pub(super) &'a Deployment);

impl fmt::Display for ForeignProcess<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let deployment = self.0;
        write!(
            formatter,
            "process belongs to another deployment, {deployment}; leaving it alone; give each gateway a name or a \
             TMPDIR of its own"
        )
    }
}
