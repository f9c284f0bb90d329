//! Guards the daemon's command line: standard output, standard error and exit code of each call, against a fixture
//! that was recorded once and never changes.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Compares with a fixture. What was found instead is left beside the build's temporary files.
fn assert_fixture(name: &str, found: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility/cli").join(name);
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    if expected == found {
        return;
    }
    let kept = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&kept, found).expect("the build's folder");
    let line = expected.lines().zip(found.lines()).position(|(expected, found)| expected != found);
    let line = line.unwrap_or_else(|| expected.lines().count().min(found.lines().count()));
    panic!(
        "{name}, line {}:\nexpected: {:?}\nfound:    {:?}\nall that was found: {}",
        line + 1,
        expected.lines().nth(line),
        found.lines().nth(line),
        kept.display()
    );
}

/// Where the files of a call stand, so that it can name them without a path of this machine.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ashtide-cli-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).expect("written");
    }

    fn run(&self, environment: &[(&str, &str)], arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ashtide"));
        command.current_dir(&self.0).args(arguments).env_clear().envs(environment.iter().copied());
        command.output().expect("it runs")
    }

    /// What the daemon says and does when it is called so.
    fn call(&self, environment: &[(&str, &str)], arguments: &[&str]) -> String {
        let output = self.run(environment, arguments);
        let mut text = String::new();
        for (name, value) in environment {
            let _ = write!(text, "{name}={value} ");
        }
        let _ = writeln!(text, "$ ashtide {}", arguments.join(" "));
        for (stream, bytes) in [("out", &output.stdout), ("err", &output.stderr)] {
            for line in String::from_utf8(bytes.clone()).expect("text").split_inclusive('\n') {
                let end = if line.ends_with('\n') { "" } else { " (no line end)" };
                let _ = writeln!(text, "{stream}: {}{end}", line.trim_end_matches('\n'));
            }
        }
        let code = output.status.code().expect("no signal");
        let _ = writeln!(text, "exit code {code}\n");
        text
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn help_and_unknown_arguments_are_as_recorded() {
    let folder = Folder::new("help");
    let calls: [&[&str]; 29] = [
        &["--help"],
        &["-h"],
        &["help"],
        &["--version"],
        &["-V"],
        &["serve", "--help"],
        &["check", "--help"],
        &["check", "-h"],
        &["help", "check"],
        &["schema", "--help"],
        &["maintenance", "--help"],
        &["maintenance", "request", "--help"],
        &["maintenance", "list", "--help"],
        &["maintenance", "done", "--help"],
        &["maintenance", "cancel", "--help"],
        &["schema"],
        &["--no-such"],
        &["no-such"],
        &["serve", "--no-such"],
        &["serve", "file"],
        &["check"],
        &["check", "--allow"],
        &["check", "--allow", "10.0.0.0/33", "a.toml"],
        &["schema", "more"],
        &["maintenance"],
        &["maintenance", "no-such"],
        &["maintenance", "request"],
        &["maintenance", "--door", "nowhere", "list"],
        &["--fronts", "a.toml", "serve"],
    ];
    let found: String = calls.iter().map(|arguments| folder.call(&[], arguments)).collect();
    assert_fixture("help.txt", &found);
}

#[test]
fn lists_are_checked_as_recorded() {
    let folder = Folder::new("check");
    let server =
        |name: &str, address: &str| format!("[[servers]]\nname = \"{name}\"\naddress = \"{address}\"\n");
    let list = |servers: &str| format!("version = 1\n{servers}");
    folder.write("good.toml", &list(&server("a", "10.0.0.1:80")));
    folder.write("more.toml", &list(&(server("b", "10.0.0.2:80") + "weight = 2.5\nstate = \"draining\"\n")));
    folder.write("good.json", "{\"version\":1,\"servers\":[{\"name\":\"c\",\"address\":\"[fd00::1]:80\"}]}");
    folder.write("clash.toml", &list(&server("a", "10.0.0.9:80")));
    folder.write("taken.toml", &list(&server("z", "10.0.0.1:80")));
    folder.write("empty.toml", "");
    folder.write("none.toml", "version = 1\nservers = []\n");
    folder.write("broken.toml", "version = 1\nservers = [\n");
    folder.write("broken.json", "{\"version\":1,");
    folder.write("form.toml", &list(&server("a", "x")).replace("version = 1", "version = 2"));
    folder.write(
        "wrong.json",
        "{\"version\":1,\"servers\":[{\"name\":\"a\",\"address\":\"x\",\"weight\":-1},{\"nam\":\"b\"}]}",
    );
    let many: String = (0..120).map(|number| server(&format!("s-{number}"), "nowhere")).collect();
    folder.write("many.toml", &list(&many));
    let calls: [&[&str]; 23] = [
        &["check", "good.toml"],
        &["check", "good.toml", "--json"],
        &["check", "--json", "good.toml", "more.toml", "good.json"],
        &["check", "good.toml", "more.toml", "good.json"],
        &["check", "good.toml", "good.toml"],
        &["check", "good.toml", "clash.toml"],
        &["check", "good.toml", "taken.toml", "--json"],
        &["check", "good.toml", "--allow", "10.9.0.0/16"],
        &["check", "good.toml", "--allow", "10.9.0.0/16", "--allow", "10.0.0.0/8"],
        &["check", "empty.toml"],
        &["check", "none.toml"],
        &["check", "none.toml", "--json"],
        &["check", "broken.toml"],
        &["check", "broken.json", "--json"],
        &["check", "form.toml"],
        &["check", "wrong.json"],
        &["check", "wrong.json", "--json"],
        &["check", "wrong.json", "form.toml", "good.toml"],
        &["check", "many.toml"],
        &["check", "nowhere.toml"],
        &["check", "good.toml", "nowhere.toml", "--json"],
        &["check", "wrong.json", "nowhere.toml"],
        &["check", "."],
    ];
    let found: String = calls.iter().map(|arguments| folder.call(&[], arguments)).collect();
    assert_fixture("check.txt", &found);
}

/// A start: its environment, its arguments, and what the error has to name.
type Start = (&'static [(&'static str, &'static str)], &'static [&'static str], &'static [&'static str]);

/// Errors of a start are log lines, whose wording is free: each names the file or key at fault.
#[test]
fn a_start_without_its_files_fails_and_names_what_is_at_fault() {
    let folder = Folder::new("starts");
    folder
        .write("good.json", r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","settings":{}}"#);
    folder.write("empty.json", "{}");
    folder.write("broken.json", "{\"name\":");
    folder.write("quota.toml", "");
    folder.write("wrong.toml", "nonsense = 1\n");
    const GOOD: &[(&str, &str)] = &[("ROUTER_CONFIG", "good.json")];
    let starts: [Start; 11] = [
        (&[], &[], &["ROUTER_CONFIG"]),
        (&[], &["serve"], &["ROUTER_CONFIG"]),
        (&[("ROUTER_CONFIG", "nowhere.json")], &[], &["nowhere.json", "No such file"]),
        (&[("ROUTER_CONFIG", "empty.json")], &[], &["empty.json", "name"]),
        (&[("ROUTER_CONFIG", "broken.json")], &["serve"], &["broken.json", "line 1"]),
        (GOOD, &["--fronts", "nowhere.toml"], &["nowhere.toml", "No such file"]),
        (GOOD, &["serve", "--fronts", "wrong.toml"], &["wrong.toml", "nonsense"]),
        (GOOD, &["--view", "nowhere.toml"], &["nowhere.toml", "--view"]),
        (GOOD, &["--maintenance", "nowhere.toml"], &["nowhere.toml", "--maintenance"]),
        (GOOD, &["--quota", "quota.toml"], &["quota", "--view"]),
        (
            &[("ROUTER_CONFIG", "good.json"), ("ROUTER_INHERITED_FD", "77")],
            &["serve"],
            &["ROUTER_INHERITED_FD", "77"],
        ),
    ];
    for (environment, arguments, names) in starts {
        let output = folder.run(environment, arguments);
        let error = String::from_utf8(output.stderr).expect("text");
        assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0), "{arguments:?}: {error}");
        assert!(error.starts_with("ashtide: ") && error.ends_with('\n'), "{arguments:?}: {error}");
        for name in names {
            assert!(error.contains(name), "{arguments:?}: {name} is not named in {error}");
        }
    }
}

/// Answers one call with this text; the call that came, and its answer, as the caller shows it.
fn answered(folder: &Folder, arguments: &[&str], answer: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let answer = answer.to_owned();
    let gateway = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let mut call = Vec::new();
        let mut byte = [0];
        while !call.ends_with(b"\n") && stream.read(&mut byte).expect("a call") > 0 {
            call.push(byte[0]);
        }
        stream.write_all(answer.as_bytes()).expect("an answer");
        call
    });
    let arguments: Vec<&str> =
        arguments.iter().map(|&argument| if argument == "ADDRESS" { &address } else { argument }).collect();
    let environment = [("ROUTER_OPERATOR", address.as_str())];
    let environment = if arguments.contains(&address.as_str()) { &[][..] } else { &environment[..] };
    let said = folder.call(environment, &arguments).replace(&address, "ADDRESS");
    let call = gateway.join().expect("a call");
    format!("call: '{}'\n{said}", call.escape_ascii())
}

#[test]
fn calls_of_maintenance_are_as_recorded() {
    let folder = Folder::new("maintenance");
    let mut found = folder.call(&[], &["maintenance", "list"]);
    found += &folder.call(&[("ROUTER_OPERATOR", "nowhere")], &["maintenance", "list"]);
    let free = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port");
    let refused = folder.call(&[], &["maintenance", "--door", &free.to_string(), "done", "s-1"]);
    found += &refused.replace(&free.to_string(), "ADDRESS");
    let calls: [(&[&str], &str); 8] = [
        (&["maintenance", "list"], "200 nothing\nmore\n"),
        (&["maintenance", "--door", "ADDRESS", "list"], "200 nothing\n"),
        (&["maintenance", "--door", "ADDRESS", "request", "s-1"], "200 queued\n"),
        (&["maintenance", "--door", "ADDRESS", "request", "s-1", "--reason", "new disks"], "200 queued"),
        (&["maintenance", "--door", "ADDRESS", "request", "s-1", "--reason", " "], "400 no reason\n"),
        (&["maintenance", "--door", "ADDRESS", "done", "s-1"], "400 not granted\n"),
        (&["maintenance", "--door", "ADDRESS", "cancel", "s-1"], "503 no quorum\n"),
        (&["maintenance", "--door", "ADDRESS", "cancel", "s-1"], ""),
    ];
    for (arguments, answer) in calls {
        found += &answered(&folder, arguments, answer);
    }
    assert_fixture("maintenance.txt", &found);
}
