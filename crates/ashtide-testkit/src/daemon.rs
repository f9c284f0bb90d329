//! Starts daemon processes as an operator would, and controls them by their process ids.

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

/// Deadline that a scenario's daemon sets for answering a QUIC Initial, in milliseconds.
pub const INITIAL_DEADLINE_MS: u32 = 1500;

/// Options of a daemon to start.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Number of sockets from the QUIC front end to servers. With 0 there is no QUIC front end.
    pub paths: usize,
    /// Address of the QUIC front end, or `None` for a free one. If it is set, [`Daemon::start`] does not wait
    /// until the front end listens, because a sibling may still use the address.
    pub quic_address: Option<SocketAddr>,
    /// `[vrrp]` section of the front ends file, in TOML, or empty.
    pub vrrp: String,
    /// Limit on file descriptors, in addition to those for `paths`. 0 means 1,024.
    pub sockets: usize,
    /// Memory limit in megabytes. 0 means 192.
    pub memory_mb: usize,
    /// Whether the settings declare that an agent on the same machine pushes the endpoint list.
    pub pushed: bool,
    /// Initial endpoint list, or `None` for the list of the mock discovery service.
    pub known: Option<Value>,
    /// Listener and folder shared with sibling processes. If set, the daemon has an admin endpoint.
    pub shared: Option<Shared>,
    /// Contents of the fleet view file, or empty for none. If set, the daemon has an admin endpoint.
    pub view: String,
    /// Value merged into the configuration by [`merge_json`]. The key `operator` sets up an admin endpoint.
    pub config: Value,
    /// Environment variables of the process, as names and values.
    pub environment: Vec<(String, String)>,
    /// Arguments appended to the command line.
    pub arguments: Vec<OsString>,
}

/// Merges `overlay` into `base`: objects are merged key by key, and any other value replaces the one in
/// `base`. A null overlay leaves `base` as it is.
pub fn merge_json(overlay: &Value, base: &mut Value) {
    match (overlay, base) {
        (Value::Object(overlay), Value::Object(base)) => {
            for (key, value) in overlay {
                merge_json(value, base.entry(key).or_insert(Value::Null));
            }
        }
        (Value::Null, _) => {}
        (overlay, base) => *base = overlay.clone(),
    }
}

/// Resources shared by the processes of one gateway.
#[derive(Debug, Clone)]
pub struct Shared {
    /// Listener for client connections.
    pub listener: Arc<std::net::TcpListener>,
    /// Folder to which the processes may write.
    pub folder: PathBuf,
}

/// Sends `command` to an admin endpoint and returns the complete response.
///
/// # Errors
///
/// Returns an error if the endpoint does not respond.
pub async fn send_admin_command(address: SocketAddr, command: &str) -> Result<String, ScenarioError> {
    let mut stream = within("a connection to the admin endpoint", TcpStream::connect(address)).await??;
    stream.write_all(format!("{command}\n").as_bytes()).await?;
    let mut response = String::new();
    within("a response of the admin endpoint", stream.read_to_string(&mut response)).await??;
    Ok(response)
}

/// Running daemon process. It is killed when this is dropped.
pub struct Daemon {
    /// Address of the line front end.
    pub lines: SocketAddr,
    /// Address of the QUIC front end, if there is one.
    pub quic: Option<SocketAddr>,
    /// Address of the admin endpoint, if there is one.
    pub admin_address: Option<SocketAddr>,
    child: Child,
    log_reader: JoinHandle<()>,
    log_lines: watch::Receiver<Vec<String>>,
    folder: PathBuf,
    config: Value,
}

