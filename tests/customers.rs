//! Isolation of customers and deployments: settings that refer to classes and customers by name, reloads
//! while requests are pending, and state files and sockets of other deployments in the same folder.

mod mock_deployment;

use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use ashtide::config::Config;
use ashtide::handover::{CordonChange, Cordons, PersistedState, ProcessState, SiblingMessage};
use ashtide::net::handover::StateFolder;
use ashtide::settings::PlatformSettings;
use ashtide_testkit::daemon::Daemon;
use ashtide_testkit::within;
use mock_deployment::{MockDeployment, endpoint_list, request_connection};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::sleep;

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Wait after which the idempotency window of class `brief`, 20 ms, is over.
const BRIEF_WINDOW_OVER: Duration = Duration::from_millis(80);

fn class(name: &str, effect: &str, key_ttl: f64, deadline: f64) -> Value {
    json!({"name": name, "aim": 10.0, "deadline": deadline, "effect": effect, "group": "all", "worth": 1.0,
           "keyTtl": key_ttl})
}

fn customer(name: &str) -> Value {
    json!({"name": name, "quotaPerS": 5.0})
}

/// Returns the time for which a client of this class waits, in milliseconds. A request whose idempotency
/// window is over is queued for a part of that time before it is rejected, so it is short for class `brief`.
/// For a group of all servers that delay does no harm.
fn client_wait_ms(class: &str) -> u32 {
    if class == "brief" { 2_000 } else { 30_000 }
}

/// Returns settings with classes of every effect.
fn settings() -> Value {
    json!({
        "classes": [class("pay", "side_effect", 0.0, 30.0), class("read", "pure", 0.0, 30.0),
                    class("book", "token", 30.0, 30.0), class("brief", "token", 0.02, 30.0)],
        "customers": [customer("acme"), customer("bolt")],
        "limits": {"maxAttempts": 2},
    })
}

/// Returns settings with the names of [`settings`] in another order and with opposite effects. One class and
/// one customer are renamed, and one class is added.
fn changed_settings() -> Value {
    json!({
        "classes": [class("new", "pure", 0.0, 0.1), class("brief", "token", 30.0, 0.1),
                    class("read", "side_effect", 0.0, 0.1), class("pay", "pure", 0.0, 0.1),
                    class("late", "side_effect", 0.0, 0.1)],
        "customers": [customer("bolt"), customer("cargo"), customer("acme")],
        "limits": {"maxAttempts": 1},
    })
}

fn metric_value(metrics: &str, name: &str) -> u64 {
    let line = metrics.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse().ok()).unwrap_or_else(|| panic!("no {name}: {metrics}"))
}

/// Replaces the daemon's configuration file atomically and sends SIGHUP.
fn replace_config(daemon: &Daemon, text: &str) {
    let staged = daemon.config_file().with_extension("next");
    std::fs::write(&staged, text).expect("the staged file is written");
    std::fs::rename(&staged, daemon.config_file()).expect("the file is replaced");
    daemon.send_sighup().expect("the daemon runs");
}

fn lines_with_prefix(log: &[String], prefix: &str) -> usize {
    log.iter().filter(|line| line.starts_with(prefix)).count()
}

#[test]
fn lists_whose_length_differs_from_the_classes_or_customers_give_a_warning() {
    for (info, warnings) in [
        (json!({}), vec![]),
        (json!({"messageAim": [], "tenantQuotaConnections": [7.0, 7.0]}), vec![]),
        (
            json!({"messageAim": [0.1], "tenantQuotaConnections": [7.0, 7.0, 7.0]}),
            vec![
                "settings.familyInfo.messageAim: found 1 values for 4 classes; \
                 values are assigned by position",
                "settings.familyInfo.tenantQuotaConnections: found 3 values for 2 customers; \
                 values are assigned by position",
            ],
        ),
    ] {
        let mut all = settings();
        all["familyInfo"] = info;
        assert_eq!(PlatformSettings::parse(&all.to_string()).expect("valid").warnings(), warnings);
    }
    // A duplicate name is also rejected in the settings of a configuration file, which the next test checks.
    let duplicate = json!({"classes": [class("a", "pure", 0.0, 1.0), class("a", "side_effect", 0.0, 1.0)]});
    let error = PlatformSettings::parse(&duplicate.to_string()).err().expect("a duplicate name").to_string();
    assert!(error.starts_with("classes[1].name: 'a' occurs twice"), "{error}");
}

