//! End-to-end tests of the adapter binary, which receives batches of protocol lines on standard input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = concat!(
    r#"{"azs":["east","west"],"balancers":2,"zone":"east","discovery":"pushed","tick":0.005,"#,
    r#""classes":[{"name":"view","aim":0.5,"deadline":2.0,"effect":"pure","worth":1.0}],"#,
    r#""limits":{"maxAttempts":3,"cancelling":true,"somethingNew":[1]},"weights":"nominal","#,
    r#""prices":{"crossZone":0.1},"rules":{"answerSlack":0.02,"warmWithin":8.0,"coldFrom":0.3,"#,
    r#""fallMultiple":2.5,"overloadFor":1.0},"customers":null,"shapes":["fast"],"unheardOf":{"a":1}}"#
);

/// Runs the adapter with this standard input until it exits.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ashtide-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starting the adapter");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // The adapter exits at an invalid line, so that the write may fail on a closed pipe. The tests check the
    // exit code.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("waiting for the adapter to exit")
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("standard output is UTF-8")
}

/// Returns the lines that start a gateway and send it an endpoint list.
fn start_lines(gateway: u32, seed: u64, servers: &[&str]) -> String {
    let mut lines = format!("START relayId={gateway} initSeed={seed} facts={SETTINGS}\n");
    lines += &format!("DIRECTORY slot=0 entries={}\n", servers.len());
    for server in servers {
        lines += &format!("ROW backend={server} rackZone=east model=fast cluster=0 state=on size=1\n");
    }
    lines + &format!("DISCOVERY relayId={gateway} how=stale_copy epoch=1 slot=0\n")
}

fn query_line(gateway: u32, request: u32) -> String {
    format!("QUERY relayId={gateway} opId={request} ttl=2 band=view novelty=1\n")
}

fn batch(clock: f64, lines: &str) -> String {
    format!("TURN simTime={clock}\n{lines}EOB\n")
}

#[test]
fn request_is_delivered_and_every_batch_is_answered() {
    let input = batch(5.0, "")
        + &batch(5.0, &(start_lines(3, 9, &["s1", "s2"]) + &query_line(3, 4_000_000_000)))
        + &batch(5.1, "UNDER_WAY relayId=3 opId=4000000000 trial=0 backend=s1 delaySeen=0.1\n");
    let output = run_adapter(&input);
    let text = stdout_text(&output);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(text.matches("DONE\n").count(), 3);
    assert_eq!(text.matches("DELIVER relayId=3 opId=4000000000 backend=s").count(), 1);
}

#[test]
fn slots_are_reused_within_a_batch_and_a_gateway_restarts_after_its_shutdown() {
    let lines = start_lines(0, 1, &["old"])
        + "DIRECTORY slot=0 entries=1\nROW backend=new rackZone=east model=fast cluster=0 state=on\n"
        + "DISCOVERY relayId=0 how=whole epoch=2 slot=0\n"
        + &query_line(0, 1)
        + "SHUTDOWN relayId=0\n"
        + &start_lines(0, 2, &["third"])
        + &query_line(0, 2);
    let text = stdout_text(&run_adapter(&batch(1.0, &lines)));
    assert!(text.contains("opId=1 backend=new"), "{text}");
    assert!(text.contains("opId=2 backend=third"), "{text}");
}

#[test]
fn invalid_input_gets_a_message_and_a_failing_exit() {
    let started = batch(1.0, &start_lines(0, 1, &["s1"]));
    let invalid_inputs = [
        "nonsense\n".to_owned(),
        batch(1.0, "QUERY relayId=9 opId=1 ttl=1 band=view\n"),
        started.clone() + &batch(2.0, "WHATEVER relayId=0\n"),
        started.clone() + &batch(2.0, "QUERY relayId=0 opId=x ttl=1 band=view\n"),
        started.clone() + &batch(2.0, "QUERY relayId=0 opId=1 ttl=1 band=unknown\n"),
        started.clone() + &batch(2.0, "RESULT relayId=0 opId=1 verdict=Odd backend=s1 trial=0\n"),
        started.clone() + &batch(2.0, "MAIL relayId=0 author=1 body=0g\n"),
        started.clone() + &batch(2.0, "DISCOVERY relayId=0 how=whole epoch=3 slot=7\n"),
        batch(1.0, "START relayId=0 initSeed=1 facts={\"zone\":\n"),
        "TURN simTime=inf\nEOB\n".to_owned(),
        "TURN simTime=1\nDIRECTORY slot=0 entries=2\nEOB\n".to_owned(),
        "TURN simTime=1\n".to_owned(),
    ];
    for input in invalid_inputs {
        let output = run_adapter(&input);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "the adapter accepted invalid input: {input}");
        assert!(message.starts_with("ashtide-adapter: "), "{message}");
        assert!(!message.contains("panicked"), "{message}");
    }
}

