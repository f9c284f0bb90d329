//! Meets the other process of this balancer at a Unix socket in `$TMPDIR`, and keeps a file there.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read};
use std::os::fd::AsFd;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, LazyLock, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashtide_stream::{UnixReader, UnixWriter, split_unix};
use futures_util::StreamExt;
use futures_util::future::join_all;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::codec::FramedRead;
use tracing::info;

use super::connection_handoff::{HandoffReceiver, Successor};
use super::messages::{DriverEvent, EventLoopHandle};
use super::pending_clients::PendingClients;
use super::rate_limited_log::RateLimitedLog;
use super::storage::StagedFile;
use crate::config::Config;
use crate::discovery::EndpointList;
use crate::handover::{
    Cordons, Deployment, MAX_MESSAGE_LENGTH, PersistedState, ProcessState, ServerUsage, SiblingMessage,
    SiblingMessageCodec, SiblingSummary, rank_after,
};

/// How long a younger process waits for what the older has to tell, before it serves without.
const MEETING_TIMEOUT: Duration = Duration::from_millis(500);
/// A word that takes longer to write has no reader.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Processes of one balancer that may meet; an upgrade has two.
const MAX_SIBLINGS: usize = 4;
/// Sockets of the same name that are tried, the youngest first: other deployments' may be among them.
const MAX_SOCKETS_TRIED: usize = 16;
/// Files of the same name that are looked at for ours, as others may be other deployments'.
const MAX_STATE_FILES: usize = 8;
/// The longest file that is read; what is longer is none of ours.
const MAX_STATE_FILE_LENGTH: u64 = MAX_MESSAGE_LENGTH as u64;
/// After an accept that failed, the next one waits a little.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

static PERSIST_LOG: RateLimitedLog = RateLimitedLog::new("handover");

/// What a process tells the others, as it changes.
#[derive(Debug, Clone, Default)]
pub struct PublishedState {
    /// How it stands.
    pub process: ProcessState,
    /// The list as it has it.
    pub endpoint_list: Option<Arc<EndpointList>>,
}

/// Whose the process is that was told this and takes clients at this listener.
pub fn describe_deployment(config: &Config, listener: &TcpListener) -> Deployment {
    let names = config.settings.name_tables();
    let all = |names: &[String]| names.iter().cloned().collect();
    let (listen, socket) = match config.inherited_listener {
        Some(_) => {
            let copy = listener.as_fd().try_clone_to_owned().ok();
            let number = copy.and_then(|copy| Some(File::from(copy).metadata().ok()?.ino()));
            (listener.local_addr().ok(), number)
        }
        None => (Some(config.listen_address).filter(|listen| listen.port() != 0), None),
    };
    Deployment {
        name: config.name.clone(),
        listen,
        socket,
        classes: all(names.classes.names()),
        tenants: all(names.tenants.names()),
    }
}

/// What a file is to this process.
enum StateFile {
    /// There is none.
    Missing,
    /// Ours; or perhaps so, as it does not say whose it is.
    Own(PersistedState),
    /// It cannot be read by anyone, and why.
    Corrupt(String),
    /// It is left alone, and why.
    Foreign(String),
}

/// A place where the processes of one balancer meet, and what is kept there.
#[derive(Debug, Clone)]
pub struct StateFolder {
    folder: PathBuf,
    /// What all names here begin with: several balancers may share a folder.
    file_prefix: String,
    deployment: Arc<Deployment>,
}

impl StateFolder {
    /// The place in a folder of a balancer of which no more than the name is known.
    pub fn for_balancer(folder: &Path, balancer: &str) -> Self {
        Self::for_deployment(folder, Deployment { name: balancer.to_owned(), ..Deployment::default() })
    }

    /// This deployment's place in a folder.
    pub fn for_deployment(folder: &Path, deployment: Deployment) -> Self {
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        Self {
            folder: folder.to_owned(),
            file_prefix: format!("ashtide.{}", deployment.name.replace(|c| plain(c) != c, "_")),
            deployment: Arc::new(deployment),
        }
    }

