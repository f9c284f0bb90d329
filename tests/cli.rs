//! The daemon's command line: lists checked by hand, and the schema that is published.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

fn ashtide(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ashtide")).args(arguments).env_remove("ROUTER_CONFIG").output().unwrap()
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("ashtide-command-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn a_list_is_checked_and_all_that_is_wrong_is_told() {
    let good = file("good.toml", "version = 1\n[[servers]]\nname = \"a\"\naddress = \"10.0.0.1:80\"\n");
    let bad =
        file("bad.json", "{\"version\":1,\"servers\":[{\"name\":\"a\",\"address\":\"x\",\"weight\":-1}]}");
    let (good_path, bad_path) = (good.to_str().unwrap(), bad.to_str().unwrap());
    let output = ashtide(&["check", good_path]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.code() == Some(0) && text.starts_with("1 servers in 1 files, digest "), "{text}");
    let output = ashtide(&["check", good_path, bad_path, "--json"]);
    let told: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!((output.status.code(), &told["usable"], &told["count"]), (Some(1), &false.into(), &1.into()));
    assert_eq!(told["problems"][0]["at"], "/servers/0/weight");
    let output = ashtide(&["check", good_path, "--allow", "10.9.0.0/16"]);
    assert_eq!(output.status.code(), Some(1));
    let output = ashtide(&["check", "/nowhere/at/all.toml"]);
    assert!(output.status.code() == Some(2) && !output.stderr.is_empty());
    std::fs::remove_file(good).unwrap();
    std::fs::remove_file(bad).unwrap();
}

#[test]
fn the_published_schema_is_the_one_that_files_are_checked_by() {
    let published: serde_json::Value =
        serde_json::from_str(include_str!("../deploy/servers.schema.json")).expect("JSON");
    let output = ashtide(&["schema"]);
    let told: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(told, published, "write `ashtide schema` to deploy/servers.schema.json");
}

#[test]
fn the_example_is_a_list() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/servers.toml");
    let output = ashtide(&["check", example]);
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stdout));
}

#[test]
fn without_arguments_it_serves_and_says_what_it_lacks() {
    for arguments in [&[][..], &["serve"]] {
        let output = ashtide(arguments);
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(output.status.code() == Some(2) && text.starts_with("ashtide: ROUTER_CONFIG"), "{text}");
    }
    assert_eq!(ashtide(&["--no-such"]).status.code(), Some(2));
}

#[test]
fn it_serves_on_when_nobody_reads_its_log() {
    let settings = r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","settings":{}}"#;
    let config = file("log.json", settings);
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_ashtide"));
    let mut daemon =
        daemon.env("ROUTER_CONFIG", &config).env_remove("TMPDIR").stderr(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    // Its reader goes with the first line.
    BufReader::new(daemon.stderr.take().unwrap()).read_line(&mut line).unwrap();
    let answer = |address: &str| {
        let mut client = TcpStream::connect(address)?;
        client.set_read_timeout(Some(Duration::from_secs(5)))?;
        // A line that is logged.
        client.write_all(b"OPEN\r\n")?;
        let mut answer = String::new();
        client.read_to_string(&mut answer).map(|_| answer)
    };
    let address = line.split_once(" listens on ").and_then(|(_, rest)| rest.split(',').next());
    let answers: Vec<_> = (0..3).map(|_| answer(address.unwrap_or_default())).collect();
    daemon.kill().unwrap();
    daemon.wait().unwrap();
    std::fs::remove_file(config).unwrap();
    for answer in answers {
        assert!(answer.as_ref().is_ok_and(|it| it.starts_with("ERR")), "{line}: {answer:?}");
    }
}
