//! Invalid, truncated and random server lists: a list is accepted completely or rejected completely.

use std::collections::BTreeMap;
use std::path::PathBuf;

use ashtide_endpoints::*;
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};

/// Checks a property for a number of random cases, with a fixed seed.
fn check_property<S: Strategy>(
    cases: u32,
    strategy: S,
    test: impl Fn(S::Value) -> Result<(), TestCaseError>,
) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[10; 32]);
    let cases = Cases { cases, failure_persistence: None, ..Cases::default() };
    TestRunner::new_with_rng(cases, rng).run(&strategy, test).unwrap();
}

fn read(text: &str) -> Result<Fragment, Problems> {
    Fragment::read("f", text.as_bytes(), &Limits::default())
}

/// Random values from which the host, the weight and the state of a server are derived.
type RandomServer = (u8, u8, u8);

/// Returns a list of these servers, by number, in TOML.
fn list_text(servers: &BTreeMap<u16, RandomServer>) -> String {
    let mut text = "version = 1\n".to_owned();
    for (number, (host, weight, state)) in servers {
        let state = ["serving", "draining", "out"][*state as usize % 3];
        // Each server has its own port, so that addresses differ although hosts may be equal.
        text += &format!(
            "[[servers]]\nname = \"s-{number}\"\naddress = \"10.0.0.{}:{}\"\nweight = {}.5\nstate = \"{state}\"\n",
            host % 3 + 1,
            number + 1,
            weight % 4
        );
    }
    if servers.is_empty() { "version = 1\nservers = []\n".to_owned() } else { text }
}

fn random_servers() -> impl Strategy<Value = BTreeMap<u16, RandomServer>> {
    btree_map(0_u16..300, any::<RandomServer>(), 1..60)
}

/// Returns limits under which a list may drop any number of servers.
fn permissive_limits() -> Limits {
    Limits { min_retained_share: 0.0, ..Limits::default() }
}

fn next_generation(text: &str, before: &Generation) -> Generation {
    before.next(&[read(text).unwrap()], &permissive_limits()).unwrap()
}

#[test]
fn old_list_with_the_difference_applied_equals_the_new_list() {
    check_property(200, (random_servers(), random_servers()), |(a, b)| {
        let a = next_generation(&list_text(&a), &Generation::default());
        let b = next_generation(&list_text(&b), &a);
        let difference = b.difference(&a);
        prop_assert_eq!(&a.apply(&difference), &b);
        prop_assert_eq!(&b.apply(&a.difference(&b)), &a);
        prop_assert!(a.difference(&a).is_empty());
        let address_changed =
            |server: &&Server| a.get(&server.name).is_some_and(|old| old.address != server.address);
        prop_assert_eq!(difference.readdressed.len(), b.servers().filter(address_changed).count());
        let names = b.servers().map(|server| server.name.to_string()).collect::<Vec<_>>();
        prop_assert_eq!(names.len(), b.len());
        // The digest depends on the servers only, not on the format of the file or the previous list.
        let from_json = a.next(&[read(&json_text(&b)).unwrap()], &permissive_limits()).unwrap();
        prop_assert_eq!(from_json.digest(), b.digest());
        Ok(())
    });
}

/// Returns the list of this generation in JSON.
fn json_text(generation: &Generation) -> String {
    let entries = generation.servers().map(|server| {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"weight\":{},\"state\":\"{}\"}}",
            server.name,
            server.address,
            server.weight,
            server.status.as_str()
        )
    });
    format!("{{\"version\":1,\"servers\":[{}]}}", entries.collect::<Vec<_>>().join(","))
}