    /// The other deployment whose process stands so; none where it is ours or does not say.
    fn foreign_deployment<'a>(&self, state: &'a ProcessState) -> Option<&'a Deployment> {
        state.whose.as_ref().filter(|other| !self.deployment.is_same_deployment(other))
    }

    /// Whose place it is.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// A file of the balancer's, beside its others, that ends like this.
    pub fn file_path(&self, suffix: &str) -> PathBuf {
        self.folder.join(format!("{}.{suffix}", self.file_prefix))
    }

    /// The rank of this process among those of its gateway, which have their sockets here.
    pub fn next_rank(&self) -> u64 {
        rank_after(unix_micros(), self.ranked_sockets().into_iter().map(|(rank, _)| rank), std::process::id())
    }

    fn socket_path(&self, rank: u64) -> PathBuf {
        self.file_path(&format!("{rank}.sock"))
    }

    fn handoff_path(&self, rank: u64) -> PathBuf {
        self.file_path(&format!("{rank}.inbox"))
    }

    /// Where this process receives the connections of one that leaves; nothing, said once, where it cannot.
    pub fn bind_handoff_receiver(&self, rank: u64) -> Option<HandoffReceiver> {
        let path = self.handoff_path(rank);
        let inbox = HandoffReceiver::bind(&path);
        inbox.map_err(|e| info!("handover: {}: {e}; takes no connections over", path.display())).ok()
    }

    /// Takes away what this process listened at.
    pub fn remove_sockets(&self, rank: u64) {
        let _ = std::fs::remove_file(self.socket_path(rank));
        let _ = std::fs::remove_file(self.handoff_path(rank));
    }

    fn state_file_path(&self, number: usize) -> PathBuf {
        match number {
            1 => self.file_path("kept"),
            _ => self.file_path(&format!("{number}.kept")),
        }
    }

    fn read_state_file(&self, path: &Path) -> StateFile {
        let read = || -> io::Result<Option<Vec<u8>>> {
            // Neither waits at a pipe nor reads what has no end.
            let told = std::fs::metadata(path)?;
            if !told.is_file() || told.len() > MAX_STATE_FILE_LENGTH {
                return Ok(None);
            }
            let mut text = Vec::new();
            File::open(path)?.take(MAX_STATE_FILE_LENGTH + 1).read_to_end(&mut text)?;
            Ok(Some(text).filter(|text| text.len() as u64 <= MAX_STATE_FILE_LENGTH))
        };
        let text = match read() {
            Ok(Some(text)) => text,
            Ok(None) => {
                return StateFile::Foreign(format!("no file of at most {MAX_STATE_FILE_LENGTH} bytes"));
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => return StateFile::Missing,
            Err(error) => return StateFile::Foreign(error.to_string()),
        };
        match serde_json::from_slice::<PersistedState>(&text) {
            Err(error) => StateFile::Corrupt(error.to_string()),
            Ok(kept) => match &kept.whose {
                Some(other) if !self.deployment.is_same_deployment(other) => {
                    StateFile::Foreign(format!("it is {other}'s"))
                }
                _ => StateFile::Own(kept),
            },
        }
    }

    /// Our file and what is in it, else the first place that is free; `say` hears of what is passed over.
    /// Another deployment's is left as it is, and ours stands beside it under the next number.
    fn find_state_file(&self, mut say: impl FnMut(&Path, &str)) -> Option<(PathBuf, StateFile)> {
        let mut best: Option<(PathBuf, StateFile)> = None;
        for number in 1..=MAX_STATE_FILES {
            let path = self.state_file_path(number);
            let found = self.read_state_file(&path);
            match &found {
                StateFile::Own(PersistedState { whose: Some(_), .. }) => return Some((path, found)),
                StateFile::Foreign(why) => say(&path, why),
                // What does not say whose it is goes before what nobody has.
                StateFile::Own(_) if !matches!(best, Some((_, StateFile::Own(_)))) => {
                    best = Some((path, found))
                }
                _ => best = best.or(Some((path, found))),
            }
        }
        best
    }

    /// What earlier processes of this deployment have kept; nothing where there is no file that can be read.
    pub fn load(&self) -> PersistedState {
        let other = |path: &Path, why: &str| {
            info!(
                "handover: {}: {why}; left alone, ours is kept beside it; give each balancer a name or \
                 a TMPDIR of its own, or remove it if it is nobody's",
                path.display()
            );
        };
        match self.find_state_file(other) {
            Some((_, StateFile::Own(kept))) => kept,
            Some((path, StateFile::Corrupt(error))) => {
                info!("handover: {}: {error}; begun anew", path.display());
                PersistedState::default()
            }
            _ => PersistedState::default(),
        }
    }

    /// Keeps this: whole or not at all.
    ///
    /// # Errors
    ///
    /// Fails where the folder cannot be written, or all files of this name are other deployments'.
    pub fn store(&self, kept: &PersistedState) -> io::Result<()> {
        let kept = PersistedState { whose: Some(self.deployment().clone()), ..kept.clone() };
        let aside = StagedFile::stage(&self.file_path("kept"), &serde_json::to_vec(&kept)?)?;
        for _ in 0..MAX_STATE_FILES {
            let Some((path, found)) = self.find_state_file(|_, _| ()) else { break };
            if matches!(found, StateFile::Missing) {
                // Another deployment may take the name at this moment: only one of the two gets it.
                match aside.create_destination(&path) {
                    Ok(()) => return Ok(()),
                    Err(error) if error.kind() == io::ErrorKind::AlreadyExists => continue,
                    // Not all file systems have such links.
                    Err(_) => {}
                }
            }
            return aside.replace_destination(&path);
        }
        Err(io::Error::other(format!("all {MAX_STATE_FILES} files of this name are other deployments'")))
    }

    /// The sockets of this name, the youngest first.
    fn sibling_sockets(&self) -> Vec<PathBuf> {
        self.ranked_sockets().into_iter().take(MAX_SOCKETS_TRIED).map(|(_, path)| path).collect()
    }

    /// The sockets of this name with the ranks of their processes, the highest first.
    fn ranked_sockets(&self) -> Vec<(u64, PathBuf)> {
        let rank_of = |path: &Path| {
            let name = path.file_name()?.to_str()?.strip_prefix(&self.file_prefix)?.strip_prefix('.')?;
            name.strip_suffix(".sock")?.parse::<u64>().ok()
        };
        let entries = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let mut all: Vec<_> =
            entries.map(|entry| entry.path()).filter_map(|path| Some((rank_of(&path)?, path))).collect();
        all.sort_unstable_by(|one, two| two.cmp(one));
        all
    }
}

