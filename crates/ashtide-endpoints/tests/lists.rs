//! Lists under every kind of mistake, torn files, and random ones: whole or not at all.

use std::collections::BTreeMap;
use std::path::PathBuf;

use ashtide_endpoints::*;
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};

fn check<S: Strategy>(cases: u32, strategy: S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[10; 32]);
    let cases = Cases { cases, failure_persistence: None, ..Cases::default() };
    TestRunner::new_with_rng(cases, rng).run(&strategy, test).unwrap();
}

fn read(text: &str) -> Result<Fragment, Problems> {
    Fragment::read("f", text.as_bytes(), &Limits::default())
}

fn list(servers: &BTreeMap<u16, (u8, u8, u8)>) -> String {
    let mut text = "version = 1\n".to_owned();
    for (number, (host, weight, state)) in servers {
        let state = ["serving", "draining", "out"][*state as usize % 3];
        // The host alone can change: addresses stay apart by their port.
        text += &format!(
            "[[servers]]\nname = \"s-{number}\"\naddress = \"10.0.0.{}:{}\"\nweight = {}.5\nstate = \"{state}\"\n",
            host % 3 + 1,
            number + 1,
            weight % 4
        );
    }
    if servers.is_empty() { "version = 1\nservers = []\n".to_owned() } else { text }
}

fn servers() -> impl Strategy<Value = BTreeMap<u16, (u8, u8, u8)>> {
    btree_map(0_u16..300, any::<(u8, u8, u8)>(), 1..60)
}

fn loose() -> Limits {
    Limits { min_retained_share: 0.0, ..Limits::default() }
}

fn generation(text: &str, before: &Generation) -> Generation {
    before.next(&[read(text).unwrap()], &loose()).unwrap()
}

#[test]
fn a_difference_laid_over_the_old_list_is_the_new_one() {
    check(200, (servers(), servers()), |(a, b)| {
        let a = generation(&list(&a), &Generation::default());
        let b = generation(&list(&b), &a);
        let difference = b.difference(&a);
        prop_assert_eq!(&a.apply(&difference), &b);
        prop_assert_eq!(&b.apply(&a.difference(&b)), &a);
        prop_assert!(a.difference(&a).is_empty());
        let renewed =
            b.servers().filter(|s| a.get(&s.name).is_some_and(|old| old.address != s.address)).count();
        prop_assert_eq!(difference.readdressed.len(), renewed);
        // However it came about, a list of the same servers is the same.
        let anew = b.servers().map(|server| server.name.to_string()).collect::<Vec<_>>();
        prop_assert_eq!(anew.len(), b.len());
        prop_assert_eq!(a.next(&[read(&list_of(&b)).unwrap()], &loose()).unwrap().digest(), b.digest());
        Ok(())
    });
}

/// The same list as JSON.
fn list_of(generation: &Generation) -> String {
    let each = generation.servers().map(|s| {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"weight\":{},\"state\":\"{}\"}}",
            s.name,
            s.address,
            s.weight,
            s.status.as_str()
        )
    });
    format!("{{\"version\":1,\"servers\":[{}]}}", each.collect::<Vec<_>>().join(","))
}

#[test]
fn any_prefix_of_a_json_file_is_refused_and_one_of_a_toml_file_holds_no_half_server() {
    check(6, btree_map(0_u16..300, any::<(u8, u8, u8)>(), 1..8), |all| {
        let whole = generation(&list(&all), &Generation::default());
        let json = list_of(&whole);
        for cut in 0..json.len() {
            prop_assert!(read(&json[..cut]).is_err(), "{}", &json[..cut]);
        }
        let toml = list(&all);
        for cut in 0..toml.len() {
            // A TOML file that ends after a whole entry is a shorter list: its length does not tell, so the
            // share that is kept and the digest have to. What is there is right all the same, but for the
            // entry that was cut, whose last lines fall to their defaults.
            if let Ok(fragment) = read(&toml[..cut]) {
                let complete = fragment.servers.len().saturating_sub(1);
                for server in &fragment.servers[..complete] {
                    prop_assert_eq!(Some(server), whole.get(&server.name));
                }
            }
        }
        let digest = format!("digest = \"{}\"\n", whole.digest());
        let signed = toml.replacen('\n', &format!("\n{digest}"), 1);
        prop_assert!(read(&signed).is_ok());
        // Without its digest line a file has no digest; from there on any cut that changes the list shows.
        for cut in "version = 1\n".len() + digest.len()..signed.len() {
            if let Ok(fragment) = read(&signed[..cut]) {
                let same = Generation::default().next(&[fragment], &loose()).unwrap();
                prop_assert_eq!(&same, &whole);
            }
        }
        Ok(())
    });
}

