//! Command line of the daemon: checks of server lists, the published schema, and the start.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

/// Runs the daemon's binary without a configuration and returns its output.
fn run_ashtide(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ashtide")).args(arguments).env_remove("ROUTER_CONFIG").output().unwrap()
}

/// Writes a temporary file whose name is unique to this process.
fn write_temporary_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("ashtide-command-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn check_reports_every_problem_of_a_server_list() {
    let valid_file = write_temporary_file(
        "good.toml",
        "version = 1\n[[servers]]\nname = \"a\"\naddress = \"10.0.0.1:80\"\n",
    );
    let invalid_file = write_temporary_file(
        "bad.json",
        "{\"version\":1,\"servers\":[{\"name\":\"a\",\"address\":\"x\",\"weight\":-1}]}",
    );
    let (valid_path, invalid_path) = (valid_file.to_str().unwrap(), invalid_file.to_str().unwrap());
    let output = run_ashtide(&["check", valid_path]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.code() == Some(0) && text.starts_with("1 servers in 1 files, digest "), "{text}");
    let output = run_ashtide(&["check", valid_path, invalid_path, "--json"]);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(
        (output.status.code(), &report["usable"], &report["count"]),
        (Some(1), &false.into(), &1.into())
    );
    assert_eq!(report["problems"][0]["at"], "/servers/0/weight");
    let output = run_ashtide(&["check", valid_path, "--allow", "10.9.0.0/16"]);
    assert_eq!(output.status.code(), Some(1));
    let output = run_ashtide(&["check", "/nowhere/at/all.toml"]);
    assert!(output.status.code() == Some(2) && !output.stderr.is_empty());
    std::fs::remove_file(valid_file).unwrap();
    std::fs::remove_file(invalid_file).unwrap();
}

#[test]
fn the_published_schema_equals_the_schema_command() {
    let published: serde_json::Value =
        serde_json::from_str(include_str!("../deploy/servers.schema.json")).expect("JSON");
    let output = run_ashtide(&["schema"]);
    let printed: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(printed, published, "write the output of `ashtide schema` to deploy/servers.schema.json");
}

#[test]
fn the_example_server_list_is_valid() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/servers.toml");
    let output = run_ashtide(&["check", example]);
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stdout));
}

#[test]
fn without_arguments_the_daemon_starts_and_names_the_missing_variable() {
    for arguments in [&[][..], &["serve"]] {
        let output = run_ashtide(arguments);
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(output.status.code() == Some(2) && text.starts_with("ashtide: ROUTER_CONFIG"), "{text}");
    }
    assert_eq!(run_ashtide(&["--no-such"]).status.code(), Some(2));
}

#[test]
fn the_daemon_continues_to_serve_if_its_log_is_not_read() {
    let settings = r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","settings":{}}"#;
    let config = write_temporary_file("log.json", settings);
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_ashtide"));
    let mut daemon =
        daemon.env("ROUTER_CONFIG", &config).env_remove("TMPDIR").stderr(Stdio::piped()).spawn().unwrap();
    let mut first_line = String::new();
    // The reader is dropped after the first line, which closes the pipe.
    BufReader::new(daemon.stderr.take().unwrap()).read_line(&mut first_line).unwrap();
    let send_invalid_request = |address: &str| {
        let mut client = TcpStream::connect(address)?;
        client.set_read_timeout(Some(Duration::from_secs(5)))?;
        // The daemon logs a line for this invalid request.
        client.write_all(b"OPEN\r\n")?;
        let mut answer = String::new();
        client.read_to_string(&mut answer).map(|_| answer)
    };
    let address = first_line.split_once(" listens on ").and_then(|(_, rest)| rest.split(',').next());
    let answers: Vec<_> = (0..3).map(|_| send_invalid_request(address.unwrap_or_default())).collect();
    daemon.kill().unwrap();
    daemon.wait().unwrap();
    std::fs::remove_file(config).unwrap();
    for answer in answers {
        assert!(answer.as_ref().is_ok_and(|text| text.starts_with("ERR")), "{first_line}: {answer:?}");
    }
}
