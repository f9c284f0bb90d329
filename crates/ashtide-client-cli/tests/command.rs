//! The command `ashtide-client` against mock gateways: its output, its exit codes, and its errors for invalid
//! arguments.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output, Stdio};

/// Starts a mock gateway, and returns its address. It rejects every request if `rejects` is set. Otherwise it
/// accepts every request, and returns every further line to the client.
fn start_mock_gateway(rejects: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            std::thread::spawn(move || serve(client, rejects));
        }
    });
    address
}

fn serve(mut client: TcpStream, rejects: bool) {
    let mut lines = BufReader::new(client.try_clone().unwrap());
    let mut line = String::new();
    let mut is_request = true;
    while lines.read_line(&mut line).is_ok_and(|length| length > 0) {
        let answer = match (std::mem::replace(&mut is_request, false), rejects) {
            (true, true) => "BUSY 60000\r\n",
            (true, false) => "UP receipt\r\n",
            (false, _) => &line,
        };
        if client.write_all(answer.as_bytes()).is_err() {
            return;
        }
        line.clear();
    }
}

/// Runs the command with this standard input until it exits.
fn run_command(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ashtide-client"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn the_json_output_reports_each_session_and_a_summary() {
    let address = start_mock_gateway(false).to_string();
    let output =
        run_command(&[&address, "--class", "meter", "-n", "5", "--rate", "20", "--for", "2s", "--json"], "");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let lines: Vec<serde_json::Value> =
        output.stdout.lines().map(|line| serde_json::from_str(&line.unwrap()).unwrap()).collect();
    let summary = lines.last().unwrap();
    assert_eq!((&summary["event"], &summary["up"]), (&"summary".into(), &5.into()));
    assert_eq!(summary["time_to_up_ms"]["count"], 5);
    assert!(summary["lines"]["received"].as_u64().unwrap() >= 5, "{summary}");
    let count = |event: &str| lines.iter().filter(|line| line["event"] == event).count();
    assert_eq!((count("up"), count("left")), (5, 5));
}

#[test]
fn lines_of_standard_input_are_sent_and_answers_are_printed() {
    let address = start_mock_gateway(false).to_string();
    let output = run_command(&[&address, "--for", "2s"], "READING 1\nREADING 2\n");
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("line text=\"READING 1\"") && text.contains("line text=\"READING 2\""), "{text}");
    assert!(text.contains("1 of 1 sessions came up"), "{text}");
}

#[test]
fn a_rejected_session_fails_the_command_with_the_reason() {
    let address = start_mock_gateway(true).to_string();
    let output = run_command(&[&address, "--quiet"], "");
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("ended 1 times: refused, come again after 30s"), "{text}");
}

#[test]
fn errors_for_invalid_arguments_name_the_argument() {
    for (arguments, expected) in [
        (&["localhost:80"][..], "names are not looked up"),
        (&["127.0.0.1:80", "--rate", "0"], "must be a number over 0"),
        (&["127.0.0.1:80", "--wait", "soon"], "--wait"),
        (&["127.0.0.1:80", "--tries", "0"], "tries: 0, must be 1 to 100"),
        (&[], "ADDRESSES"),
    ] {
        let output = run_command(arguments, "");
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(output.status.code() == Some(2) && text.contains(expected), "{arguments:?}: {text}");
    }
}
