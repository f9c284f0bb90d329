//! Compatibility of the daemon's command line: standard output, standard error and exit code of each
//! invocation are compared with recorded fixtures. A recorded line changes only together with the wording of
//! the text that it contains.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Compares a text with a fixture. If they differ, the text is written to the build's folder of temporary
/// files.
fn assert_fixture(name: &str, found: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility/cli").join(name);
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    if expected == found {
        return;
    }
    let found_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&found_path, found).expect("written to the build's folder");
    let line = expected.lines().zip(found.lines()).position(|(expected, found)| expected != found);
    let line = line.unwrap_or_else(|| expected.lines().count().min(found.lines().count()));
    panic!(
        "{name}, line {}:\nexpected: {:?}\nfound:    {:?}\ncomplete text: {}",
        line + 1,
        expected.lines().nth(line),
        found.lines().nth(line),
        found_path.display()
    );
}

/// Working directory of the invocations, so that their arguments need no absolute paths, which would differ
/// between machines. It is removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ashtide-cli-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("created folder");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).expect("written file");
    }

    /// Runs the daemon's binary with this environment alone.
    fn run(&self, environment: &[(&str, &str)], arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ashtide"));
        command.current_dir(&self.0).args(arguments).env_clear().envs(environment.iter().copied());
        command.output().expect("output of the command")
    }

    /// Returns the record of an invocation as in the fixtures: the command line, its output and its exit
    /// code.
    fn record_invocation(&self, environment: &[(&str, &str)], arguments: &[&str]) -> String {
        let output = self.run(environment, arguments);
        let mut text = String::new();
        for (name, value) in environment {
            let _ = write!(text, "{name}={value} ");
        }
        let _ = writeln!(text, "$ ashtide {}", arguments.join(" "));
        for (stream, bytes) in [("out", &output.stdout), ("err", &output.stderr)] {
            for line in String::from_utf8(bytes.clone()).expect("UTF-8 output").split_inclusive('\n') {
                let end = if line.ends_with('\n') { "" } else { " (no line end)" };
                let _ = writeln!(text, "{stream}: {}{end}", line.trim_end_matches('\n'));
            }
        }
        let code = output.status.code().expect("exit without a signal");
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
    let invocations: [&[&str]; 29] = [
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
    let found: String =
        invocations.iter().map(|arguments| folder.record_invocation(&[], arguments)).collect();
    assert_fixture("help.txt", &found);
}

#[test]
fn checks_of_server_lists_are_as_recorded() {
    let folder = Folder::new("check");
    let server_entry =
        |name: &str, address: &str| format!("[[servers]]\nname = \"{name}\"\naddress = \"{address}\"\n");
    let list_file = |servers: &str| format!("version = 1\n{servers}");
    folder.write("good.toml", &list_file(&server_entry("a", "10.0.0.1:80")));
    folder.write(
        "more.toml",
        &list_file(&(server_entry("b", "10.0.0.2:80") + "weight = 2.5\nstate = \"draining\"\n")),
    );
    folder.write("good.json", "{\"version\":1,\"servers\":[{\"name\":\"c\",\"address\":\"[fd00::1]:80\"}]}");
    folder.write("clash.toml", &list_file(&server_entry("a", "10.0.0.9:80")));
    folder.write("taken.toml", &list_file(&server_entry("z", "10.0.0.1:80")));
    folder.write("empty.toml", "");
    folder.write("none.toml", "version = 1\nservers = []\n");
    folder.write("broken.toml", "version = 1\nservers = [\n");
    folder.write("broken.json", "{\"version\":1,");
    folder.write("form.toml", &list_file(&server_entry("a", "x")).replace("version = 1", "version = 2"));
    folder.write(
        "wrong.json",
        "{\"version\":1,\"servers\":[{\"name\":\"a\",\"address\":\"x\",\"weight\":-1},{\"nam\":\"b\"}]}",
    );
    let invalid_entries: String =
        (0..120).map(|number| server_entry(&format!("s-{number}"), "nowhere")).collect();
    folder.write("many.toml", &list_file(&invalid_entries));
    let invocations: [&[&str]; 23] = [
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
    let found: String =
        invocations.iter().map(|arguments| folder.record_invocation(&[], arguments)).collect();
    assert_fixture("check.txt", &found);
}

/// Environment and arguments of a start that fails, and texts that its error has to contain.
type FailingStart =
    (&'static [(&'static str, &'static str)], &'static [&'static str], &'static [&'static str]);

/// Errors at the start are log lines, whose wording is not fixed. Each has to name the file or key at fault.
#[test]
fn a_failing_start_names_the_file_or_key_at_fault() {
    let folder = Folder::new("starts");
    folder
        .write("good.json", r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","settings":{}}"#);
    folder.write("empty.json", "{}");
    folder.write("broken.json", "{\"name\":");
    folder.write("quota.toml", "");
    folder.write("wrong.toml", "nonsense = 1\n");
    const VALID_CONFIG: &[(&str, &str)] = &[("ROUTER_CONFIG", "good.json")];
    let starts: [FailingStart; 11] = [
        (&[], &[], &["ROUTER_CONFIG"]),
        (&[], &["serve"], &["ROUTER_CONFIG"]),
        (&[("ROUTER_CONFIG", "nowhere.json")], &[], &["nowhere.json", "No such file"]),
        (&[("ROUTER_CONFIG", "empty.json")], &[], &["empty.json", "name"]),
        (&[("ROUTER_CONFIG", "broken.json")], &["serve"], &["broken.json", "line 1"]),
        (VALID_CONFIG, &["--fronts", "nowhere.toml"], &["nowhere.toml", "No such file"]),
        (VALID_CONFIG, &["serve", "--fronts", "wrong.toml"], &["wrong.toml", "nonsense"]),
        (VALID_CONFIG, &["--view", "nowhere.toml"], &["nowhere.toml", "--view"]),
        (VALID_CONFIG, &["--maintenance", "nowhere.toml"], &["nowhere.toml", "--maintenance"]),
        (VALID_CONFIG, &["--quota", "quota.toml"], &["quota", "--view"]),
        (
            &[("ROUTER_CONFIG", "good.json"), ("ROUTER_INHERITED_FD", "77")],
            &["serve"],
            &["ROUTER_INHERITED_FD", "77"],
        ),
    ];
    for (environment, arguments, expected_texts) in starts {
        let output = folder.run(environment, arguments);
        let error = String::from_utf8(output.stderr).expect("UTF-8 output");
        assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0), "{arguments:?}: {error}");
        assert!(error.starts_with("ashtide: ") && error.ends_with('\n'), "{arguments:?}: {error}");
        for expected in expected_texts {
            assert!(error.contains(expected), "{arguments:?}: expected {expected} in {error}");
        }
    }
}

/// Runs a command against a mock gateway that sends `response` to one request. Returns the request and the
/// record of the invocation. The argument `ADDRESS` is replaced by the gateway's address; without it, the
/// environment contains the address.
fn record_request(folder: &Folder, arguments: &[&str], response: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("bound listener").to_string();
    let response = response.to_owned();
    let gateway = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accepted connection");
        let mut request = Vec::new();
        let mut byte = [0];
        while !request.ends_with(b"\n") && stream.read(&mut byte).expect("received request") > 0 {
            request.push(byte[0]);
        }
        stream.write_all(response.as_bytes()).expect("sent response");
        request
    });
    let arguments: Vec<&str> =
        arguments.iter().map(|&argument| if argument == "ADDRESS" { &address } else { argument }).collect();
    let environment = [("ROUTER_OPERATOR", address.as_str())];
    let environment = if arguments.contains(&address.as_str()) { &[][..] } else { &environment[..] };
    let record = folder.record_invocation(environment, &arguments).replace(&address, "ADDRESS");
    let request = gateway.join().expect("request");
    format!("call: '{}'\n{record}", request.escape_ascii())
}

#[test]
fn maintenance_commands_are_as_recorded() {
    let folder = Folder::new("maintenance");
    let mut found = folder.record_invocation(&[], &["maintenance", "list"]);
    found += &folder.record_invocation(&[("ROUTER_OPERATOR", "nowhere")], &["maintenance", "list"]);
    // No process listens on this address, as its listener is dropped.
    let unused_address =
        TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("free port");
    let arguments = ["maintenance", "--door", &unused_address.to_string(), "done", "s-1"];
    found += &folder.record_invocation(&[], &arguments).replace(&unused_address.to_string(), "ADDRESS");
    let invocations: [(&[&str], &str); 8] = [
        (&["maintenance", "list"], "200 nothing\nmore\n"),
        (&["maintenance", "--door", "ADDRESS", "list"], "200 nothing\n"),
        (&["maintenance", "--door", "ADDRESS", "request", "s-1"], "200 queued\n"),
        (&["maintenance", "--door", "ADDRESS", "request", "s-1", "--reason", "new disks"], "200 queued"),
        (&["maintenance", "--door", "ADDRESS", "request", "s-1", "--reason", " "], "400 no reason\n"),
        (&["maintenance", "--door", "ADDRESS", "done", "s-1"], "400 not granted\n"),
        (&["maintenance", "--door", "ADDRESS", "cancel", "s-1"], "503 no quorum\n"),
        (&["maintenance", "--door", "ADDRESS", "cancel", "s-1"], ""),
    ];
    for (arguments, response) in invocations {
        found += &record_request(&folder, arguments, response);
    }
    assert_fixture("maintenance.txt", &found);
}