#[test]
fn garbage_is_refused_and_never_panics() {
    let bytes = prop_oneof![
        vec(any::<u8>(), 0..600),
        vec(prop::sample::select(b"{}[]\":,=\n \"server=name1.e-5".to_vec()), 0..600),
        ".{0,200}".prop_map(|text| format!("{{\"version\":1,\"servers\":[{text}]}}").into_bytes()),
    ];
    check(2000, bytes, |bytes| {
        if let Ok(fragment) = Fragment::read("f", &bytes, &Limits::default()) {
            prop_assert!(fragment.servers.is_empty(), "{:?}", String::from_utf8_lossy(&bytes));
        }
        Ok(())
    });
}

/// What one file is told is wrong with it.
fn wrong(text: &str) -> String {
    read(text).err().unwrap_or_default().to_string()
}

#[test]
fn every_mistake_is_named_with_its_place() {
    let server =
        |more: &str| format!("version = 1\n[[servers]]\nname = \"a\"\naddress = \"10.0.0.1:80\"\n{more}");
    for (text, said) in [
        (String::new(), "f: found an empty file"),
        ("version = 1\nservers = [".into(), "f line 2, column "),
        ("{\"version\":1,".into(), "f line 1, column "),
        ("{\"version\":1,\"version\":1,\"servers\":[]}".into(), "the name 'version' twice"),
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
        (server("[networks]\nallow = [\"10.1.0.0/16\"]"), "one in a network that networks.allow names"),
        (server("[networks]\ndeny = [\"10.0.0.0/24\"]"), "one outside 10.0.0.0/24"),
        (server("[networks]\nallow = [\"10.0.0.0/33\"]"), "f /networks/allow/0: found '10.0.0.0/33'"),
        (
            server("zone = \"c\"\n").replace("1\n", "1\nzones = [\"a\", \"b\"]\n"),
            "f /servers/0/zone: found 'c', expected one of a, b",
        ),
        (format!("digest = \"{}\"\n{}", "0".repeat(64), server("")), "f /digest: found '000"),
    ] {
        let problems = wrong(&text);
        assert!(problems.contains(said), "{text}\n--- is told\n{problems}\n--- not\n{said}");
    }
    let not_text =
        Fragment::read("f", b"version = 1\nname = \"\xff\"", &Limits::default()).unwrap_err().to_string();
    assert!(not_text.contains("f line 2, column 9: found a byte that is no UTF-8"), "{not_text}");
}