#[test]
fn truncated_json_is_rejected_and_truncated_toml_has_at_most_one_incomplete_server() {
    check_property(6, btree_map(0_u16..300, any::<RandomServer>(), 1..8), |servers| {
        let complete = next_generation(&list_text(&servers), &Generation::default());
        let json = json_text(&complete);
        for length in 0..json.len() {
            prop_assert!(read(&json[..length]).is_err(), "{}", &json[..length]);
        }
        let toml = list_text(&servers);
        for length in 0..toml.len() {
            // A TOML file that ends after a complete entry is a valid, shorter list. Only the minimum share
            // of retained servers and the digest detect that. All servers are correct, except for the last
            // one, which has the defaults for the lines that are missing.
            if let Ok(fragment) = read(&toml[..length]) {
                let complete_servers = fragment.servers.len().saturating_sub(1);
                for server in &fragment.servers[..complete_servers] {
                    prop_assert_eq!(Some(server), complete.get(&server.name));
                }
            }
        }
        let digest = format!("digest = \"{}\"\n", complete.digest());
        let with_digest = toml.replacen('\n', &format!("\n{digest}"), 1);
        prop_assert!(read(&with_digest).is_ok());
        // Every truncation after the digest line that changes the list is detected.
        for length in "version = 1\n".len() + digest.len()..with_digest.len() {
            if let Ok(fragment) = read(&with_digest[..length]) {
                let truncated = Generation::default().next(&[fragment], &permissive_limits()).unwrap();
                prop_assert_eq!(&truncated, &complete);
            }
        }
        Ok(())
    });
}

#[test]
fn random_bytes_are_rejected_without_a_panic() {
    let bytes = prop_oneof![
        vec(any::<u8>(), 0..600),
        vec(prop::sample::select(b"{}[]\":,=\n \"server=name1.e-5".to_vec()), 0..600),
        ".{0,200}".prop_map(|text| format!("{{\"version\":1,\"servers\":[{text}]}}").into_bytes()),
    ];
    check_property(2000, bytes, |bytes| {
        if let Ok(fragment) = Fragment::read("f", &bytes, &Limits::default()) {
            prop_assert!(fragment.servers.is_empty(), "{:?}", String::from_utf8_lossy(&bytes));
        }
        Ok(())
    });
}

/// Returns the text of a file's problems, empty if the file is valid.
fn problems_text(text: &str) -> String {
    read(text).err().unwrap_or_default().to_string()
}

#[test]
fn every_problem_is_reported_with_its_location() {
    let server =
        |suffix: &str| format!("version = 1\n[[servers]]\nname = \"a\"\naddress = \"10.0.0.1:80\"\n{suffix}");
    for (text, expected) in [
        (String::new(), "f: found an empty file"),
        ("version = 1\nservers = [".into(), "f line 2, column "),
        ("{\"version\":1,".into(), "f line 1, column "),
        ("{\"version\":1,\"version\":1,\"servers\":[]}".into(), "the duplicate name 'version'"),
        ("version = 2\nservers = []".into(), "f /version: found 2"),
        ("servers = []".into(), "\"version\" is a required property"),
        (server("weight = nan"), "f /servers/0/weight: found NaN, expected a number"),
        (server("weight = inf"), "f /servers/0/weight: found inf"),
        (server("weight = -1.0"), "f /servers/0/weight: found -1.0"),
        (server("weight = 1e9"), "f /servers/0/weight: found 1000000000"),
        (server("weigth = 1.0"), "'weigth'"),
        (server("state = \"gone\""), "f /servers/0/state: found \"gone\""),
        (server("since_ms = 2026-12-01T00:00:00Z"), "f /servers/0/since_ms: found the time 2026"),
        (
            server("[[servers]]\nname = \"a\"\naddress = \"10.0.0.2:80\""),
            "f /servers/1/name: found 'a' as in /servers/0",
        ),
        (
            server("[[servers]]\nname = \"b\"\naddress = \"[::ffff:10.0.0.1]:80\""),
            "'10.0.0.1:80' as in /servers/0",
        ),
        (server("").replace(":80", ":0"), "f /servers/0/address: found '10.0.0.1:0'"),
        (server("").replace("10.0.0.1", "s-1.example"), "expected an IP and a port"),
        (server("").replace("10.0.0.1", "224.0.0.1"), "expected an IP and a port"),
        (server("").replace("10.0.0.1", "0.0.0.0"), "expected an IP and a port"),
        (server("").replace("\"a\"", "\"a b\""), "f /servers/0/name: found \"a b\""),
        (
            server("[networks]\nallow = [\"10.1.0.0/16\"]"),
            "an address in a network that networks.allow lists",
        ),
        (server("[networks]\ndeny = [\"10.0.0.0/24\"]"), "an address outside 10.0.0.0/24"),
        (server("[networks]\nallow = [\"10.0.0.0/33\"]"), "f /networks/allow/0: found '10.0.0.0/33'"),
        (
            server("zone = \"c\"\n").replace("1\n", "1\nzones = [\"a\", \"b\"]\n"),
            "f /servers/0/zone: found 'c', expected one of a, b",
        ),
        (format!("digest = \"{}\"\n{}", "0".repeat(64), server("")), "f /digest: found '000"),
    ] {
        let problems = problems_text(&text);
        assert!(problems.contains(expected), "{text}\n--- found\n{problems}\n--- expected\n{expected}");
    }
    let invalid_utf8 =
        Fragment::read("f", b"version = 1\nname = \"\xff\"", &Limits::default()).unwrap_err().to_string();
    let expected = "f line 2, column 9: found a byte that is not valid UTF-8";
    assert!(invalid_utf8.contains(expected), "{invalid_utf8}");
}

