//! Starts the daemon as an operator would, and ends it by its own process id.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::Arc;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::mock_backend::MockBackend;
use crate::{ID_LENGTH, RESET_KEY, ScenarioError, within};

/// How long the daemon of a scenario gives an Initial, in milliseconds.
pub const INITIAL_DEADLINE_MS: u32 = 1500;

/// What a scenario's daemon is to have.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Its QUIC front's sockets towards servers; none where 0.
    pub paths: usize,
    /// A `[vrrp]` section.
    pub vrrp: String,
    /// Its limit on descriptors beside those; 1,024 where 0.
    pub sockets: usize,
    /// Its limit on memory in megabytes; 192 where 0.
    pub memory_mb: usize,
    /// Whether its settings say that the list is pushed, by an agent on its machine.
    pub pushed: bool,
    /// The list that it is started with; the one that discovery has where there is none.
    pub known: Option<Value>,
    /// What it shares with another process of the same balancer: a listener that it inherits, and a
    /// folder. It has a door for operators then.
    pub shared: Option<Shared>,
    /// The file of its fleet view; none where empty. It has a door for operators then.
    pub view: String,
    /// Laid over its configuration: objects key by key, all else in place of what is there. With
    /// `operator` it has a door.
    pub config: Value,
    /// Set in its environment.
    pub environment: Vec<(String, String)>,
    /// Put behind its other arguments.
    pub arguments: Vec<OsString>,
}

/// Lays one JSON value over another: objects key by key, all else in its place.
pub fn merge_json(over: &Value, under: &mut Value) {
    match (over, under) {
        (Value::Object(over), Value::Object(under)) => {
            for (key, value) in over {
                merge_json(value, under.entry(key).or_insert(Value::Null));
            }
        }
        (Value::Null, _) => {}
        (over, under) => *under = over.clone(),
    }
}

/// What the processes of one balancer share.
#[derive(Debug, Clone)]
pub struct Shared {
    /// Where clients come.
    pub listener: Arc<std::net::TcpListener>,
    /// What they may write to.
    pub folder: PathBuf,
}

/// Makes an operator's call at a door; the whole answer.
///
/// # Errors
///
/// Fails where nobody answers.
pub async fn send_admin_command(door: SocketAddr, call: &str) -> Result<String, ScenarioError> {
    let mut caller = within("a caller's connection", TcpStream::connect(door)).await??;
    caller.write_all(format!("{call}\n").as_bytes()).await?;
    let mut answer = String::new();
    within("an answer to a call", caller.read_to_string(&mut answer)).await??;
    Ok(answer)
}

/// A running daemon.
pub struct Daemon {
    /// Where it takes lines.
    pub lines: SocketAddr,
    /// Where it takes QUIC.
    pub quic: Option<SocketAddr>,
    /// Where it takes calls.
    pub admin_address: Option<SocketAddr>,
    child: Child,
    log: JoinHandle<()>,
    said: watch::Receiver<Vec<String>>,
    files: PathBuf,
    config: Value,
}