#[test]
fn unusual_but_valid_values_are_accepted() {
    let lines = start_lines(0, 1, &["s1"])
        + "QUERY relayId=0 opId=1 ttl=0 band=view\n"
        + "QUERY relayId=0 opId=2 ttl=0.000001 band=view workHint=NaN\n"
        + "QUERY relayId=0 opId=3 ttl=1 band=view workHint=-4 owner=nobody item=k room=r\n"
        + "EXISTING relayId=0 opId=4 ttl=1 band=view backend=unlisted\n"
        + "SAMPLED relayId=0 backend=s1 verdict=TimedOut delaySeen=1\n"
        + "SAMPLED relayId=0 backend=s1 verdict=Ok delaySeen=1 healthInfo=x0:NaN,cpu_share:-inf,odd:1\n"
        + "UPDATE_OF relayId=0 opId=99 trial=0 backend=unlisted what=2 amount=1e300\n"
        + "UPDATE_OF relayId=0 opId=3 trial=0 backend=s1 what=7 amount=1\n"
        + "UPDATE_OF relayId=0 opId=3 trial=0 backend=s1 what=1 amount=-1\n"
        + "MAIL relayId=0 author=1 body=-\nMAIL relayId=0 author=1 body=00ff\n"
        + "ALARM relayId=0 handle=9223372036854775807\n"
        + "GONE relayId=0 opId=12345\n"
        + "RESULT relayId=0 opId=77 verdict=Ok backend=s1 trial=5 delaySeen=0 noMore=1\n";
    let output = run_adapter(&batch(1.0, &lines));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(stdout_text(&output).ends_with("DONE\n"));
}

/// Runs 60 batches of requests for these gateways in one adapter and returns its output. `rename` maps each
/// name of a server, zone, machine kind and class to the name that is used.
fn run_exchange(gateways: &[u32], rename: &dyn Fn(&str) -> String) -> String {
    let servers: Vec<String> = (0..6).map(|number| rename(&format!("server{number}"))).collect();
    let servers: Vec<&str> = servers.iter().map(String::as_str).collect();
    let mut input = String::new();
    let rename_lines = |text: String| {
        text.replace("rackZone=east", &format!("rackZone={}", rename("east")))
            .replace("\"east\"", &format!("\"{}\"", rename("east")))
            .replace("\"view\"", &format!("\"{}\"", rename("view")))
            .replace("\"fast\"", &format!("\"{}\"", rename("fast")))
            .replace("model=fast", &format!("model={}", rename("fast")))
            .replace("band=view", &format!("band={}", rename("view")))
    };
    for &gateway in gateways {
        input += &batch(1.0, &rename_lines(start_lines(gateway, 7 + u64::from(gateway), &servers)));
    }
    for step in 0..60 {
        let clock = 1.0 + f64::from(step) * 0.05;
        let mut lines = String::new();
        for &gateway in gateways {
            lines += &query_line(gateway, 1000 * (gateway + 1) + step);
        }
        input += &batch(clock, &rename_lines(lines));
    }
    stdout_text(&run_adapter(&input))
}

#[test]
fn renamed_servers_zones_and_classes_change_no_decision() {
    let original = run_exchange(&[0, 1], &str::to_owned);
    let renamed = run_exchange(&[0, 1], &|word| format!("zz-{}", word.chars().rev().collect::<String>()));
    let with_original_names = (0..6).fold(renamed, |text, number| {
        text.replace(&format!("zz-{number}revres"), &format!("server{number}"))
    });
    assert!(original.matches("DELIVER").count() >= 120);
    assert_eq!(original, with_original_names);
}

#[test]
fn gateways_decide_alike_in_one_shared_and_in_separate_processes() {
    let lines_of = |text: &str, gateway: u32| -> Vec<String> {
        let gateway_field = format!("relayId={gateway} ");
        text.lines().filter(|line| line.contains(&gateway_field)).map(str::to_owned).collect()
    };
    let shared_process = run_exchange(&[0, 1], &str::to_owned);
    for gateway in [0, 1] {
        let own_process = run_exchange(&[gateway], &str::to_owned);
        assert!(!lines_of(&own_process, gateway).is_empty());
        assert_eq!(lines_of(&shared_process, gateway), lines_of(&own_process, gateway));
    }
}