#[test]
fn all_problems_are_counted_and_reported_up_to_the_maximum() {
    let mut text = "version = 1\n".to_owned();
    for number in 0..150 {
        text += &format!("[[servers]]\nname = \"s-{number}\"\naddress = \"nowhere\"\n");
    }
    let problems = read(&text).unwrap_err();
    assert_eq!((problems.count(), problems.iter().count()), (150, MAX_PROBLEMS));
    assert!(problems.to_string().ends_with("and 50 more"));
    assert!(problems.iter().any(|problem| problem.location == "/servers/7/address"));
}

#[test]
fn limits_of_the_daemon_apply_in_addition_to_those_of_the_file() {
    let text = "version = 1\n[[servers]]\nname = \"a\"\naddress = \"10.0.0.1:80\"\n";
    let limits = |allow: &str, own: &str| Limits {
        own_addresses: vec![own.parse().unwrap()],
        allowed_networks: vec![allow.parse().unwrap()],
        ..Limits::default()
    };
    assert!(Fragment::read("f", text.as_bytes(), &limits("10.0.0.0/8", "10.0.0.1:81")).is_ok());
    assert!(Fragment::read("f", text.as_bytes(), &limits("10.1.0.0/16", "10.0.0.1:81")).is_err());
    assert!(Fragment::read("f", text.as_bytes(), &limits("fd00::/8", "10.0.0.1:81")).is_err());
    let error = Fragment::read("f", text.as_bytes(), &limits("10.0.0.0/8", "10.0.0.1:80")).unwrap_err();
    assert!(error.to_string().contains("an address on which this daemon does not listen itself"));
}

fn fragment(file: &str, precedence: i32, servers: &[(&str, &str)]) -> Fragment {
    let mut text = format!("version = 1\nprecedence = {precedence}\n");
    for (name, address) in servers {
        text += &format!("[[servers]]\nname = \"{name}\"\naddress = \"{address}\"\n");
    }
    Fragment::read(file, text.as_bytes(), &Limits::default()).unwrap()
}

#[test]
fn files_are_merged_by_precedence_in_any_order_and_conflicts_are_errors() {
    let base = fragment("base", 0, &[("a", "10.0.0.1:1"), ("b", "10.0.0.2:1")]);
    let over = fragment("over", 5, &[("b", "10.0.0.9:1")]);
    let orders = [vec![base.clone(), over.clone()], vec![over.clone(), base.clone()]];
    let [one, two] = orders.map(|files| Generation::default().next(&files, &Limits::default()).unwrap());
    assert!(one == two && one.get("b").unwrap().address == "10.0.0.9:1".parse().unwrap());
    let same = fragment("same", 0, &[("a", "10.0.0.1:1")]);
    assert!(
        Generation::default().next(&[base.clone(), same], &Limits::default()).is_ok(),
        "equal entries do not conflict"
    );
    let other = fragment("other", 0, &[("a", "10.0.0.3:1")]);
    let error = Generation::default().next(&[base.clone(), other], &Limits::default()).unwrap_err();
    assert!(
        error.to_string().contains("other /servers: found 'a' with other values than in base"),
        "{error}"
    );
    let address = fragment("address", 0, &[("c", "10.0.0.1:1")]);
    let error = Generation::default().next(&[base, address], &Limits::default()).unwrap_err();
    assert!(error.to_string().contains("for both 'a' and 'c'"), "{error}");
}