impl Daemon {
    /// Starts `program` with the mock discovery service and the mock servers of `backend`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start, or does not log in time that it listens.
    pub async fn start(
        program: &Path,
        backend: &MockBackend,
        options: &Options,
    ) -> Result<Self, ScenarioError> {
        static STARTED: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = STARTED.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("ashtide-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let config = configuration(number, backend, options);
        let has_admin_endpoint = !config["operator"].is_null();
        std::fs::write(folder.join("config.json"), config.to_string())?;
        let mut command = daemon_command(program, options, &folder)?;
        let mut child = command.stderr(Stdio::piped()).kill_on_drop(true).spawn()?;
        let stderr = child.stderr.take().ok_or(ScenarioError::TimedOut("the daemon's log"))?;
        let mut lines = BufReader::new(stderr).lines();
        let (mut logged, mut line_address, mut quic, mut admin_address) = (Vec::new(), None, None, None);
        let awaits_quic = options.paths > 0 && options.quic_address.is_none();
        while line_address.is_none()
            || (awaits_quic && quic.is_none())
            || (has_admin_endpoint && admin_address.is_none())
        {
            let line = within("the log line that the daemon listens", lines.next_line()).await??;
            let line = line.ok_or(ScenarioError::TimedOut("a daemon that does not exit at its start"))?;
            let address =
                line.split_once("listens on ").and_then(|(_, rest)| rest.split(',').next()?.parse().ok());
            if line.starts_with("quic: ") {
                quic = address.or(quic);
            } else if line.starts_with("operator: ") {
                admin_address = address.or(admin_address);
            } else {
                line_address = address.or(line_address);
            }
            logged.push(line);
        }
        let echo = std::env::var_os("ASHTIDE_REHEARSE_LOG").is_some();
        let log_sender = watch::Sender::new(logged);
        let log_lines = log_sender.subscribe();
        let log_reader = tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if echo {
                    eprintln!("  {line}");
                }
                log_sender.send_modify(|lines| lines.push(line));
            }
        });
        let lines = line_address.ok_or(ScenarioError::TimedOut("the line front end"))?;
        let quic = quic.or(options.quic_address);
        Ok(Self { lines, quic, admin_address, child, log_reader, log_lines, folder, config })
    }

    /// Replaces the value of a key in the configuration file and sends SIGHUP to this daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written or the process has exited.
    pub fn reload(&mut self, key: &str, value: Value) -> Result<(), ScenarioError> {
        self.config[key] = value;
        std::fs::write(self.folder.join("next.json"), self.config.to_string())?;
        std::fs::rename(self.folder.join("next.json"), self.folder.join("config.json"))?;
        self.signal(Signal::HUP)
    }

    /// Returns the configuration as last written to the file.
    pub fn config(&self) -> &Value {
        &self.config
    }

    /// Returns the path of the configuration file.
    pub fn config_file(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Returns the lines that the daemon has logged so far.
    pub fn log_lines(&self) -> Vec<String> {
        self.log_lines.borrow().clone()
    }

    /// Waits until the log lines fulfil `condition`. `what` names the condition in the error.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition is not met within the time limit, or the log ends before.
    pub async fn wait_for_log(
        &self,
        what: &'static str,
        condition: impl Fn(&[String]) -> bool,
    ) -> Result<(), ScenarioError> {
        let condition = |lines: &Vec<String>| condition(lines);
        within(what, self.log_lines.clone().wait_for(condition))
            .await?
            .map_err(|_| ScenarioError::TimedOut(what))?;
        Ok(())
    }

    /// Sends SIGHUP to this daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn send_sighup(&self) -> Result<(), ScenarioError> {
        self.signal(Signal::HUP)
    }

    /// Waits until the daemon has logged a line that starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error if no such line is logged within the time limit, or the log ends before.
    pub async fn wait_for_log_line(&self, prefix: &'static str) -> Result<(), ScenarioError> {
        let has_prefix = |lines: &Vec<String>| lines.iter().any(|line| line.starts_with(prefix));
        within(prefix, self.log_lines.clone().wait_for(has_prefix))
            .await?
            .map_err(|_| ScenarioError::TimedOut(prefix))?;
        Ok(())
    }

    /// Sends a command to the admin endpoint of this daemon and returns the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon has no admin endpoint or does not respond.
    pub async fn send_command(&self, command: &str) -> Result<String, ScenarioError> {
        let address = self.admin_address.ok_or(ScenarioError::TimedOut("an admin endpoint"))?;
        send_admin_command(address, command).await
    }

    /// Sends SIGTERM to this daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn terminate(&self) -> Result<(), ScenarioError> {
        self.signal(Signal::TERM)
    }

    /// Suspends this daemon with SIGSTOP, as a stalled machine would, or resumes it with SIGCONT.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn set_suspended(&self, suspended: bool) -> Result<(), ScenarioError> {
        self.signal(if suspended { Signal::STOP } else { Signal::CONT })
    }

    fn signal(&self, signal: Signal) -> Result<(), ScenarioError> {
        let id = self.child.id().and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        let id = id.ok_or(ScenarioError::TimedOut("a running daemon"))?;
        kill_process(id, signal).map_err(std::io::Error::from)?;
        Ok(())
    }

    /// Kills this daemon with SIGKILL and waits for its exit.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub async fn kill(&mut self) -> Result<(), ScenarioError> {
        Ok(self.child.kill().await?)
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the process id, or `None` once the exit of the process has been collected.
    pub fn process_id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the exit status, or `None` while the process is running.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not report the status.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, ScenarioError> {
        Ok(self.child.try_wait()?)
    }

    /// Waits for the exit of the process and returns its status and all its log lines.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exit within the time limit.
    pub async fn wait_for_exit(mut self) -> Result<(ExitStatus, Vec<String>), ScenarioError> {
        let status = within("the exit of the daemon", self.child.wait()).await??;
        let _ = (&mut self.log_reader).await;
        let log_lines = self.log_lines.borrow().clone();
        Ok((status, log_lines))
    }
}

