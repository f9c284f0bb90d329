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

use super::files::Aside;
use super::lobby::Lobby;
use super::log::Limited;
use super::passing::{Heir, Inbox};
use super::report::{Handle, Report};
use crate::config::Config;
use crate::discovery::News;
use crate::handover::{Cordons, Deployment, Kept, MAX_WORD, Others, Share, State, Word, WordCodec, rank};

/// How long a younger process waits for what the older has to tell, before it serves without.
const MEET: Duration = Duration::from_millis(500);
/// A word that takes longer to write has no reader.
const WRITE: Duration = Duration::from_secs(1);
/// Processes of one balancer that may meet; an upgrade has two.
const LINKS: usize = 4;
/// Sockets of the same name that are tried, the youngest first: other deployments' may be among them.
const TRIED: usize = 16;
/// Files of the same name that are looked at for ours, as others may be other deployments'.
const FILES: usize = 8;
/// The longest file that is read; what is longer is none of ours.
const MAX_KEPT: u64 = MAX_WORD as u64;
/// After an accept that failed, the next one waits a little.
const AFTER_FAILURE: Duration = Duration::from_millis(100);

static UNKEPT: Limited = Limited::new("handover");

/// What a process tells the others, as it changes.
#[derive(Debug, Clone, Default)]
pub struct Telling {
    /// How it stands.
    pub state: State,
    /// The list as it has it.
    pub list: Option<Arc<News>>,
}