impl Daemon {
    /// Starts `program` before this fleet.
    ///
    /// # Errors
    ///
    /// Fails where it does not start or does not say that it listens.
    pub async fn start(
        program: &Path,
        backend: &MockBackend,
        options: &Options,
    ) -> Result<Self, ScenarioError> {
        static STARTED: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = STARTED.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let files = std::env::temp_dir().join(format!("ashtide-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&files)?;
        let sockets = if options.sockets == 0 { 1024 } else { options.sockets };
        let memory = if options.memory_mb == 0 { 192 } else { options.memory_mb };
        let name = if options.shared.is_some() { "shared".to_owned() } else { format!("n{number}") };
        let mut config = json!({
            "name": name, "listen": "127.0.0.1:0", "discovery": backend.discovery,
            "seed": "5eed", "limits": {"memory_mb": memory, "sockets": sockets + 2 * options.paths},
            "known": options.known.clone().unwrap_or_else(|| backend.endpoint_list()),
            "settings": {
                "azs": ["here"], "zone": "here", "balancers": 1, "discovery": "on_request", "tick": 0.005,
                "classes": [{"name": "meter", "aim": 0.4, "deadline": 3.0, "effect": "pure", "worth": 1.0}],
                "familyInfo": {"messageAim": [0.05]},
                "limits": {"maxAttempts": 3, "maxRetryAfter": 1.0, "retryAfter": true, "cancelling": true,
                           "connectTimeout": 0.2},
                "rules": {"answerSlack": 0.02, "askWithin": 1.0, "coldFrom": 0.2, "warmWithin": 5.0,
                          "fallMultiple": 2.5, "overloadFor": 1.0},
            },
        });
        if options.pushed {
            config["settings"]["discovery"] = json!("pushed");
        }
        if options.shared.is_some() || !options.view.is_empty() {
            config["operator"] = json!("127.0.0.1:0");
        }
        merge_json(&options.config, &mut config);
        let has_door = !config["operator"].is_null();
        std::fs::write(files.join("config.json"), config.to_string())?;
        let mut command = match &options.shared {
            // As the platform does it: the listener is descriptor 4 of what the shell starts.
            Some(_) => {
                let mut shell = Command::new("/bin/sh");
                shell.args(["-c", "exec \"$0\" \"$@\" 4<&0"]).arg(program);
                shell
            }
            None => Command::new(program),
        };
        command.env("ROUTER_CONFIG", files.join("config.json"));
        for name in
            ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_OPERATOR", "ROUTER_INHERITED_FD"]
        {
            command.env_remove(name);
        }
        let stdin = match &options.shared {
            Some(shared) => {
                command.env("ROUTER_INHERITED_FD", "4").env("TMPDIR", &shared.folder);
                Stdio::from(OwnedFd::from(shared.listener.try_clone()?))
            }
            None => {
                command.env("TMPDIR", &files);
                Stdio::null()
            }
        };
        if options.paths > 0 {
            let text = format!(
                "[quic]\nlisten = \"127.0.0.1:0\"\nclass = \"meter\"\ndeadline_ms = {INITIAL_DEADLINE_MS}\n\
                 id_length = {ID_LENGTH}\nreset_key = \"{RESET_KEY}\"\npaths = {}\n{}",
                options.paths, options.vrrp
            );
            std::fs::write(files.join("fronts.toml"), text)?;
            command.arg("--fronts").arg(files.join("fronts.toml"));
        }
        command.args(&options.arguments);
        command.envs(options.environment.iter().map(|(name, value)| (name, value)));
        if !options.view.is_empty() {
            std::fs::write(files.join("view.toml"), &options.view)?;
            command.arg("--view").arg(files.join("view.toml"));
        }
        let mut child = command.stdin(stdin).stderr(Stdio::piped()).kill_on_drop(true).spawn()?;
        let stderr = child.stderr.take().ok_or(ScenarioError::TimedOut("the daemon's log"))?;
        let mut lines = BufReader::new(stderr).lines();
        let (mut said, mut text, mut quic, mut door) = (Vec::new(), None, None, None);
        while text.is_none() || (options.paths > 0 && quic.is_none()) || (has_door && door.is_none()) {
            let line = within("the daemon's word that it listens", lines.next_line()).await??;
            let line = line.ok_or(ScenarioError::TimedOut("a daemon that stays"))?;
            let at =
                line.split_once("listens on ").and_then(|(_, rest)| rest.split(',').next()?.parse().ok());
            if line.starts_with("quic: ") {
                quic = at.or(quic);
            } else if line.starts_with("operator: ") {
                door = at.or(door);
            } else {
                text = at.or(text);
            }
            said.push(line);
        }
        let echo = std::env::var_os("ASHTIDE_REHEARSE_LOG").is_some();
        let log = watch::Sender::new(said);
        let said = log.subscribe();
        let log = tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if echo {
                    eprintln!("  {line}");
                }
                log.send_modify(|said| said.push(line));
            }
        });
        let lines = text.ok_or(ScenarioError::TimedOut("the lines front"))?;
        Ok(Self { lines, quic, admin_address: door, child, log, said, files, config })
    }

    /// Replaces a key of the configuration file, and sends SIGHUP to this daemon.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be written or the daemon is no longer there.
    pub fn reload(&mut self, key: &str, value: Value) -> Result<(), ScenarioError> {
        self.config[key] = value;
        std::fs::write(self.files.join("next.json"), self.config.to_string())?;
        std::fs::rename(self.files.join("next.json"), self.files.join("config.json"))?;
        self.signal(Signal::HUP)
    }

    /// The configuration as it was last written.
    pub fn config(&self) -> &Value {
        &self.config
    }

    /// Where the configuration file is.
    pub fn config_file(&self) -> PathBuf {
        self.files.join("config.json")
    }

    /// What it has logged so far.
    pub fn log_lines(&self) -> Vec<String> {
        self.said.borrow().clone()
    }

    /// Waits until its log is so.
    ///
    /// # Errors
    ///
    /// Fails where it does not become so.
    pub async fn wait_for_log(
        &self,
        what: &'static str,
        holds: impl Fn(&[String]) -> bool,
    ) -> Result<(), ScenarioError> {
        let holds = |said: &Vec<String>| holds(said);
        within(what, self.said.clone().wait_for(holds)).await?.map_err(|_| ScenarioError::TimedOut(what))?;
        Ok(())
    }

    /// Sends SIGHUP to this daemon.
    ///
    /// # Errors
    ///
    /// Fails where it is no longer there.
    pub fn send_sighup(&self) -> Result<(), ScenarioError> {
        self.signal(Signal::HUP)
    }

    /// Waits for a line of the log that begins like this.
    ///
    /// # Errors
    ///
    /// Fails where none comes.
    pub async fn wait_for_log_line(&self, beginning: &'static str) -> Result<(), ScenarioError> {
        let begins = |said: &Vec<String>| said.iter().any(|line| line.starts_with(beginning));
        within(beginning, self.said.clone().wait_for(begins))
            .await?
            .map_err(|_| ScenarioError::TimedOut(beginning))?;
        Ok(())
    }

    /// Makes an operator's call; the whole answer.
    ///
    /// # Errors
    ///
    /// Fails where the daemon has no door or does not answer.
    pub async fn send_command(&self, call: &str) -> Result<String, ScenarioError> {
        send_admin_command(self.admin_address.ok_or(ScenarioError::TimedOut("a door for operators"))?, call)
            .await
    }

    /// Sends SIGTERM to this daemon.
    ///
    /// # Errors
    ///
    /// Fails where it is no longer there.
    pub fn terminate(&self) -> Result<(), ScenarioError> {
        self.signal(Signal::TERM)
    }

    /// Stops this daemon where it stands, as a machine that stalls, or lets it go on.
    ///
    /// # Errors
    ///
    /// Fails where it is no longer there.
    pub fn set_suspended(&self, stalled: bool) -> Result<(), ScenarioError> {
        self.signal(if stalled { Signal::STOP } else { Signal::CONT })
    }

    fn signal(&self, signal: Signal) -> Result<(), ScenarioError> {
        let id = self.child.id().and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        let id = id.ok_or(ScenarioError::TimedOut("a daemon that runs"))?;
        kill_process(id, signal).map_err(std::io::Error::from)?;
        Ok(())
    }

    /// Kills this daemon outright.
    ///
    /// # Errors
    ///
    /// Fails where it is no longer there.
    pub async fn kill(&mut self) -> Result<(), ScenarioError> {
        Ok(self.child.kill().await?)
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Its process id; none once it has ended and that was seen.
    pub fn process_id(&self) -> Option<u32> {
        self.child.id()
    }

    /// How it ended; none while it runs.
    ///
    /// # Errors
    ///
    /// Fails where the system cannot tell.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, ScenarioError> {
        Ok(self.child.try_wait()?)
    }

    /// Waits for its end; its status and its log.
    ///
    /// # Errors
    ///
    /// Fails where it does not end.
    pub async fn wait_for_exit(mut self) -> Result<(ExitStatus, Vec<String>), ScenarioError> {
        let status = within("the daemon's end", self.child.wait()).await??;
        let _ = (&mut self.log).await;
        let log = self.said.borrow().clone();
        Ok((status, log))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.files);
    }
}