/// Milliseconds, with a sign, by which this process takes its machine's clock to be wrong. For tests alone:
/// they put processes whose clocks differ beside each other.
pub const CLOCK_OFFSET_VARIABLE: &str = "ASHTIDE_CLOCK_OFFSET_MS";

/// A microsecond of Unix time. All of the process that reads a clock others can read, too, reads it here.
pub fn unix_micros() -> u64 {
    static OFFSET: LazyLock<i64> = LazyLock::new(|| {
        let told = std::env::var(CLOCK_OFFSET_VARIABLE).ok().and_then(|ms| ms.parse::<i64>().ok());
        told.unwrap_or_default().saturating_mul(1000)
    });
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(unix.as_micros()).unwrap_or(u64::MAX).saturating_add_signed(*OFFSET)
}

type MessageReader = FramedRead<UnixReader, SiblingMessageCodec>;

/// What the core has of its own process: what it tells the others, and what it keeps.
pub struct SiblingLink {
    /// Who is here, and whether the run has begun.
    pub pending_clients: PendingClients,
    state_folder: Option<StateFolder>,
    persisted: PersistedState,
    reserved_descriptors: usize,
    /// Whether what is kept has changed since it was last on disk.
    has_unsaved_changes: bool,
    published: watch::Sender<PublishedState>,
    successor: watch::Receiver<Option<Arc<Successor>>>,
}