/// Whose the process is that was told this and takes clients at this listener.
pub fn deployment(config: &Config, listener: &TcpListener) -> Deployment {
    let names = config.facts.names();
    let all = |names: &[String]| names.iter().cloned().collect();
    let (listen, socket) = match config.inherited {
        Some(_) => {
            let copy = listener.as_fd().try_clone_to_owned().ok();
            let number = copy.and_then(|copy| Some(File::from(copy).metadata().ok()?.ino()));
            (listener.local_addr().ok(), number)
        }
        None => (Some(config.listen).filter(|listen| listen.port() != 0), None),
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
enum Found {
    /// There is none.
    Nothing,
    /// Ours; or perhaps so, as it does not say whose it is.
    Ours(Kept),
    /// It cannot be read by anyone, and why.
    Torn(String),
    /// It is left alone, and why.
    Other(String),
}

/// A place where the processes of one balancer meet, and what is kept there.
#[derive(Debug, Clone)]
pub struct Place {
    folder: PathBuf,
    /// What all names here begin with: several balancers may share a folder.
    name: String,
    whose: Arc<Deployment>,
}

impl Place {
    /// The place in a folder of a balancer of which no more than the name is known.
    pub fn new(folder: &Path, balancer: &str) -> Self {
        Self::of(folder, Deployment { name: balancer.to_owned(), ..Deployment::default() })
    }

    /// This deployment's place in a folder.
    pub fn of(folder: &Path, whose: Deployment) -> Self {
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        Self {
            folder: folder.to_owned(),
            name: format!("ashtide.{}", whose.name.replace(|c| plain(c) != c, "_")),
            whose: Arc::new(whose),
        }
    }

    /// The other deployment whose process stands so; none where it is ours or does not say.
    fn other<'a>(&self, state: &'a State) -> Option<&'a Deployment> {
        state.whose.as_ref().filter(|other| !self.whose.same(other))
    }

    /// Whose place it is.
    pub fn whose(&self) -> &Deployment {
        &self.whose
    }

    /// A file of the balancer's, beside its others, that ends like this.
    pub fn beside(&self, ending: &str) -> PathBuf {
        self.folder.join(format!("{}.{ending}", self.name))
    }

    /// The rank of this process among those of its gateway, which have their sockets here.
    pub fn rank(&self) -> u64 {
        rank(unix_micros(), self.ranked_sockets().into_iter().map(|(rank, _)| rank), std::process::id())
    }

    fn socket(&self, started: u64) -> PathBuf {
        self.beside(&format!("{started}.sock"))
    }

    fn inbox(&self, started: u64) -> PathBuf {
        self.beside(&format!("{started}.inbox"))
    }

    /// Where this process receives the connections of one that leaves; nothing, said once, where it cannot.
    pub fn receive(&self, started: u64) -> Option<Inbox> {
        let path = self.inbox(started);
        let inbox = Inbox::bind(&path);
        inbox.map_err(|e| info!("handover: {}: {e}; takes no connections over", path.display())).ok()
    }

    /// Takes away what this process listened at.
    pub fn leave(&self, started: u64) {
        let _ = std::fs::remove_file(self.socket(started));
        let _ = std::fs::remove_file(self.inbox(started));
    }

    fn file(&self, number: usize) -> PathBuf {
        match number {
            1 => self.beside("kept"),
            _ => self.beside(&format!("{number}.kept")),
        }
    }

    fn look(&self, path: &Path) -> Found {
        let read = || -> io::Result<Option<Vec<u8>>> {
            // Neither waits at a pipe nor reads what has no end.
            let told = std::fs::metadata(path)?;
            if !told.is_file() || told.len() > MAX_KEPT {
                return Ok(None);
            }
            let mut text = Vec::new();
            File::open(path)?.take(MAX_KEPT + 1).read_to_end(&mut text)?;
            Ok(Some(text).filter(|text| text.len() as u64 <= MAX_KEPT))
        };
        let text = match read() {
            Ok(Some(text)) => text,
            Ok(None) => return Found::Other(format!("no file of at most {MAX_KEPT} bytes")),
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Found::Nothing,
            Err(error) => return Found::Other(error.to_string()),
        };
        match serde_json::from_slice::<Kept>(&text) {
            Err(error) => Found::Torn(error.to_string()),
            Ok(kept) => match &kept.whose {
                Some(other) if !self.whose.same(other) => Found::Other(format!("it is {other}'s")),
                _ => Found::Ours(kept),
            },
        }
    }

    /// Our file and what is in it, else the first place that is free; `say` hears of what is passed over.
    /// Another deployment's is left as it is, and ours stands beside it under the next number.
    fn find(&self, mut say: impl FnMut(&Path, &str)) -> Option<(PathBuf, Found)> {
        let mut best: Option<(PathBuf, Found)> = None;
        for number in 1..=FILES {
            let path = self.file(number);
            let found = self.look(&path);
            match &found {
                Found::Ours(Kept { whose: Some(_), .. }) => return Some((path, found)),
                Found::Other(why) => say(&path, why),
                // What does not say whose it is goes before what nobody has.
                Found::Ours(_) if !matches!(best, Some((_, Found::Ours(_)))) => best = Some((path, found)),
                _ => best = best.or(Some((path, found))),
            }
        }
        best
    }

    /// What earlier processes of this deployment have kept; nothing where there is no file that can be read.
    pub fn kept(&self) -> Kept {
        let other = |path: &Path, why: &str| {
            info!(
                "handover: {}: {why}; left alone, ours is kept beside it; give each balancer a name or \
                 a TMPDIR of its own, or remove it if it is nobody's",
                path.display()
            );
        };
        match self.find(other) {
            Some((_, Found::Ours(kept))) => kept,
            Some((path, Found::Torn(error))) => {
                info!("handover: {}: {error}; begun anew", path.display());
                Kept::default()
            }
            _ => Kept::default(),
        }
    }

    /// Keeps this: whole or not at all.
    ///
    /// # Errors
    ///
    /// Fails where the folder cannot be written, or all files of this name are other deployments'.
    pub fn keep(&self, kept: &Kept) -> io::Result<()> {
        let kept = Kept { whose: Some(self.whose().clone()), ..kept.clone() };
        let aside = Aside::write(&self.beside("kept"), &serde_json::to_vec(&kept)?)?;
        for _ in 0..FILES {
            let Some((path, found)) = self.find(|_, _| ()) else { break };
            if matches!(found, Found::Nothing) {
                // Another deployment may take the name at this moment: only one of the two gets it.
                match aside.put_new(&path) {
                    Ok(()) => return Ok(()),
                    Err(error) if error.kind() == io::ErrorKind::AlreadyExists => continue,
                    // Not all file systems have such links.
                    Err(_) => {}
                }
            }
            return aside.replace(&path);
        }
        Err(io::Error::other(format!("all {FILES} files of this name are other deployments'")))
    }

    /// The sockets of this name, the youngest first.
    fn sockets(&self) -> Vec<PathBuf> {
        self.ranked_sockets().into_iter().take(TRIED).map(|(_, path)| path).collect()
    }

    /// The sockets of this name with the ranks of their processes, the highest first.
    fn ranked_sockets(&self) -> Vec<(u64, PathBuf)> {
        let rank_of = |path: &Path| {
            let name = path.file_name()?.to_str()?.strip_prefix(&self.name)?.strip_prefix('.')?;
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
pub const CLOCK_OFFSET: &str = "ASHTIDE_CLOCK_OFFSET_MS";

/// A microsecond of Unix time. All of the process that reads a clock others can read, too, reads it here.
pub fn unix_micros() -> u64 {
    static OFFSET: LazyLock<i64> = LazyLock::new(|| {
        let told = std::env::var(CLOCK_OFFSET).ok().and_then(|ms| ms.parse::<i64>().ok());
        told.unwrap_or_default().saturating_mul(1000)
    });
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(unix.as_micros()).unwrap_or(u64::MAX).saturating_add_signed(*OFFSET)
}

type Reader = FramedRead<UnixReader, WordCodec>;

/// What the core has of its own process: what it tells the others, and what it keeps.
pub struct Post {
    /// Who is here, and whether the run has begun.
    pub lobby: Lobby,
    place: Option<Place>,
    kept: Kept,
    own: usize,
    /// Whether what is kept has changed since it was last on disk.
    unkept: bool,
    telling: watch::Sender<Telling>,
    heir: watch::Receiver<Option<Arc<Heir>>>,
}

impl Post {
    /// The post of a process that stands like this and holds `own` descriptors beside its clients'.
    pub fn new(
        lobby: Lobby,
        place: Option<Place>,
        kept: Kept,
        own: usize,
        state: State,
        heir: watch::Receiver<Option<Arc<Heir>>>,
    ) -> Self {
        let telling = watch::Sender::new(Telling { state, list: None });
        Self { lobby, place, kept, own, unkept: false, telling, heir }
    }

    /// The successor, once it takes standing connections over.
    pub fn heir(&self) -> Option<Arc<Heir>> {
        self.heir.borrow().clone()
    }

    /// What is told, as it changes.
    pub fn telling(&self) -> watch::Receiver<Telling> {
        self.telling.subscribe()
    }

    /// How the process stands now.
    pub fn tell(&mut self, ready: bool, shares: BTreeMap<String, Share>) {
        let begun = self.lobby.begun();
        if begun != self.kept.begun {
            self.kept.begun = begun;
            self.unkept = true;
        }
        if self.unkept
            && let Err(error) = self.keep()
        {
            let file = self.place.as_ref().map(|place| place.beside("kept")).unwrap_or_default();
            UNKEPT.say(format_args!("{}: {error}; tried again", file.display()));
        }
        let sockets = self.own + self.lobby.sockets();
        self.telling.send_modify(|telling| {
            let cordons = self.kept.cordons.clone();
            let whose = telling.state.whose.take();
            telling.state = State { whose, ready, begun, sockets, shares, cordons, ..telling.state };
        });
    }

    /// Takes an operator's call and keeps it.
    ///
    /// # Errors
    ///
    /// Fails where it cannot be kept; it holds for this process all the same.
    pub fn call(&mut self, server: &str, out: bool) -> io::Result<()> {
        self.kept.cordons.call_now(server, unix_micros(), out);
        self.keep()
    }

    /// Takes the calls that other processes had; the servers for which that changes anything.
    pub fn merge(&mut self, cordons: &Cordons) -> Vec<(String, bool)> {
        let changed = self.kept.cordons.merge(cordons);
        // The other's file may be overwritten by one that this process writes.
        self.unkept |= !changed.is_empty();
        changed
    }

    /// The servers that operators have taken out.
    pub fn cordons(&self) -> &Cordons {
        &self.kept.cordons
    }

    /// The list as it is now; it goes out with the next word of how the process stands.
    pub fn list(&mut self, list: News) {
        self.telling.send_if_modified(|telling| {
            telling.list = Some(Arc::new(list));
            false
        });
    }

    /// Keeps what has changed. Where that fails it is tried again as the process next tells how it stands.
    fn keep(&mut self) -> io::Result<()> {
        let kept = self.place.as_ref().map_or(Ok(()), |place| place.keep(&self.kept));
        self.unkept = kept.is_err();
        kept
    }
}

/// A link to a process that was met.
struct Link {
    words: Reader,
    write: UnixWriter,
    /// How the other stands; nothing where it has told nothing yet.
    state: Option<State>,
}

/// What older processes have told at the meeting, and the links to them.
pub struct Met {
    links: Vec<Link>,
    listener: Option<UnixListener>,
    /// Their list, where they have one.
    pub list: Option<News>,
}

/// Connects to the process that listens here, and waits a while for what it tells.
async fn greet(path: PathBuf) -> Option<(PathBuf, Link, Option<News>)> {
    match timeout(MEET, UnixStream::connect(&path)).await {
        Ok(Ok(link)) => {
            let (read, write) = split_unix(link);
            let mut words = FramedRead::new(read, WordCodec::default());
            let mut list = None;
            let told = async {
                while let Some(Ok(word)) = words.next().await {
                    match word {
                        Word::List(news) => list = Some(news),
                        Word::State(state) => return Some(state),
                    }
                }
                None
            };
            let state = timeout(MEET, told).await.ok().flatten();
            Some((path, Link { words, write, state }, list))
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
pub async fn meet(place: &Place, started: u64) -> Met {
    let mut met = Met { links: Vec::new(), listener: None, list: None };
    let greeted = join_all(place.sockets().into_iter().map(greet)).await;
    for (path, link, list) in greeted.into_iter().flatten() {
        if let Some(other) = link.state.as_ref().and_then(|state| place.other(state)) {
            info!("handover: {}: {}", path.display(), NotMet(other));
            continue;
        }
        match &link.state {
            Some(state) => {
                info!("handover: met an older process, {} connections by server", state.shares.len());
                met.list = list.or(met.list);
            }
            None => info!("handover: an older process tells nothing"),
        }
        if met.links.len() < LINKS {
            met.links.push(link);
        }
    }
    let path = place.socket(started);
    let _ = std::fs::remove_file(&path);
    match UnixListener::bind(&path) {
        Ok(listener) => met.listener = Some(listener),
        Err(error) => info!("handover: {}: {error}; a successor will not meet this one", path.display()),
    }
    met
}

/// Says why another deployment's process is left alone.
struct NotMet<'a>(&'a Deployment);

impl std::fmt::Display for NotMet<'_> {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let other = self.0;
        write!(
            to,
            "a process of another deployment, {other}; left alone, give each a name or a TMPDIR of its own"
        )
    }
}

impl Met {
    /// What those that were met are, together.
    pub fn others(&self, started: u64) -> Others {
        Others::sum(started, self.links.iter().filter_map(|link| link.state.as_ref()))
    }
}

/// All links of a process, and who has to know of what comes over them.
#[derive(Clone)]
struct Links {
    started: u64,
    states: Arc<Mutex<BTreeMap<u64, State>>>,
    telling: watch::Receiver<Telling>,
    lobby: Lobby,
    accepting: watch::Sender<bool>,
    core: Handle,
    place: Place,
    heirs: watch::Sender<Option<Arc<Heir>>>,
}

/// Keeps the links for as long as the process runs.
pub async fn run(
    met: Met,
    telling: watch::Receiver<Telling>,
    lobby: Lobby,
    accepting: watch::Sender<bool>,
    core: Handle,
    place: Place,
    heirs: watch::Sender<Option<Arc<Heir>>>,
) {
    let started = telling.borrow().state.started;
    let links = Links { started, states: Arc::default(), telling, lobby, accepting, core, place, heirs };
    let mut number = 0;
    for Link { words, write, state } in met.links {
        let ours = state.is_some();
        links.set(number, Some(state.unwrap_or_default())).await;
        tokio::spawn(links.clone().link(number, words, write, ours));
        number += 1;
    }
    let Some(listener) = met.listener else { return };
    loop {
        let Ok((link, _)) = listener.accept().await else {
            sleep(AFTER_FAILURE).await;
            continue;
        };
        if links.states.lock().unwrap_or_else(PoisonError::into_inner).len() >= LINKS {
            continue;
        }
        number += 1;
        let (read, write) = split_unix(link);
        links.set(number, Some(State::default())).await;
        tokio::spawn(links.clone().link(number, FramedRead::new(read, WordCodec::default()), write, false));
    }
}

impl Links {
    /// Keeps one link; `ours` where the other end has said whose it is already. Before it does, none of its
    /// words is taken.
    async fn link(mut self, number: u64, mut words: Reader, mut write: UnixWriter, mut ours: bool) {
        let (mut told, mut early) = (None, None);
        self.telling.mark_changed();
        loop {
            tokio::select! {
                word = words.next() => match word {
                    Some(Ok(Word::State(state))) => {
                        if let Some(other) = self.place.other(&state) {
                            info!("handover: {}", NotMet(other));
                            break;
                        }
                        ours = true;
                        self.set(number, Some(state)).await;
                        if let Some(news) = early.take() {
                            self.core.tell(Report::Relayed(news)).await;
                        }
                    }
                    Some(Ok(Word::List(news))) if ours => self.core.tell(Report::Relayed(news)).await,
                    Some(Ok(Word::List(news))) => early = Some(news),
                    Some(Err(error)) => {
                        info!("handover: {error}");
                        break;
                    }
                    None => break,
                },
                changed = self.telling.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    let Telling { mut state, list } = self.telling.borrow_and_update().clone();
                    // The core tells a few times a second; the run may have begun since.
                    state.begun |= self.lobby.begun();
                    let mut lines = Vec::new();
                    // The list goes first: the state is what the other waits for.
                    if let Some(list) = list.filter(|list| told.replace(list.index) != Some(list.index)) {
                        lines.extend_from_slice(&Word::List(News::clone(&list)).line());
                    }
                    lines.extend_from_slice(&Word::State(state).line());
                    if !matches!(timeout(WRITE, write.write_all(&lines)).await, Ok(Ok(()))) {
                        break;
                    }
                }
            }
        }
        self.set(number, None).await;
    }

    /// Notes how a link's other end stands, and lets everyone know what follows.
    async fn set(&self, number: u64, state: Option<State>) {
        let others = {
            let mut states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
            match state {
                Some(state) => _ = states.insert(number, state),
                None => _ = states.remove(&number),
            }
            Others::sum(self.started, states.values())
        };
        self.lobby.beside(others.sockets);
        if others.begun {
            self.lobby.begin();
        }
        // Before the successor takes the clients: once that is said, connections can be passed to it.
        self.heirs.send_if_modified(|heir| {
            let changed = heir.as_ref().map(|heir| heir.started) != others.heir;
            if changed {
                let way = |started| Heir::connect(&self.place.inbox(started), started).ok();
                *heir = others.heir.and_then(way).map(Arc::new);
            }
            changed
        });
        self.accepting.send_if_modified(|accepting| {
            let changed = *accepting == others.succeeded;
            if changed {
                let what = if others.succeeded { "its successor takes" } else { "this process takes" };
                info!("handover: {what} the clients from now on");
            }
            *accepting = !others.succeeded;
            changed
        });
        self.core.tell(Report::Beside(others.shares, others.cordons)).await;
    }
}
