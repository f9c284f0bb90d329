//! Every customer kept apart: names that stand for settings, reloads while requests are open, and what other
//! deployments have left or run in the same folder.

mod mock_deployment;

use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::Path;
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

/// Wait between two looks at what is to become so.
const MOMENT: Duration = Duration::from_millis(5);
/// Longer than a key of class `brief` lasts.
const BRIEF_OVER: Duration = Duration::from_millis(80);

fn class(name: &str, effect: &str, key_ttl: f64, deadline: f64) -> Value {
    json!({"name": name, "aim": 10.0, "deadline": deadline, "effect": effect, "group": "all", "worth": 1.0,
           "keyTtl": key_ttl})
}

fn customer(name: &str) -> Value {
    json!({"name": name, "quotaPerS": 5.0})
}

/// How long a client of this class waits, in milliseconds. One whose key is over is kept for a part of it
/// before it is refused, which for a group of all servers does no harm.
fn wait(class: &str) -> u32 {
    if class == "brief" { 2_000 } else { 30_000 }
}

/// Classes of every effect.
fn settings() -> Value {
    json!({
        "classes": [class("pay", "side_effect", 0.0, 30.0), class("read", "pure", 0.0, 30.0),
                    class("book", "token", 30.0, 30.0), class("brief", "token", 0.02, 30.0)],
        "customers": [customer("acme"), customer("bolt")],
        "limits": {"maxAttempts": 2},
    })
}

/// The same names at other places, with what each may do turned round, one renamed, one more.
fn turned() -> Value {
    json!({
        "classes": [class("new", "pure", 0.0, 0.1), class("brief", "token", 30.0, 0.1),
                    class("read", "side_effect", 0.0, 0.1), class("pay", "pure", 0.0, 0.1),
                    class("late", "side_effect", 0.0, 0.1)],
        "customers": [customer("bolt"), customer("cargo"), customer("acme")],
        "limits": {"maxAttempts": 1},
    })
}

fn count(text: &str, figure: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(figure));
    line.and_then(|value| value.trim().parse().ok()).unwrap_or_else(|| panic!("no {figure}: {text}"))
}

/// Writes the daemon's file anew, whole, and sends SIGHUP.
fn rewrite(daemon: &Daemon, text: &str) {
    let next = daemon.config_file().with_extension("next");
    std::fs::write(&next, text).expect("written");
    std::fs::rename(&next, daemon.config_file()).expect("in place");
    daemon.send_sighup().expect("it runs");
}

fn times(said: &[String], beginning: &str) -> usize {
    said.iter().filter(|line| line.starts_with(beginning)).count()
}

#[test]
fn a_list_of_another_length_is_named_and_none_is_refused() {
    for (info, remarks) in [
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
        assert_eq!(PlatformSettings::parse(&all.to_string()).expect("legal").warnings(), remarks);
    }
    // Both parsers reject a name that occurs twice.
    let twice = json!({"classes": [class("a", "pure", 0.0, 1.0), class("a", "side_effect", 0.0, 1.0)]});
    let error = PlatformSettings::parse(&twice.to_string()).err().expect("refused").to_string();
    assert!(error.starts_with("classes[1].name: 'a' occurs twice"), "{error}");
}