impl SiblingLink {
    /// The post of a process that stands like this and holds `own` descriptors beside its clients'.
    pub fn new(
        lobby: PendingClients,
        place: Option<StateFolder>,
        kept: PersistedState,
        own: usize,
        state: ProcessState,
        heir: watch::Receiver<Option<Arc<Successor>>>,
    ) -> Self {
        let telling = watch::Sender::new(PublishedState { process: state, endpoint_list: None });
        Self {
            pending_clients: lobby,
            state_folder: place,
            persisted: kept,
            reserved_descriptors: own,
            has_unsaved_changes: false,
            published: telling,
            successor: heir,
        }
    }

    /// The successor, once it takes standing connections over.
    pub fn successor(&self) -> Option<Arc<Successor>> {
        self.successor.borrow().clone()
    }

    /// What is told, as it changes.
    pub fn subscribe(&self) -> watch::Receiver<PublishedState> {
        self.published.subscribe()
    }

    /// How the process stands now.
    pub fn publish(&mut self, ready: bool, shares: BTreeMap<String, ServerUsage>) {
        let begun = self.pending_clients.restore_phase_is_over();
        if begun != self.persisted.begun {
            self.persisted.begun = begun;
            self.has_unsaved_changes = true;
        }
        if self.has_unsaved_changes
            && let Err(error) = self.persist()
        {
            let file = self.state_folder.as_ref().map(|place| place.file_path("kept")).unwrap_or_default();
            PERSIST_LOG.log(format_args!("{}: {error}; tried again", file.display()));
        }
        let sockets = self.reserved_descriptors + self.pending_clients.sockets_in_use();
        self.published.send_modify(|telling| {
            let cordons = self.persisted.cordons.clone();
            let whose = telling.process.whose.take();
            telling.process =
                ProcessState { whose, ready, begun, sockets, shares, cordons, ..telling.process };
        });
    }

    /// Takes an operator's call and keeps it.
    ///
    /// # Errors
    ///
    /// Fails where it cannot be kept; it holds for this process all the same.
    pub fn record_cordon(&mut self, server: &str, out: bool) -> io::Result<()> {
        self.persisted.cordons.record_now(server, unix_micros(), out);
        self.persist()
    }

    /// Takes the calls that other processes had; the servers for which that changes anything.
    pub fn merge_cordons(&mut self, cordons: &Cordons) -> Vec<(String, bool)> {
        let changed = self.persisted.cordons.merge(cordons);
        // The other's file may be overwritten by one that this process writes.
        self.has_unsaved_changes |= !changed.is_empty();
        changed
    }

    /// The servers that operators have taken out.
    pub fn cordons(&self) -> &Cordons {
        &self.persisted.cordons
    }

    /// The list as it is now; it goes out with the next word of how the process stands.
    pub fn publish_list(&mut self, list: EndpointList) {
        self.published.send_if_modified(|telling| {
            telling.endpoint_list = Some(Arc::new(list));
            false
        });
    }

    /// Keeps what has changed. Where that fails it is tried again as the process next tells how it stands.
    fn persist(&mut self) -> io::Result<()> {
        let kept = self.state_folder.as_ref().map_or(Ok(()), |place| place.store(&self.persisted));
        self.has_unsaved_changes = kept.is_err();
        kept
    }
}

/// A link to a process that was met.
struct SiblingConnection {
    messages: MessageReader,
    writer: UnixWriter,
    /// How the other stands; nothing where it has told nothing yet.
    state: Option<ProcessState>,
}

/// What older processes have told at the meeting, and the links to them.
pub struct DiscoveredSiblings {
    connections: Vec<SiblingConnection>,
    listener: Option<UnixListener>,
    /// Their list, where they have one.
    pub endpoint_list: Option<EndpointList>,
}