#[test]
fn all_mistakes_are_reported_and_not_only_the_first() {
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
fn what_the_daemon_allows_goes_over_what_a_file_allows() {
    let text = "version = 1\n[[servers]]\nname = \"a\"\naddress = \"10.0.0.1:80\"\n";
    let limits = |allow: &str, own: &str| Limits {
        own_addresses: vec![own.parse().unwrap()],
        allowed_networks: vec![allow.parse().unwrap()],
        ..Limits::default()
    };
    assert!(Fragment::read("f", text.as_bytes(), &limits("10.0.0.0/8", "10.0.0.1:81")).is_ok());
    assert!(Fragment::read("f", text.as_bytes(), &limits("10.1.0.0/16", "10.0.0.1:81")).is_err());
    assert!(Fragment::read("f", text.as_bytes(), &limits("fd00::/8", "10.0.0.1:81")).is_err());
    let loops = Fragment::read("f", text.as_bytes(), &limits("10.0.0.0/8", "10.0.0.1:80")).unwrap_err();
    assert!(loops.to_string().contains("this daemon listens there itself"));
}

fn fragment(file: &str, precedence: i32, servers: &[(&str, &str)]) -> Fragment {
    let mut text = format!("version = 1\nprecedence = {precedence}\n");
    for (name, address) in servers {
        text += &format!("[[servers]]\nname = \"{name}\"\naddress = \"{address}\"\n");
    }
    Fragment::read(file, text.as_bytes(), &Limits::default()).unwrap()
}

#[test]
fn files_are_merged_by_precedence_whatever_their_order_and_conflicts_are_errors() {
    let base = fragment("base", 0, &[("a", "10.0.0.1:1"), ("b", "10.0.0.2:1")]);
    let over = fragment("over", 5, &[("b", "10.0.0.9:1")]);
    let orders = [vec![base.clone(), over.clone()], vec![over.clone(), base.clone()]];
    let [one, two] = orders.map(|files| Generation::default().next(&files, &Limits::default()).unwrap());
    assert!(one == two && one.get("b").unwrap().address == "10.0.0.9:1".parse().unwrap());
    let same = fragment("same", 0, &[("a", "10.0.0.1:1")]);
    assert!(
        Generation::default().next(&[base.clone(), same], &Limits::default()).is_ok(),
        "the same is no conflict"
    );
    let other = fragment("other", 0, &[("a", "10.0.0.3:1")]);
    let error = Generation::default().next(&[base.clone(), other], &Limits::default()).unwrap_err();
    assert!(error.to_string().contains("other /servers: found 'a' otherwise than in base"), "{error}");
    let address = fragment("address", 0, &[("c", "10.0.0.1:1")]);
    let error = Generation::default().next(&[base, address], &Limits::default()).unwrap_err();
    assert!(error.to_string().contains("for both 'a' and 'c'"), "{error}");
}

#[test]
fn a_list_that_loses_most_is_a_mistake_unless_it_says_so() {
    let all: Vec<(String, String)> =
        (0..10).map(|number| (format!("s-{number}"), format!("10.0.0.{number}:1"))).collect();
    let all: Vec<(&str, &str)> = all.iter().map(|(name, address)| (&**name, &**address)).collect();
    let limits = Limits::default();
    let ten = Generation::default().next(&[fragment("f", 0, &all)], &limits).unwrap();
    assert!(ten.next(&[fragment("f", 0, &all[..5])], &limits).is_ok(), "half is kept");
    let error = ten.next(&[fragment("f", 0, &all[..4])], &limits).unwrap_err().to_string();
    assert!(error.contains("4 of the 10 servers") && error.contains("50% of them"), "{error}");
    let mut meant = fragment("f", 0, &all[..1]);
    meant.replace = true;
    assert_eq!(ten.next(&[meant], &limits).unwrap().len(), 1);
    assert!(ten.next(&[], &limits).is_err(), "an empty list is never one");
    let numbered = |number| Fragment { generation: Some(number), ..fragment("f", 0, &all) };
    let seven = ten.next(&[numbered(7)], &limits).unwrap();
    assert!(seven.next(&[numbered(7)], &limits).is_ok() && seven.next(&[numbered(6)], &limits).is_err());
}

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ashtide-endpoints-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_torn_file_at_any_byte_leaves_the_generation_before() {
    let folder = Folder::new("torn");
    let (store, limits) = (Store::new(&folder.0), Limits::default());
    let one = Generation::default().next(&[fragment("f", 0, &[("a", "10.0.0.1:1")])], &limits).unwrap();
    let two = one.next(&[fragment("f", 0, &[("a", "10.0.0.1:1"), ("b", "10.0.0.2:1")])], &limits).unwrap();
    store.write(&one).unwrap();
    store.write(&two).unwrap();
    assert_eq!(store.latest_valid(&limits).unwrap().0, Some(two.clone()));
    let path = folder.0.join(format!("servers.{:020}", two.number()));
    let whole = std::fs::read(&path).unwrap();
    for cut in 0..whole.len() {
        std::fs::write(&path, &whole[..cut]).unwrap();
        let (good, wrong) = store.latest_valid(&limits).unwrap();
        assert!(good.as_ref() == Some(&one) && wrong.len() == 1, "cut at {cut}: {good:?}");
        let mut flipped = whole.clone();
        flipped[cut] ^= 1;
        std::fs::write(&path, &flipped).unwrap();
        assert_eq!(store.latest_valid(&limits).unwrap().0.as_ref(), Some(&one), "flipped at {cut}");
    }
    // Whole again, and no longer allowed: limits are those of today.
    std::fs::write(&path, &whole).unwrap();
    let narrow = Limits { allowed_networks: vec!["10.0.0.1/32".parse().unwrap()], ..Limits::default() };
    let (good, wrong) = store.latest_valid(&narrow).unwrap();
    assert!(good == Some(one) && matches!(wrong[..], [StoreError::Problems(_)]));
}

#[test]
fn history_is_bounded_and_a_folder_that_is_not_there_is_no_error() {
    let folder = Folder::new("history");
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
    // A folder that cannot be one.
    std::fs::write(folder.0.join("file"), b"").unwrap();
    assert!(matches!(Store::new(folder.0.join("file/state")).write(&list), Err(StoreError::Io(..))));
}
