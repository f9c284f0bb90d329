//! The adapter end to end: its binary is fed batches on standard input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = concat!(
    r#"{"azs":["east","west"],"balancers":2,"zone":"east","discovery":"pushed","tick":0.005,"#,
    r#""classes":[{"name":"view","aim":0.5,"deadline":2.0,"effect":"pure","worth":1.0}],"#,
    r#""limits":{"maxAttempts":3,"cancelling":true,"somethingNew":[1]},"weights":"nominal","#,
    r#""prices":{"crossZone":0.1},"rules":{"answerSlack":0.02,"warmWithin":8.0,"coldFrom":0.3,"#,
    r#""fallMultiple":2.5,"overloadFor":1.0},"customers":null,"shapes":["fast"],"unheardOf":{"a":1}}"#
);

fn adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ashtide-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    // A refused line closes the pipe early; what counts is the exit code.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("UTF-8")
}

fn start(gateway: u32, seed: u64, servers: &[&str]) -> String {
    let mut text = format!("START relayId={gateway} initSeed={seed} facts={SETTINGS}\n");
    text += &format!("DIRECTORY slot=0 entries={}\n", servers.len());
    for server in servers {
        text += &format!("ROW backend={server} rackZone=east model=fast cluster=0 state=on size=1\n");
    }
    text + &format!("DISCOVERY relayId={gateway} how=stale_copy epoch=1 slot=0\n")
}

fn query(gateway: u32, id: u32) -> String {
    format!("QUERY relayId={gateway} opId={id} ttl=2 band=view novelty=1\n")
}

fn batch(clock: f64, lines: &str) -> String {
    format!("TURN simTime={clock}\n{lines}EOB\n")
}

#[test]
fn request_is_delivered_and_every_batch_is_answered() {
    let input = batch(5.0, "")
        + &batch(5.0, &(start(3, 9, &["s1", "s2"]) + &query(3, 4_000_000_000)))
        + &batch(5.1, "UNDER_WAY relayId=3 opId=4000000000 trial=0 backend=s1 delaySeen=0.1\n");
    let output = adapter(&input);
    let text = stdout(&output);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(text.matches("DONE\n").count(), 3);
    assert_eq!(text.matches("DELIVER relayId=3 opId=4000000000 backend=s").count(), 1);
}

#[test]
fn slots_are_reused_within_a_batch_and_a_gateway_restarts_after_its_shutdown() {
    let lines = start(0, 1, &["old"])
        + "DIRECTORY slot=0 entries=1\nROW backend=new rackZone=east model=fast cluster=0 state=on\n"
        + "DISCOVERY relayId=0 how=whole epoch=2 slot=0\n"
        + &query(0, 1)
        + "SHUTDOWN relayId=0\n"
        + &start(0, 2, &["third"])
        + &query(0, 2);
    let text = stdout(&adapter(&batch(1.0, &lines)));
    assert!(text.contains("opId=1 backend=new"), "{text}");
    assert!(text.contains("opId=2 backend=third"), "{text}");
}

#[test]
fn invalid_input_gets_a_message_and_a_failing_exit() {
    let started = batch(1.0, &start(0, 1, &["s1"]));
    let bad = [
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
    for input in bad {
        let output = adapter(&input);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "accepted: {input}");
        assert!(message.starts_with("ashtide-adapter: "), "{message}");
        assert!(!message.contains("panicked"), "{message}");
    }
}

#[test]
fn unusual_but_valid_values_are_accepted() {
    let lines = start(0, 1, &["s1"])
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
    let output = adapter(&batch(1.0, &lines));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(stdout(&output).ends_with("DONE\n"));
}

/// A longer exchange of two gateways; `name` gives every server, zone and class its name.
fn exchange(gateways: &[u32], name: &dyn Fn(&str) -> String) -> String {
    let servers: Vec<String> = (0..6).map(|number| name(&format!("server{number}"))).collect();
    let servers: Vec<&str> = servers.iter().map(String::as_str).collect();
    let mut input = String::new();
    let rename = |text: String| {
        text.replace("rackZone=east", &format!("rackZone={}", name("east")))
            .replace("\"east\"", &format!("\"{}\"", name("east")))
            .replace("\"view\"", &format!("\"{}\"", name("view")))
            .replace("\"fast\"", &format!("\"{}\"", name("fast")))
            .replace("model=fast", &format!("model={}", name("fast")))
            .replace("band=view", &format!("band={}", name("view")))
    };
    for &gateway in gateways {
        input += &batch(1.0, &rename(start(gateway, 7 + u64::from(gateway), &servers)));
    }
    for step in 0..60 {
        let clock = 1.0 + f64::from(step) * 0.05;
        let mut lines = String::new();
        for &gateway in gateways {
            lines += &query(gateway, 1000 * (gateway + 1) + step);
        }
        input += &batch(clock, &rename(lines));
    }
    stdout(&adapter(&input))
}

#[test]
fn renaming_everything_changes_no_decision() {
    let plain = exchange(&[0, 1], &str::to_owned);
    let renamed = exchange(&[0, 1], &|word| format!("zz-{}", word.chars().rev().collect::<String>()));
    let back = (0..6).fold(renamed, |text, number| {
        text.replace(&format!("zz-{number}revres"), &format!("server{number}"))
    });
    assert!(plain.matches("DELIVER").count() >= 120);
    assert_eq!(plain, back);
}

#[test]
fn instances_act_alike_in_one_process_and_in_two() {
    let lines_of = |text: &str, gateway: u32| -> Vec<String> {
        let mark = format!("relayId={gateway} ");
        text.lines().filter(|line| line.contains(&mark)).map(str::to_owned).collect()
    };
    let together = exchange(&[0, 1], &str::to_owned);
    for gateway in [0, 1] {
        let alone = exchange(&[gateway], &str::to_owned);
        assert!(!lines_of(&alone, gateway).is_empty());
        assert_eq!(lines_of(&together, gateway), lines_of(&alone, gateway));
    }
}