/// Connects to the process that listens here, and waits a while for what it tells.
async fn connect_to_sibling(path: PathBuf) -> Option<(PathBuf, SiblingConnection, Option<EndpointList>)> {
    match timeout(MEETING_TIMEOUT, UnixStream::connect(&path)).await {
        Ok(Ok(link)) => {
            let (read, write) = split_unix(link);
            let mut words = FramedRead::new(read, SiblingMessageCodec::default());
            let mut list = None;
            let told = async {
                while let Some(Ok(word)) = words.next().await {
                    match word {
                        SiblingMessage::List(news) => list = Some(news),
                        SiblingMessage::State(state) => return Some(state),
                    }
                }
                None
            };
            let state = timeout(MEETING_TIMEOUT, told).await.ok().flatten();
            Some((path, SiblingConnection { messages: words, writer: write, state }, list))
        }
        // What a killed process has left; one that is there but full answers otherwise.
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            let _ = std::fs::remove_file(&path);
            let _ = std::fs::remove_file(path.with_extension("inbox"));
            None
        }
        _ => None,
    }
}

/// Meets those that run already, all at once, then listens for those to come. Never fails: alone is alone.
/// Another deployment's process is left alone, and its socket, too.
pub async fn discover_siblings(state_folder: &StateFolder, own_rank: u64) -> DiscoveredSiblings {
    let mut met = DiscoveredSiblings { connections: Vec::new(), listener: None, endpoint_list: None };
    let greeted = join_all(state_folder.sibling_sockets().into_iter().map(connect_to_sibling)).await;
    for (path, link, list) in greeted.into_iter().flatten() {
        if let Some(other) = link.state.as_ref().and_then(|state| state_folder.foreign_deployment(state)) {
            info!("handover: {}: {}", path.display(), ForeignProcess(other));
            continue;
        }
        match &link.state {
            Some(state) => {
                info!("handover: met an older process, {} connections by server", state.shares.len());
                met.endpoint_list = list.or(met.endpoint_list);
            }
            None => info!("handover: an older process tells nothing"),
        }
        if met.connections.len() < MAX_SIBLINGS {
            met.connections.push(link);
        }
    }
    let path = state_folder.socket_path(own_rank);
    let _ = std::fs::remove_file(&path);
    match UnixListener::bind(&path) {
        Ok(listener) => met.listener = Some(listener),
        Err(error) => info!("handover: {}: {error}; a successor will not meet this one", path.display()),
    }
    met
}

/// Says why another deployment's process is left alone.
struct ForeignProcess<'a>(&'a Deployment);

impl std::fmt::Display for ForeignProcess<'_> {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let other = self.0;
        write!(
            to,
            "a process of another deployment, {other}; left alone, give each a name or a TMPDIR of its own"
        )
    }
}

impl DiscoveredSiblings {
    /// What those that were met are, together.
    pub fn summary(&self, own_rank: u64) -> SiblingSummary {
        SiblingSummary::aggregate(own_rank, self.connections.iter().filter_map(|link| link.state.as_ref()))
    }
}

/// All links of a process, and who has to know of what comes over them.
#[derive(Clone)]
struct SiblingConnections {
    own_rank: u64,
    sibling_states: Arc<Mutex<BTreeMap<u64, ProcessState>>>,
    published: watch::Receiver<PublishedState>,
    pending_clients: PendingClients,
    accepting: watch::Sender<bool>,
    event_loop: EventLoopHandle,
    state_folder: StateFolder,
    successor: watch::Sender<Option<Arc<Successor>>>,
}