/// Returns the configuration of the daemon with this number.
fn configuration(number: u32, backend: &MockBackend, options: &Options) -> Value {
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
    config
}

/// Returns the command that starts the daemon, and writes the files that its arguments name to `folder`.
fn daemon_command(program: &Path, options: &Options, folder: &Path) -> Result<Command, ScenarioError> {
    let mut command = match &options.shared {
        // As the platform does it: the listener is descriptor 4 of the process that the shell starts.
        Some(_) => {
            let mut shell = Command::new("/bin/sh");
            shell.args(["-c", "exec \"$0\" \"$@\" 4<&0"]).arg(program);
            shell
        }
        None => Command::new(program),
    };
    command.env("ROUTER_CONFIG", folder.join("config.json"));
    for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_OPERATOR", "ROUTER_INHERITED_FD"]
    {
        command.env_remove(name);
    }
    let stdin = match &options.shared {
        Some(shared) => {
            command.env("ROUTER_INHERITED_FD", "4").env("TMPDIR", &shared.folder);
            Stdio::from(OwnedFd::from(shared.listener.try_clone()?))
        }
        None => {
            command.env("TMPDIR", folder);
            Stdio::null()
        }
    };
    if options.paths > 0 {
        let listen = options.quic_address.unwrap_or(([127, 0, 0, 1], 0).into());
        let text = format!(
            "[quic]\nlisten = \"{listen}\"\nclass = \"meter\"\ndeadline_ms = {INITIAL_DEADLINE_MS}\n\
             id_length = {ID_LENGTH}\nreset_key = \"{RESET_KEY}\"\npaths = {}\n{}",
            options.paths, options.vrrp
        );
        std::fs::write(folder.join("fronts.toml"), text)?;
        command.arg("--fronts").arg(folder.join("fronts.toml"));
    }
    command.args(&options.arguments);
    command.envs(options.environment.iter().map(|(name, value)| (name, value)));
    if !options.view.is_empty() {
        std::fs::write(folder.join("view.toml"), &options.view)?;
        command.arg("--view").arg(folder.join("view.toml"));
    }
    command.stdin(stdin);
    Ok(command)
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