#[test]
fn errors_of_a_config_file_name_key_and_file_and_errors_of_a_variable_name_the_variable_only() {
    let path = std::env::temp_dir().join(format!("ashtide-customers-{}.json", std::process::id()));
    let read_config = |settings: Value, operator: Option<&'static str>| {
        let config =
            json!({"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings});
        std::fs::write(&path, config.to_string()).expect("the file is written");
        Config::read(|name| match name {
            "ROUTER_CONFIG" => Some(path.display().to_string()),
            "ROUTER_OPERATOR" => operator.map(str::to_owned),
            _ => None,
        })
        .map(|_| ())
        .map_err(|error| error.to_string())
    };
    let mut duplicate = settings();
    duplicate["customers"][1]["name"] = json!("acme");
    let error = read_config(duplicate, None).expect_err("a duplicate name");
    assert!(error.starts_with("settings.customers[1].name: 'acme' occurs twice"), "{error}");
    assert!(error.ends_with(&format!(", in {}", path.display())), "{error}");
    let error = read_config(settings(), Some("no address")).expect_err("not an address");
    assert!(error.starts_with("ROUTER_OPERATOR: ") && !error.contains(".json"), "{error}");
    assert_eq!(read_config(settings(), None), Ok(()));
    std::fs::remove_file(path).expect("the file is removed");
}

#[tokio::test]
async fn reloaded_classes_take_effect_only_after_a_restart() {
    let deployment = MockDeployment::new(8).await;
    let mut daemon = deployment.start(&deployment.options(&json!({"settings": settings()}))).await;
    let address = daemon.lines;
    let mut pending = Vec::new();
    for class in ["pay", "read", "book", "brief"] {
        pending.push((class, deployment.requesting_client(address, class, client_wait_ms(class)).await));
    }
    daemon.reload("settings", changed_settings()).expect("the daemon runs");
    daemon.wait_for_log_line("reload: settings has changed").await.expect("the file has been reloaded");
    sleep(BRIEF_WINDOW_OVER).await;
    // The first round is of requests that were pending during the reload, the second of later ones.
    for round in 0..2 {
        for class in ["pay", "read", "book", "brief"] {
            let (mut client, attempt) = match pending.iter().position(|request| request.0 == class) {
                Some(index) => pending.swap_remove(index).1,
                None => deployment.requesting_client(address, class, client_wait_ms(class)).await,
            };
            sleep(BRIEF_WINDOW_OVER).await;
            drop(attempt.stream);
            let expected = match class {
                "pay" => "ERR",
                "brief" => "BUSY",
                _ => {
                    let mut second = deployment.next_attempt().await;
                    assert!(second.line.contains(&format!("c={class},")), "{}", second.line);
                    assert_ne!(second.server, attempt.server);
                    second.send_line("UP again").await;
                    "UP again"
                }
            };
            let answer = client.next().await.expect("an answer").unwrap_or_default();
            assert!(answer.starts_with(expected), "{class} in round {round}: {answer}");
        }
    }
    for unknown in ["new", "late"] {
        assert_eq!(
            request_connection(address, unknown, 3_000).await.next().await.expect("an answer").as_deref(),
            Some("ERR")
        );
    }
    let metrics = daemon.send_command("counters").await.expect("an answer");
    let names = ["passed", "dropped", "bad_gateway", "upstream_tries"];
    for (class, expected) in
        [("pay", [0, 0, 2, 2]), ("read", [2, 0, 0, 4]), ("book", [2, 0, 0, 4]), ("brief", [0, 2, 0, 2])]
    {
        let values = names
            .map(|name| metric_value(&metrics, &format!("router_{name}_total{{category=\"{class}\"}} ")));
        assert_eq!(values, expected, "{class}");
    }
    assert!(!metrics.contains("\"new\"") && !metrics.contains("\"late\""), "{metrics}");
    // The time limit of the shutdown follows from the deadlines with which the daemon was started.
    daemon.terminate().expect("the daemon runs");
    daemon.wait_for_log_line("ashtide: stop requested; exiting within 3700 ms").await.expect("it shuts down");
}

#[tokio::test]
async fn reload_compares_with_the_active_settings_and_an_invalid_file_has_no_effect() {
    let deployment = MockDeployment::new(2).await;
    let mut daemon = deployment.start(&deployment.options(&json!({"settings": settings()}))).await;
    let valid = daemon.config().to_string();
    let path = daemon.config_file().display().to_string();
    let mut without_settings = daemon.config().clone();
    without_settings.as_object_mut().expect("an object").remove("settings");
    let mut duplicate = daemon.config().clone();
    duplicate["settings"]["classes"][3]["name"] = json!("pay");
    for (text, reason) in [
        (valid[..valid.len() / 2].to_owned(), "EOF"),
        (without_settings.to_string(), "settings is missing"),
        (duplicate.to_string(), "settings.classes[3].name: 'pay' occurs twice"),
    ] {
        replace_config(&daemon, &text);
        let reported = |line: &String| {
            let reload_failed =
                line.starts_with("reload: ") && line.ends_with("; keeping the configuration that is active");
            reload_failed && line.contains(reason) && line.contains(&path)
        };
        daemon.wait_for_log("the invalid file", |log| log.iter().any(reported)).await.expect("reported");
        let (mut client, mut attempt) = deployment.requesting_client(daemon.lines, "pay", 30_000).await;
        attempt.send_line("UP r").await;
        assert_eq!(client.next().await.expect("an answer").as_deref(), Some("UP r"));
    }
    assert_eq!(lines_with_prefix(&daemon.log_lines(), "reload: settings"), 2, "the two invalid settings");
    // A difference from the active settings is reported by each reload until they are restored.
    let active = daemon.config()["settings"].clone();
    for number in 1..=2 {
        daemon.reload("settings", changed_settings()).expect("the daemon runs");
        let reported = |log: &[String]| lines_with_prefix(log, "reload: settings has changed") == number;
        daemon.wait_for_log("the change", reported).await.expect("reported");
    }
    let reloads = |log: &[String]| lines_with_prefix(log, "reload: discovery stays");
    let earlier = reloads(&daemon.log_lines());
    daemon.reload("settings", active).expect("the daemon runs");
    daemon.wait_for_log("a third reload", |log| reloads(log) > earlier).await.expect("reloaded");
    // The lines of one reload are logged together, so all those of the third precede the fourth.
    daemon.send_sighup().expect("the daemon runs");
    daemon.wait_for_log("a fourth reload", |log| reloads(log) > earlier + 1).await.expect("reloaded");
    let log = daemon.log_lines();
    assert_eq!(lines_with_prefix(&log, "reload: settings has changed"), 2, "{log:?}");
}

/// Opens the named pipe at this path for writing, as soon as the daemon has opened it for reading.
async fn open_pipe(path: &Path) -> std::fs::File {
    let open = async {
        loop {
            // With O_NONBLOCK, opening fails immediately if there is no reader.
            match std::fs::OpenOptions::new().write(true).custom_flags(0o4000).open(path) {
                Ok(pipe) => return pipe,
                Err(_) => sleep(POLL_INTERVAL).await,
            }
        }
    };
    within("a daemon that reads", open).await.expect("the daemon reads its file in time")
}

/// Replaces the daemon's configuration file by a named pipe, on which reads block.
fn replace_config_by_pipe(daemon: &Daemon) {
    let staged = daemon.config_file().with_extension("pipe");
    assert!(Command::new("mkfifo").arg(&staged).status().expect("mkfifo").success());
    std::fs::rename(&staged, daemon.config_file()).expect("the file is replaced");
}

#[tokio::test]
async fn sighups_during_a_reload_cause_one_further_reload_and_shutdown_does_not_wait_for_a_reload() {
    let deployment = MockDeployment::new(2).await;
    let daemon = deployment.start(&deployment.options(&json!({}))).await;
    let valid = daemon.config().to_string();
    replace_config_by_pipe(&daemon);
    daemon.send_sighup().expect("the daemon runs");
    let mut pipe = open_pipe(&daemon.config_file()).await;
    for _ in 0..3 {
        daemon.send_sighup().expect("the daemon runs");
        // The daemon serves clients during the reload, and has handled the signal once one is served.
        let _ = deployment.established_client(daemon.lines).await;
    }
    pipe.write_all(valid.as_bytes()).expect("the daemon reads");
    drop(pipe);
    daemon.wait_for_log_line("reload: discovery stays").await.expect("reloaded");
    let mut pipe = open_pipe(&daemon.config_file()).await;
    pipe.write_all(valid.as_bytes()).expect("the daemon reads");
    drop(pipe);
    let reloads = |number| move |log: &[String]| lines_with_prefix(log, "reload: discovery stays") == number;
    daemon.wait_for_log("a second reload", reloads(2)).await.expect("reloaded");
    replace_config(&daemon, &valid);
    daemon.wait_for_log("a third reload", reloads(3)).await.expect("reloaded");
    // A read that does not return, as from a disk that hangs.
    replace_config_by_pipe(&daemon);
    daemon.send_sighup().expect("the daemon runs");
    let _pipe = open_pipe(&daemon.config_file()).await;
    daemon.terminate().expect("the daemon runs");
    let (status, log) = daemon.wait_for_exit().await.expect("the daemon exits");
    assert!(status.success() && lines_with_prefix(&log, "reload: ") == 3, "{status}: {log:?}");
}

#[tokio::test]
async fn gateways_whose_names_map_to_the_same_file_name_are_separate() {
    let deployment = MockDeployment::new(2).await;
    let one = deployment.start(&deployment.options(&json!({"name": "a.b"}))).await;
    let two = deployment.start(&deployment.options(&json!({"name": "a_b"}))).await;
    two.wait_for_log("the other deployment", |log| {
        log.iter().any(|line| line.contains("process belongs to another deployment, 'a.b'; leaving it alone"))
    })
    .await
    .expect("the other deployment is recognized");
    for (daemon, server) in [(&one, "s-0"), (&two, "s-1")] {
        let answer = daemon.send_command(&format!("cordon {server}")).await.expect("an answer");
        assert!(answer.starts_with("200"), "{answer}");
    }
    // Each gateway places clients on the server that it has not cordoned.
    for (daemon, server) in [(&one, 1), (&two, 0)] {
        assert_eq!(deployment.established_client(daemon.lines).await.1.server, server);
    }
    let state_file =
        |name: &str| std::fs::read_to_string(deployment.folder.join(name)).expect("a state file");
    assert!(
        state_file("ashtide.a_b.kept").contains("a.b") && state_file("ashtide.a_b.2.kept").contains("a_b")
    );
    // After a restart each gateway finds its own state file, in either order.
    let kill = |mut daemon: Daemon| async move { daemon.kill().await.expect("the daemon ran") };
    kill(one).await;
    kill(two).await;
    for (name, cordoned) in [("a_b", "s-1"), ("a.b", "s-0")] {
        let daemon = deployment.start(&deployment.options(&json!({"name": name}))).await;
        daemon
            .wait_for_log("its cordon", |log| lines_with_prefix(log, "operator: ") >= 2)
            .await
            .expect("the cordon is restored");
        let cordons: Vec<_> =
            daemon.log_lines().into_iter().filter(|line| line.ends_with(" is out")).collect();
        assert_eq!(cordons, [format!("operator: {cordoned} is out")], "{name}");
        kill(daemon).await;
    }
}

#[tokio::test]
async fn state_file_of_another_customer_is_not_used_and_a_renamed_class_is_the_same_deployment() {
    let deployment = MockDeployment::new(2).await;
    let (shared, address) = deployment.shared();
    let options = |classes: &[&str], customers: &[&str], shared: Option<&ashtide_testkit::daemon::Shared>| {
        let classes: Vec<_> = classes.iter().map(|name| class(name, "pure", 0.0, 30.0)).collect();
        let customers: Vec<_> = customers.iter().map(|name| customer(name)).collect();
        let mut options = deployment
            .options(&json!({"name": "shared", "settings": {"classes": classes, "customers": customers}}));
        options.shared = shared.cloned();
        options
    };
    let mut first = deployment.start(&options(&["meter"], &[], Some(&shared))).await;
    let _ = deployment.established_client(address).await;
    assert!(first.send_command("cordon s-0").await.expect("an answer").starts_with("200"));
    // An upgrade may rename the only class: the listener identifies the deployment.
    let mut second = deployment.start(&options(&["metre"], &["acme"], Some(&shared))).await;
    second
        .wait_for_log_line("handover: received state from the previous process")
        .await
        .expect("the processes are siblings");
    second.wait_for_log_line("operator: s-0 is out").await.expect("the cordon is handed over");
    first.kill().await.expect("the daemon ran");
    assert!(second.send_command("cordon s-0").await.expect("an answer").starts_with("200"));
    second.kill().await.expect("the daemon ran");
    let file = deployment.folder.join("ashtide.shared.kept");
    let content = std::fs::read(&file).expect("a state file");
    // A gateway of another customer has the same name and the same class.
    let mut third = deployment.start(&options(&["metre"], &["bolt"], None)).await;
    third.wait_for_log_line("handover: ").await.expect("the state file is reported");
    let reported = |line: &String| {
        line.starts_with(&format!(
            "handover: state file {}: it belongs to the deployment 'shared' on {address}; leaving it alone",
            file.display()
        ))
    };
    assert!(third.log_lines().iter().any(reported), "{:?}", third.log_lines());
    assert!(!third.log_lines().iter().any(|line| line.ends_with("is out")), "{:?}", third.log_lines());
    // The restore phase is over in the other customer's state file and not in the third gateway, which thus
    // accepts `at=`, and uses the server that the other customer has cordoned.
    let client = ashtide_testkit::clients::LineClient::connect(third.lines).await;
    let mut client = client.expect("the client is accepted");
    client
        .send_line("OPEN 00000000000000aa 77 c=metre,t=bolt,d=3000,g=1,at=s-0")
        .await
        .expect("the line is sent");
    let mut attempt = deployment.next_attempt().await;
    assert_eq!(attempt.server, 0);
    attempt.send_line("UP r").await;
    assert_eq!(client.next().await.expect("an answer").as_deref(), Some("UP r"));
    assert!(third.send_command("cordon s-1").await.expect("an answer").starts_with("200"));
    third.kill().await.expect("the daemon ran");
    assert_eq!(std::fs::read(&file).expect("a state file"), content, "the file is not changed");
    let fourth = deployment.start(&options(&["metre", "more"], &["bolt", "more"], None)).await;
    fourth.wait_for_log_line("operator: s-1 is out").await.expect("the cordon is restored");
}

#[test]
fn state_file_without_a_deployment_is_read_and_an_oversized_one_is_not() {
    let folder = std::env::temp_dir().join(format!("ashtide-customers-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let state_folder = StateFolder::for_gateway(&folder, "n0");
    let file = |name: &str| folder.join(format!("ashtide.n0.{name}"));
    let without_deployment = r#"{"begun":true,"cordons":{"s-0":{"at":7,"out":true}}}"#;
    std::fs::write(file("kept"), without_deployment).expect("the file is written");
    let state = state_folder.load();
    assert!(state.restore_phase_over && state.cordons.is_cordoned("s-0") && state.deployment.is_none());
    state_folder.store(&state).expect("the state is stored");
    assert_eq!(state_folder.load().deployment.as_ref(), Some(state_folder.deployment()));
    // The files are a sparse one of 4 GiB, and a named pipe without a writer.
    std::fs::remove_file(file("kept")).expect("the file is removed");
    std::fs::File::create(file("kept")).expect("the file is created").set_len(4 << 30).expect("sparse");
    assert!(Command::new("mkfifo").arg(file("2.kept")).status().expect("mkfifo").success());
    assert_eq!(state_folder.load(), PersistedState::default());
    state_folder.store(&state).expect("the state is stored in a third file");
    assert!(state_folder.load().cordons.is_cordoned("s-0") && file("3.kept").exists());
    assert_eq!(std::fs::metadata(file("kept")).expect("the file exists").len(), 4 << 30);
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}

#[test]
fn eight_deployments_store_their_state_separately_and_a_ninth_overwrites_none() {
    let folder = std::env::temp_dir().join(format!("ashtide-customers-beside-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let names = ["a.a", "a_a", "a,a", "a a", "a+a", "a=a", "a:a", "a;a", "a/a"];
    let state_folders: Vec<_> = names.iter().map(|name| StateFolder::for_gateway(&folder, name)).collect();
    let state = |timestamp| {
        let mut cordons = Cordons::default();
        cordons.record("s-0", CordonChange { timestamp, cordoned: true });
        PersistedState { restore_phase_over: true, cordons, deployment: None }
    };
    for round in 0..2 {
        for (number, state_folder) in state_folders.iter().enumerate().take(8) {
            state_folder.store(&state(round * 10 + number as u64)).expect("the state is stored");
        }
    }
    for (number, state_folder) in state_folders.iter().enumerate().take(8) {
        assert_eq!(state_folder.load().cordons, state(10 + number as u64).cordons);
    }
    let error = state_folders[8].store(&state(99)).expect_err("no file for a ninth deployment");
    assert!(error.to_string().contains("other deployments'"), "{error}");
    assert_eq!(std::fs::read_dir(&folder).expect("the folder is readable").count(), 8);
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}

/// Returns the messages of a process of another deployment: an endpoint list without the only server, a
/// cordon of that server, and the state of a process that accepts clients.
fn foreign_messages(deployment: &MockDeployment, rank: u64) -> Vec<u8> {
    let foreign_folder = StateFolder::for_gateway(&deployment.folder, "a_b");
    let mut cordons = Cordons::default();
    cordons.record("s-0", CordonChange { timestamp: u64::MAX, cordoned: true });
    let state = ProcessState {
        deployment: Some(foreign_folder.deployment().clone()),
        rank,
        ready: true,
        adopts_connections: true,
        restore_phase_over: true,
        cordons,
        ..ProcessState::default()
    };
    let list = serde_json::from_value(endpoint_list(1 << 40, &[])).expect("an endpoint list");
    [SiblingMessage::List(list).encode_line(), SiblingMessage::State(state).encode_line()].concat()
}

#[tokio::test]
async fn messages_of_another_deployments_process_are_ignored_whichever_started_first() {
    let deployment = MockDeployment::new(1).await;
    let foreign_path = deployment.folder.join("ashtide.a_b.1.sock");
    let listener = UnixListener::bind(&foreign_path).expect("the socket is bound");
    let messages = foreign_messages(&deployment, 1);
    let foreign_process = tokio::spawn(async move {
        let (mut link, _) = listener.accept().await.expect("the daemon connects");
        link.write_all(&messages).await.expect("the messages are sent");
        // The daemon sends nothing and closes the link.
        let mut received = Vec::new();
        let end = within("the end of the link", link.read_to_end(&mut received)).await;
        let received_bytes = end.expect("the link is closed in time").expect("a clean end");
        (listener, received_bytes)
    });
    // Discovery cannot be reached, so that the daemon has only its configured list and siblings' messages.
    let options = deployment.options(&json!({"name": "a.b", "discovery": "127.0.0.1:1"}));
    let daemon = deployment.start(&options).await;
    let (_listener, received_bytes) = foreign_process.await.expect("the messages were sent");
    assert_eq!(received_bytes, 0);
    assert!(foreign_path.exists(), "the other process's socket is not removed");

    let files = std::fs::read_dir(&deployment.folder).expect("the folder is readable").flatten();
    let is_own_socket =
        |path: &PathBuf| path.extension().is_some_and(|it| it == "sock") && *path != foreign_path;
    let own_sockets: Vec<_> = files.map(|entry| entry.path()).filter(is_own_socket).collect();
    assert_eq!(own_sockets.len(), 1, "{own_sockets:?}");
    let mut link = UnixStream::connect(&own_sockets[0]).await.expect("the daemon listens");
    link.write_all(&foreign_messages(&deployment, u64::MAX)).await.expect("the messages are sent");
    let mut received = Vec::new();
    let end = within("the end of the link", link.read_to_end(&mut received)).await;
    end.expect("the link is closed in time").expect("a clean end");
    let recognized =
        |line: &&String| line.contains("process belongs to another deployment, 'a_b'; leaving it alone");
    daemon
        .wait_for_log("both processes", |log| log.iter().filter(recognized).count() == 2)
        .await
        .expect("both processes are recognized");
    assert!(
        !daemon.log_lines().iter().any(|line| line.contains("is out") || line.contains("accepts clients"))
    );
    // The daemon still accepts clients, and its endpoint list still has the server.
    let _ = deployment.established_client(daemon.lines).await;
}