#[test]
fn list_that_drops_most_servers_is_rejected_without_replace() {
    let servers: Vec<(String, String)> =
        (0..10).map(|number| (format!("s-{number}"), format!("10.0.0.{number}:1"))).collect();
    let servers: Vec<(&str, &str)> = servers.iter().map(|(name, address)| (&**name, &**address)).collect();
    let limits = Limits::default();
    let ten = Generation::default().next(&[fragment("f", 0, &servers)], &limits).unwrap();
    assert!(ten.next(&[fragment("f", 0, &servers[..5])], &limits).is_ok(), "half of the servers remain");
    let error = ten.next(&[fragment("f", 0, &servers[..4])], &limits).unwrap_err().to_string();
    assert!(error.contains("4 of the 10 servers") && error.contains("50% of them"), "{error}");
    let mut replacing = fragment("f", 0, &servers[..1]);
    replacing.replace = true;
    assert_eq!(ten.next(&[replacing], &limits).unwrap().len(), 1);
    assert!(ten.next(&[], &limits).is_err(), "an empty list is never valid");
    let numbered = |number| Fragment { generation: Some(number), ..fragment("f", 0, &servers) };
    let seven = ten.next(&[numbered(7)], &limits).unwrap();
    assert!(seven.next(&[numbered(7)], &limits).is_ok() && seven.next(&[numbered(6)], &limits).is_err());
}

/// Temporary folder, which is removed when it is dropped.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ashtide-endpoints-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn previous_generation_is_read_if_the_newest_file_is_truncated_or_corrupt_at_any_byte() {
    let folder = TemporaryFolder::new("torn");
    let (store, limits) = (Store::new(&folder.0), Limits::default());
    let one = Generation::default().next(&[fragment("f", 0, &[("a", "10.0.0.1:1")])], &limits).unwrap();
    let two = one.next(&[fragment("f", 0, &[("a", "10.0.0.1:1"), ("b", "10.0.0.2:1")])], &limits).unwrap();
    store.write(&one).unwrap();
    store.write(&two).unwrap();
    assert_eq!(store.latest_valid(&limits).unwrap().0, Some(two.clone()));
    let path = folder.0.join(format!("servers.{:020}", two.number()));
    let valid = std::fs::read(&path).unwrap();
    for offset in 0..valid.len() {
        std::fs::write(&path, &valid[..offset]).unwrap();
        let (latest, errors) = store.latest_valid(&limits).unwrap();
        assert!(latest.as_ref() == Some(&one) && errors.len() == 1, "truncated at {offset}: {latest:?}");
        let mut flipped = valid.clone();
        flipped[offset] ^= 1;
        std::fs::write(&path, &flipped).unwrap();
        assert_eq!(store.latest_valid(&limits).unwrap().0.as_ref(), Some(&one), "flipped at {offset}");
    }
    // A valid file is rejected if its list does not comply with the current limits.
    std::fs::write(&path, &valid).unwrap();
    let strict_limits =
        Limits { allowed_networks: vec!["10.0.0.1/32".parse().unwrap()], ..Limits::default() };
    let (latest, errors) = store.latest_valid(&strict_limits).unwrap();
    assert!(latest == Some(one) && matches!(errors[..], [StoreError::Problems(_)]));
}

#[test]
fn oldest_generations_are_removed_and_a_missing_folder_is_no_error() {
    let folder = TemporaryFolder::new("history");
    let (store, limits) = (Store::new(folder.0.join("state")), Limits::default());
    assert_eq!(store.latest_valid(&limits).unwrap().0, None);
    let mut list = Generation::default();
    for port in 1..=MAX_STORED_GENERATIONS + 5 {
        list = list.next(&[fragment("f", 0, &[("a", &format!("10.0.0.1:{port}"))])], &limits).unwrap();
        store.write(&list).unwrap();
    }
    let numbers = store.numbers().unwrap();
    assert_eq!((numbers.len(), numbers[0]), (MAX_STORED_GENERATIONS, list.number()));
    assert!(matches!(store.read(1, &limits), Err(StoreError::Unknown(1))));
    assert_eq!(store.read(numbers[3], &limits).unwrap().number(), numbers[3]);
    // The state folder cannot be created, as its parent is a file.
    std::fs::write(folder.0.join("file"), b"").unwrap();
    assert!(matches!(Store::new(folder.0.join("file/state")).write(&list), Err(StoreError::Io(..))));
}