#[test]
fn an_unusable_file_is_named_with_its_key_and_a_variable_is_not_the_files() {
    let path = std::env::temp_dir().join(format!("ashtide-customers-{}.json", std::process::id()));
    let config = |settings: Value, operator: Option<&'static str>| {
        let all =
            json!({"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings});
        std::fs::write(&path, all.to_string()).expect("written");
        Config::read(|name| match name {
            "ROUTER_CONFIG" => Some(path.display().to_string()),
            "ROUTER_OPERATOR" => operator.map(str::to_owned),
            _ => None,
        })
        .map(|_| ())
        .map_err(|error| error.to_string())
    };
    let mut twice = settings();
    twice["customers"][1]["name"] = json!("acme");
    let refused = config(twice, None).expect_err("a name twice");
    assert!(refused.starts_with("settings.customers[1].name: 'acme' occurs twice"), "{refused}");
    assert!(refused.ends_with(&format!(", in {}", path.display())), "{refused}");
    let variable = config(settings(), Some("the door")).expect_err("no address");
    assert!(variable.starts_with("ROUTER_OPERATOR: ") && !variable.contains(".json"), "{variable}");
    assert_eq!(config(settings(), None), Ok(()));
    std::fs::remove_file(path).expect("no file");
}

#[tokio::test]
async fn a_request_is_judged_by_the_settings_it_was_taken_under() {
    let deployment = MockDeployment::new(8).await;
    let mut daemon = deployment.start(&deployment.options(&json!({"settings": settings()}))).await;
    let at = daemon.lines;
    let mut open = Vec::new();
    for class in ["pay", "read", "book", "brief"] {
        open.push((class, deployment.requesting_client(at, class, wait(class)).await));
    }
    daemon.reload("settings", turned()).expect("it runs");
    daemon.wait_for_log_line("reload: settings has changed").await.expect("read");
    sleep(BRIEF_OVER).await;
    // What was out at the reload, and what comes after it.
    for round in 0..2 {
        for class in ["pay", "read", "book", "brief"] {
            let (mut client, attempt) = match open.iter().position(|it| it.0 == class) {
                Some(place) => open.swap_remove(place).1,
                None => deployment.requesting_client(at, class, wait(class)).await,
            };
            sleep(BRIEF_OVER).await;
            drop(attempt.stream);
            let due = match class {
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
            let word = client.next().await.expect("an answer").unwrap_or_default();
            assert!(word.starts_with(due), "{class} in round {round}: {word}");
        }
    }
    for unknown in ["new", "late"] {
        assert_eq!(
            request_connection(at, unknown, 3_000).await.next().await.expect("an answer").as_deref(),
            Some("ERR")
        );
    }
    let text = daemon.send_command("counters").await.expect("figures");
    let figures = ["passed", "dropped", "bad_gateway", "upstream_tries"];
    for (class, due) in
        [("pay", [0, 0, 2, 2]), ("read", [2, 0, 0, 4]), ("book", [2, 0, 0, 4]), ("brief", [0, 2, 0, 2])]
    {
        let seen = figures.map(|name| count(&text, &format!("router_{name}_total{{category=\"{class}\"}} ")));
        assert_eq!(seen, due, "{class}");
    }
    assert!(!text.contains("\"new\"") && !text.contains("\"late\""), "{text}");
    // The time to leave is that of the deadlines it was started with.
    daemon.terminate().expect("it runs");
    daemon.wait_for_log_line("ashtide: stop requested; exiting within 3700 ms").await.expect("leaves");
}

#[tokio::test]
async fn what_runs_is_what_a_reload_compares_with_and_a_bad_file_changes_nothing() {
    let deployment = MockDeployment::new(2).await;
    let mut daemon = deployment.start(&deployment.options(&json!({"settings": settings()}))).await;
    let good = daemon.config().to_string();
    let path = daemon.config_file().display().to_string();
    let mut lacks = daemon.config().clone();
    lacks.as_object_mut().expect("keys").remove("settings");
    let mut twice = daemon.config().clone();
    twice["settings"]["classes"][3]["name"] = json!("pay");
    for (text, why) in [
        (good[..good.len() / 2].to_owned(), "EOF"),
        (lacks.to_string(), "settings is missing"),
        (twice.to_string(), "settings.classes[3].name: 'pay' occurs twice"),
    ] {
        rewrite(&daemon, &text);
        let named = |line: &String| {
            let whole =
                line.starts_with("reload: ") && line.ends_with("; keeping the configuration that is active");
            whole && line.contains(why) && line.contains(&path)
        };
        daemon.wait_for_log("the bad file", |said| said.iter().any(named)).await.expect("named");
        let (mut client, mut attempt) = deployment.requesting_client(daemon.lines, "pay", 30_000).await;
        attempt.send_line("UP r").await;
        assert_eq!(client.next().await.expect("an answer").as_deref(), Some("UP r"));
    }
    assert_eq!(times(&daemon.log_lines(), "reload: settings"), 2, "the two that are refused");
    // Told as often as it is read, until it is put back.
    let was = daemon.config()["settings"].clone();
    for number in 1..=2 {
        daemon.reload("settings", turned()).expect("it runs");
        let told = |said: &[String]| times(said, "reload: settings has changed") == number;
        daemon.wait_for_log("the change", told).await.expect("told");
    }
    let read = times(&daemon.log_lines(), "reload: discovery stays");
    daemon.reload("settings", was).expect("it runs");
    daemon.wait_for_log("a third", |said| times(said, "reload: discovery stays") > read).await.expect("read");
    // Its lines come together: a fourth one bounds them.
    daemon.send_sighup().expect("it runs");
    daemon
        .wait_for_log("a fourth", |said| times(said, "reload: discovery stays") > read + 1)
        .await
        .expect("read");
    assert_eq!(times(&daemon.log_lines(), "reload: settings has changed"), 2, "{:?}", daemon.log_lines());
}

/// Opens the pipe at this path once the daemon reads there: the file that it waits for.
async fn pipe(path: &Path) -> std::fs::File {
    let open = async {
        loop {
            // O_NONBLOCK: fails at once where nobody reads.
            match std::fs::OpenOptions::new().write(true).custom_flags(0o4000).open(path) {
                Ok(pipe) => return pipe,
                Err(_) => sleep(MOMENT).await,
            }
        }
    };
    within("a daemon that reads", open).await.expect("in time")
}

/// Puts a pipe in the place of the daemon's file.
fn lay_pipe(daemon: &Daemon) {
    let next = daemon.config_file().with_extension("pipe");
    assert!(Command::new("mkfifo").arg(&next).status().expect("mkfifo").success());
    std::fs::rename(&next, daemon.config_file()).expect("in place");
}

#[tokio::test]
async fn hang_ups_while_a_file_is_read_count_as_one_and_a_stop_waits_for_none() {
    let deployment = MockDeployment::new(2).await;
    let daemon = deployment.start(&deployment.options(&json!({}))).await;
    let good = daemon.config().to_string();
    lay_pipe(&daemon);
    daemon.send_sighup().expect("it runs");
    let mut reading = pipe(&daemon.config_file()).await;
    for _ in 0..3 {
        daemon.send_sighup().expect("it runs");
        // Served meanwhile, and the signal has been seen by then.
        let _ = deployment.established_client(daemon.lines).await;
    }
    reading.write_all(good.as_bytes()).expect("written");
    drop(reading);
    daemon.wait_for_log_line("reload: discovery stays").await.expect("read");
    let mut reading = pipe(&daemon.config_file()).await;
    reading.write_all(good.as_bytes()).expect("written");
    drop(reading);
    let read = |number| move |said: &[String]| times(said, "reload: discovery stays") == number;
    daemon.wait_for_log("the second", read(2)).await.expect("read");
    rewrite(&daemon, &good);
    daemon.wait_for_log("a third", read(3)).await.expect("read");
    // A disk that hangs.
    lay_pipe(&daemon);
    daemon.send_sighup().expect("it runs");
    let _reading = pipe(&daemon.config_file()).await;
    daemon.terminate().expect("it runs");
    let (status, said) = daemon.wait_for_exit().await.expect("it ends");
    assert!(status.success() && times(&said, "reload: ") == 3, "{status}: {said:?}");
}

#[tokio::test]
async fn two_balancers_whose_names_come_to_one_file_name_do_not_meet() {
    let deployment = MockDeployment::new(2).await;
    let one = deployment.start(&deployment.options(&json!({"name": "a.b"}))).await;
    let two = deployment.start(&deployment.options(&json!({"name": "a_b"}))).await;
    two.wait_for_log("the other", |said| {
        said.iter()
            .any(|line| line.contains("process belongs to another deployment, 'a.b'; leaving it alone"))
    })
    .await
    .expect("told apart");
    for (daemon, server) in [(&one, "s-0"), (&two, "s-1")] {
        let answer = daemon.send_command(&format!("cordon {server}")).await.expect("an answer");
        assert!(answer.starts_with("200"), "{answer}");
    }
    // Both take clients, each at the server that it has left.
    for (daemon, server) in [(&one, 1), (&two, 0)] {
        assert_eq!(deployment.established_client(daemon.lines).await.1.server, server);
    }
    let kept = |name: &str| std::fs::read_to_string(deployment.folder.join(name)).expect("kept");
    assert!(kept("ashtide.a_b.kept").contains("a.b") && kept("ashtide.a_b.2.kept").contains("a_b"));
    // Each finds its own again, whatever stands before it.
    let end = |mut daemon: Daemon| async move { daemon.kill().await.expect("it ran") };
    end(one).await;
    end(two).await;
    for (name, out) in [("a_b", "s-1"), ("a.b", "s-0")] {
        let daemon = deployment.start(&deployment.options(&json!({"name": name}))).await;
        daemon.wait_for_log("its cordon", |said| times(said, "operator: ") >= 2).await.expect("kept");
        let cordons: Vec<_> =
            daemon.log_lines().into_iter().filter(|line| line.ends_with(" is out")).collect();
        assert_eq!(cordons, [format!("operator: {out} is out")], "{name}");
        end(daemon).await;
    }
}

#[tokio::test]
async fn another_customers_file_is_left_alone_and_a_renamed_class_is_no_other_customer() {
    let deployment = MockDeployment::new(2).await;
    let (shared, at) = deployment.shared();
    let options = |classes: &[&str], customers: &[&str], shared: Option<&ashtide_testkit::daemon::Shared>| {
        let classes: Vec<_> = classes.iter().map(|name| class(name, "pure", 0.0, 30.0)).collect();
        let customers: Vec<_> = customers.iter().map(|name| customer(name)).collect();
        let mut options = deployment
            .options(&json!({"name": "shared", "settings": {"classes": classes, "customers": customers}}));
        options.shared = shared.cloned();
        options
    };
    let mut first = deployment.start(&options(&["meter"], &[], Some(&shared))).await;
    let _ = deployment.established_client(at).await;
    assert!(first.send_command("cordon s-0").await.expect("an answer").starts_with("200"));
    // An upgrade may rename its only class: the listener is the same.
    let mut second = deployment.start(&options(&["metre"], &["acme"], Some(&shared))).await;
    second.wait_for_log_line("handover: received state from the previous process").await.expect("met");
    second.wait_for_log_line("operator: s-0 is out").await.expect("kept");
    first.kill().await.expect("it ran");
    assert!(second.send_command("cordon s-0").await.expect("an answer").starts_with("200"));
    second.kill().await.expect("it ran");
    let file = deployment.folder.join("ashtide.shared.kept");
    let theirs = std::fs::read(&file).expect("kept");
    // Another customer's, under the same name and with the same class.
    let mut third = deployment.start(&options(&["metre"], &["bolt"], None)).await;
    third.wait_for_log_line("handover: ").await.expect("said");
    let named = |line: &String| {
        line.starts_with(&format!(
            "handover: state file {}: it belongs to the deployment 'shared' on {at}; leaving it alone",
            file.display()
        ))
    };
    assert!(third.log_lines().iter().any(named), "{:?}", third.log_lines());
    assert!(!third.log_lines().iter().any(|line| line.ends_with("is out")), "{:?}", third.log_lines());
    // Their run has begun, and ours has not: `at=` is open, the server that they have out is used.
    let mut client = ashtide_testkit::clients::LineClient::connect(third.lines).await.expect("taken");
    client.send_line("OPEN 00000000000000aa 77 c=metre,t=bolt,d=3000,g=1,at=s-0").await.expect("heard");
    let mut attempt = deployment.next_attempt().await;
    assert_eq!(attempt.server, 0);
    attempt.send_line("UP r").await;
    assert_eq!(client.next().await.expect("an answer").as_deref(), Some("UP r"));
    assert!(third.send_command("cordon s-1").await.expect("an answer").starts_with("200"));
    third.kill().await.expect("it ran");
    assert_eq!(std::fs::read(&file).expect("kept"), theirs, "byte for byte");
    let fourth = deployment.start(&options(&["metre", "more"], &["bolt", "more"], None)).await;
    fourth.wait_for_log_line("operator: s-1 is out").await.expect("ours");
}

#[test]
fn a_file_that_does_not_say_whose_it_is_is_read_and_a_huge_one_is_not() {
    let folder = std::env::temp_dir().join(format!("ashtide-customers-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let place = StateFolder::for_gateway(&folder, "n0");
    let file = |name: &str| folder.join(format!("ashtide.n0.{name}"));
    std::fs::write(file("kept"), r#"{"begun":true,"cordons":{"s-0":{"at":7,"out":true}}}"#).expect("written");
    let kept = place.load();
    assert!(kept.restore_phase_over && kept.cordons.is_cordoned("s-0") && kept.deployment.is_none());
    place.store(&kept).expect("kept");
    assert_eq!(place.load().deployment.as_ref(), Some(place.deployment()));
    // Four gigabytes, sparse; and a pipe that nobody writes.
    std::fs::remove_file(file("kept")).expect("there");
    std::fs::File::create(file("kept")).expect("created").set_len(4 << 30).expect("sparse");
    assert!(Command::new("mkfifo").arg(file("2.kept")).status().expect("mkfifo").success());
    assert_eq!(place.load(), PersistedState::default());
    place.store(&kept).expect("kept beside them");
    assert!(place.load().cordons.is_cordoned("s-0") && file("3.kept").exists());
    assert_eq!(std::fs::metadata(file("kept")).expect("left").len(), 4 << 30);
    std::fs::remove_dir_all(folder).expect("no folder");
}

#[test]
fn ours_is_kept_beside_any_other_deployments_and_nothing_of_theirs_is_lost() {
    let folder = std::env::temp_dir().join(format!("ashtide-customers-beside-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let names = ["a.a", "a_a", "a,a", "a a", "a+a", "a=a", "a:a", "a;a", "a/a"];
    let places: Vec<_> = names.iter().map(|name| StateFolder::for_gateway(&folder, name)).collect();
    let kept = |at| {
        let mut cordons = Cordons::default();
        cordons.record("s-0", CordonChange { timestamp: at, cordoned: true });
        PersistedState { restore_phase_over: true, cordons, deployment: None }
    };
    for round in 0..2 {
        for (number, place) in places.iter().enumerate().take(8) {
            place.store(&kept(round * 10 + number as u64)).expect("kept");
        }
    }
    for (number, place) in places.iter().enumerate().take(8) {
        assert_eq!(place.load().cordons, kept(10 + number as u64).cordons);
    }
    let full = places[8].store(&kept(99)).expect_err("no ninth");
    assert!(full.to_string().contains("other deployments'"), "{full}");
    assert_eq!(std::fs::read_dir(&folder).expect("the folder").count(), 8);
    std::fs::remove_dir_all(folder).expect("no folder");
}

/// What a process of another deployment tells: a list without the only server, that operators have it out,
/// and that it takes the clients.
fn foreign(deployment: &MockDeployment, started: u64) -> Vec<u8> {
    let theirs = StateFolder::for_gateway(&deployment.folder, "a_b");
    let mut cordons = Cordons::default();
    cordons.record("s-0", CordonChange { timestamp: u64::MAX, cordoned: true });
    let whose = Some(theirs.deployment().clone());
    let state = ProcessState {
        deployment: whose,
        rank: started,
        ready: true,
        adopts_connections: true,
        restore_phase_over: true,
        cordons,
        ..ProcessState::default()
    };
    let news = serde_json::from_value(endpoint_list(1 << 40, &[])).expect("a list");
    [SiblingMessage::List(news).encode_line(), SiblingMessage::State(state).encode_line()].concat()
}

#[tokio::test]
async fn nothing_of_another_deployments_process_is_taken_whichever_came_first() {
    let deployment = MockDeployment::new(1).await;
    let older = deployment.folder.join("ashtide.a_b.1.sock");
    let listener = UnixListener::bind(&older).expect("bound");
    let told = foreign(&deployment, 1);
    let greets = tokio::spawn(async move {
        let (mut link, _) = listener.accept().await.expect("met");
        link.write_all(&told).await.expect("told");
        // Nothing is told to it, and it is let go.
        let mut said = Vec::new();
        let read = within("an end", link.read_to_end(&mut said)).await.expect("in time").expect("an end");
        (listener, read)
    });
    // Discovery that cannot be reached: only the list that it was given, and what others tell.
    let options = deployment.options(&json!({"name": "a.b", "discovery": "127.0.0.1:1"}));
    let daemon = deployment.start(&options).await;
    let (_listener, read) = greets.await.expect("greeted");
    assert_eq!(read, 0);
    assert!(older.exists(), "its socket is left to it");

    let sockets = std::fs::read_dir(&deployment.folder).expect("the folder").flatten().map(|it| it.path());
    let ours = sockets.filter(|path| path.extension().is_some_and(|it| it == "sock") && *path != older);
    let ours: Vec<_> = ours.collect();
    assert_eq!(ours.len(), 1, "{ours:?}");
    let mut link = UnixStream::connect(&ours[0]).await.expect("there");
    link.write_all(&foreign(&deployment, u64::MAX)).await.expect("told");
    let mut said = Vec::new();
    within("an end", link.read_to_end(&mut said)).await.expect("in time").expect("let go");
    let apart =
        |line: &&String| line.contains("process belongs to another deployment, 'a_b'; leaving it alone");
    daemon.wait_for_log("both", |said| said.iter().filter(apart).count() == 2).await.expect("told apart");
    assert!(
        !daemon.log_lines().iter().any(|line| line.contains("is out") || line.contains("accepts clients"))
    );
    // It still takes clients, and its server is on its list.
    let _ = deployment.established_client(daemon.lines).await;
}