/// Keeps the links for as long as the process runs.
pub async fn run(
    met: DiscoveredSiblings,
    telling: watch::Receiver<PublishedState>,
    lobby: PendingClients,
    accepting: watch::Sender<bool>,
    core: EventLoopHandle,
    place: StateFolder,
    heirs: watch::Sender<Option<Arc<Successor>>>,
) {
    let started = telling.borrow().process.started;
    let links = SiblingConnections {
        own_rank: started,
        sibling_states: Arc::default(),
        published: telling,
        pending_clients: lobby,
        accepting,
        event_loop: core,
        state_folder: place,
        successor: heirs,
    };
    let mut number = 0;
    for SiblingConnection { messages: words, writer: write, state } in met.connections {
        let ours = state.is_some();
        links.update_sibling(number, Some(state.unwrap_or_default())).await;
        tokio::spawn(links.clone().serve_sibling(number, words, write, ours));
        number += 1;
    }
    let Some(listener) = met.listener else { return };
    loop {
        let Ok((link, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if links.sibling_states.lock().unwrap_or_else(PoisonError::into_inner).len() >= MAX_SIBLINGS {
            continue;
        }
        number += 1;
        let (read, write) = split_unix(link);
        links.update_sibling(number, Some(ProcessState::default())).await;
        tokio::spawn(links.clone().serve_sibling(
            number,
            FramedRead::new(read, SiblingMessageCodec::default()),
            write,
            false,
        ));
    }
}

impl SiblingConnections {
    /// Keeps one link; `ours` where the other end has said whose it is already. Before it does, none of its
    /// words is taken.
    async fn serve_sibling(
        mut self,
        number: u64,
        mut words: MessageReader,
        mut write: UnixWriter,
        mut ours: bool,
    ) {
        let (mut told, mut early) = (None, None);
        self.published.mark_changed();
        loop {
            tokio::select! {
                word = words.next() => match word {
                    Some(Ok(SiblingMessage::State(state))) => {
                        if let Some(other) = self.state_folder.foreign_deployment(&state) {
                            info!("handover: {}", ForeignProcess(other));
                            break;
                        }
                        ours = true;
                        self.update_sibling(number, Some(state)).await;
                        if let Some(news) = early.take() {
                            self.event_loop.send(DriverEvent::SiblingList { list: news }).await;
                        }
                    }
                    Some(Ok(SiblingMessage::List(news))) if ours => self.event_loop.send(DriverEvent::SiblingList { list: news }).await,
                    Some(Ok(SiblingMessage::List(news))) => early = Some(news),
                    Some(Err(error)) => {
                        info!("handover: {error}");
                        break;
                    }
                    None => break,
                },
                changed = self.published.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    let PublishedState { mut process, endpoint_list } = self.published.borrow_and_update().clone();
                    // The core tells a few times a second; the run may have begun since.
                    process.begun |= self.pending_clients.restore_phase_is_over();
                    let mut lines = Vec::new();
                    // The list goes first: the state is what the other waits for.
                    if let Some(list) = endpoint_list.filter(|list| told.replace(list.index) != Some(list.index)) {
                        lines.extend_from_slice(&SiblingMessage::List(EndpointList::clone(&list)).encode_line());
                    }
                    lines.extend_from_slice(&SiblingMessage::State(process).encode_line());
                    if !matches!(timeout(WRITE_TIMEOUT, write.write_all(&lines)).await, Ok(Ok(()))) {
                        break;
                    }
                }
            }
        }
        self.update_sibling(number, None).await;
    }

    /// Notes how a link's other end stands, and lets everyone know what follows.
    async fn update_sibling(&self, number: u64, state: Option<ProcessState>) {
        let others = {
            let mut states = self.sibling_states.lock().unwrap_or_else(PoisonError::into_inner);
            match state {
                Some(state) => _ = states.insert(number, state),
                None => _ = states.remove(&number),
            }
            SiblingSummary::aggregate(self.own_rank, states.values())
        };
        self.pending_clients.set_sibling_sockets(others.descriptors);
        if others.restore_phase_over {
            self.pending_clients.end_restore_phase();
        }
        // Before the successor takes the clients: once that is said, connections can be passed to it.
        self.successor.send_if_modified(|heir| {
            let changed = heir.as_ref().map(|heir| heir.rank) != others.successor_rank;
            if changed {
                let way =
                    |started| Successor::connect(&self.state_folder.handoff_path(started), started).ok();
                *heir = others.successor_rank.and_then(way).map(Arc::new);
            }
            changed
        });
        self.accepting.send_if_modified(|accepting| {
            let changed = *accepting == others.has_ready_successor;
            if changed {
                let what =
                    if others.has_ready_successor { "its successor takes" } else { "this process takes" };
                info!("handover: {what} the clients from now on");
            }
            *accepting = !others.has_ready_successor;
            changed
        });
        self.event_loop
            .send(DriverEvent::SiblingState { usage: others.server_usage, cordons: others.cordons })
            .await;
    }
}
