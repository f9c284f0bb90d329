//! Guards server lists byte for byte: what is read from files, what is said of wrong ones, how lists are merged
//! and compared, and the generations on disk, against fixtures that were recorded once and never change.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use ashtide_endpoints::{
    Fragment, Generation, Limits, MAX_STORED_GENERATIONS, Server, Status, Store, StoreError, schema,
};

/// Compares with a fixture. What was found instead is left beside the build's temporary files.
fn assert_fixture(name: &str, found: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility").join(name);
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

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ashtide-lists-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }

    /// A text without this folder's own name in it.
    fn hide(&self, text: &str) -> String {
        text.replace(&self.0.display().to_string(), "FOLDER")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn server(server: &Server) -> String {
    let state = match server.status {
        Status::Serving => "serving",
        Status::Draining => "draining",
        Status::Out => "out",
    };
    format!(
        "'{}' {} zone '{}' kind '{}' weight {:016x} since {} {state} as '{}'",
        server.name,
        server.address,
        server.zone,
        server.kind,
        server.weight.to_bits(),
        server.since_ms,
        server.status.as_str()
    )
}

fn number(number: Option<u64>) -> String {
    number.map_or_else(|| "-".to_owned(), |number| number.to_string())
}

fn fragment(fragment: &Fragment) -> String {
    let mut text = format!(
        "file '{}' generation {} replace {} precedence {}",
        fragment.file,
        number(fragment.generation),
        fragment.replace,
        fragment.precedence
    );
    for entry in &fragment.servers {
        let _ = write!(text, "\n    {}", server(entry));
    }
    text
}

fn generation(list: &Generation) -> String {
    let mut text = format!(
        "number {} published {} length {} empty {} digest {}",
        list.number(),
        number(list.published()),
        list.len(),
        list.is_empty(),
        list.digest()
    );
    for entry in list.servers() {
        let _ = write!(text, "\n    {}", server(entry));
    }
    text
}

/// One server with all that an entry can say, in TOML.
const FULL: &str = r#"version = 1
generation = 7
replace = true
precedence = -3
zones = ["north", "south"]

[networks]
allow = ["10.0.0.0/8", "fd00::/8"]
deny = ["10.9.0.0/16"]

[defaults]
zone = "north"
kind = "large"
weight = 2.0
state = "draining"

[[servers]]
name = "s-1"
address = "10.1.0.18:8443"

[[servers]]
name = "s-2"
address = "[fd00::2]:8443"
zone = "south"
kind = "small"
weight = 0.25
since_ms = 1764754440000
state = "serving"

[[servers]]
name = "s-3"
address = "[::ffff:10.1.0.20]:8443"
weight = 0
state = "out"
"#;

/// The same list in JSON.
const FULL_JSON: &str = r#"{"version":1,"generation":7,"replace":true,"precedence":-3,"zones":["north","south"],
"networks":{"allow":["10.0.0.0/8","fd00::/8"],"deny":["10.9.0.0/16"]},
"defaults":{"zone":"north","kind":"large","weight":2.0,"state":"draining"},
"servers":[{"name":"s-1","address":"10.1.0.18:8443"},
{"name":"s-2","address":"[fd00::2]:8443","zone":"south","kind":"small","weight":0.25,"since_ms":1764754440000,
"state":"serving"},
{"name":"s-3","address":"[::ffff:10.1.0.20]:8443","weight":0,"state":"out"}]}
"#;

/// A list of one server, with further text behind it.
fn one(more: &str) -> String {
    format!("version = 1\n[[servers]]\nname = \"a\"\naddress = \"10.0.0.1:80\"\n{more}")
}

fn texts() -> Vec<Vec<u8>> {
    let mut all: Vec<String> = vec![
        FULL.into(),
        FULL_JSON.into(),
        one(""),
        String::new(),
        " \n\t".into(),
        "servers = []".into(),
        "version = 1\nservers = []".into(),
        "version = 2\nservers = []".into(),
        "version = \"1\"\nservers = []".into(),
        "version = 1\nservers = 3".into(),
        "version = 1\nservers = [".into(),
        "{\"version\":1,".into(),
        "{\"version\":1,\"version\":1,\"servers\":[]}".into(),
        "{\"version\":1,\"servers\":[]} x".into(),
        "[1]".into(),
        one("weight = nan"),
        one("weight = inf"),
        one("weight = -1.0"),
        one("weight = 1000"),
        one("weight = 1000.5"),
        one("weight = \"1\""),
        one("weigth = 1.0"),
        one("state = \"gone\""),
        one("state = \"Serving\""),
        one("since_ms = -1"),
        one("since_ms = 2026-12-01T00:00:00Z"),
        one("zone = \"c\"\n").replace("1\n[[", "1\nzones = [\"a\", \"b\"]\n[["),
        one("[[servers]]\nname = \"a\"\naddress = \"10.0.0.2:80\""),
        one("[[servers]]\nname = \"b\"\naddress = \"10.0.0.1:80\""),
        one("[networks]\nallow = [\"10.1.0.0/16\"]"),
        one("[networks]\ndeny = [\"10.0.0.0/24\"]"),
        one("[networks]\nallow = [\"10.0.0.0/33\", \"x\"]"),
        one("[defaults]\nname = \"x\""),
        format!("digest = \"{}\"\n{}", "0".repeat(64), one("")),
        format!("digest = \"x\"\n{}", one("")),
        one("").replace("\"a\"", "\"a b\""),
        one("").replace("\"a\"", "\"\""),
        one("").replace("\"a\"", &format!("\"{}\"", "n".repeat(129))),
    ];
    for address in
        ["10.0.0.1", "10.0.0.1:0", "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "s-1:80", ""]
    {
        all.push(one("").replace("10.0.0.1:80", address));
    }
    let mut all: Vec<Vec<u8>> = all.into_iter().map(String::into_bytes).collect();
    all.push(b"version = 1\nname = \"\xff\"".to_vec());
    all
}

#[test]
fn files_are_read_as_recorded() {
    let narrow = Limits {
        min_retained_share: 0.5,
        own_addresses: vec!["0.0.0.0:80".parse().unwrap(), "10.0.0.1:80".parse().unwrap()],
        allowed_networks: vec!["10.1.0.0/16".parse().unwrap()],
    };
    let mut found = String::new();
    for text in texts() {
        for limits in [&Limits::default(), &narrow] {
            let outcome = match Fragment::read("lists/one.toml", &text, limits) {
                Ok(read) => fragment(&read),
                Err(problems) => format!("{} problems\n{problems}", problems.count()),
            };
            let _ = writeln!(found, "--- {}\n{outcome}", text.escape_ascii());
        }
    }
    assert_fixture("files.txt", &found);
}

fn read(file: &str, text: &str) -> Fragment {
    Fragment::read(file, text.as_bytes(), &Limits::default()).expect("a list")
}

fn list(precedence: i32, servers: &[(&str, &str)]) -> String {
    let mut text = format!("version = 1\nprecedence = {precedence}\n");
    for (name, address) in servers {
        text += &format!("[[servers]]\nname = \"{name}\"\naddress = \"{address}\"\n");
    }
    text
}

#[test]
fn lists_are_merged_and_compared_as_recorded() {
    let limits = Limits::default();
    let base = read("base", &list(0, &[("a", "10.0.0.1:1"), ("b", "10.0.0.2:1"), ("c", "10.0.0.3:1")]));
    let over = read("over", &list(5, &[("b", "10.0.0.9:1"), ("d", "10.0.0.4:1")]));
    let other = read("other", &list(0, &[("a", "10.0.0.7:1")]));
    let taken = read("taken", &list(0, &[("e", "10.0.0.1:1")]));
    let few = read("few", &list(0, &[("a", "10.0.0.1:1")]));
    let numbered = |number| Fragment { generation: Some(number), ..base.clone() };
    let replacing = Fragment { replace: true, ..few.clone() };
    let steps: Vec<Vec<Fragment>> = vec![
        vec![],
        vec![base.clone()],
        vec![over.clone(), base.clone()],
        vec![base.clone(), other],
        vec![base.clone(), taken],
        vec![few],
        vec![replacing],
        vec![numbered(7)],
        vec![numbered(6)],
        vec![numbered(8), over],
        vec![base.clone(); 65],
        vec![read("full", FULL)],
    ];
    let mut found = String::new();
    let mut current = Generation::default();
    let _ = writeln!(found, "{}", generation(&current));
    for fragments in steps {
        match current.next(&fragments, &limits) {
            Ok(next) => {
                let difference = next.difference(&current);
                let _ = writeln!(found, "{}", generation(&next));
                let _ = writeln!(
                    found,
                    "  gone {} renewed {}",
                    difference.removed.join(" "),
                    difference.readdressed.join(" ")
                );
                for put in &difference.upserted {
                    let _ = writeln!(found, "  put {}", server(put));
                }
                let applied = current.apply(&difference);
                let _ = writeln!(found, "  applied {} {}", applied.number(), applied.digest());
                current = next;
            }
            Err(problems) => _ = writeln!(found, "{} problems\n{problems}", problems.count()),
        }
    }
    assert_fixture("merged.txt", &found);
}

fn store_error(error: &StoreError) -> String {
    let kind = match error {
        StoreError::Io(..) => "io",
        StoreError::Torn(..) => "torn",
        StoreError::Problems(_) => "problems",
        StoreError::Unknown(_) => "unknown",
    };
    format!("{kind}: {error}")
}

/// The generations that the store's fixture holds.
fn generations() -> [Generation; 2] {
    let limits = Limits::default();
    let first = Generation::default().next(&[read("full", FULL)], &limits).expect("a list");
    let second = read("second", &list(0, &[("s-1", "10.1.0.18:8443"), ("\u{21}", "10.1.0.19:8443")]));
    let second = first.next(&[Fragment { generation: Some(8), replace: true, ..second }], &limits);
    [first, second.expect("a list")]
}

#[test]
fn generations_are_written_as_recorded() {
    let folder = Folder::new("written");
    let store = Store::new(&folder.0);
    for generation in generations() {
        store.write(&generation).expect("kept");
    }
    let mut names: Vec<String> = std::fs::read_dir(&folder.0)
        .expect("a folder")
        .map(|entry| entry.expect("an entry").file_name().into_string().expect("text"))
        .collect();
    names.sort();
    assert_eq!(names, ["servers.00000000000000000001", "servers.00000000000000000002"]);
    for name in names {
        let text = std::fs::read_to_string(folder.0.join(&name)).expect("a file");
        assert_fixture(&name, &text);
    }
}

#[test]
fn generations_that_were_recorded_are_read() {
    let recorded = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility");
    let (store, limits) = (Store::new(recorded), Limits::default());
    assert_eq!(store.numbers().expect("a folder"), [2, 1]);
    for (number, expected) in [1, 2].into_iter().zip(generations()) {
        let read = store.read(number, &limits).expect("a generation");
        assert_eq!(generation(&read), generation(&expected));
    }
    let (good, wrong) = store.latest_valid(&limits).expect("a folder");
    assert!(wrong.is_empty() && good.is_some_and(|good| good.number() == 2));
}

#[test]
fn what_is_wrong_with_a_kept_file_is_told_as_recorded() {
    let folder = Folder::new("wrong");
    let (store, limits) = (Store::new(&folder.0), Limits::default());
    let [first, second] = generations();
    store.write(&first).expect("kept");
    store.write(&second).expect("kept");
    let path = folder.0.join("servers.00000000000000000002");
    let whole = std::fs::read(&path).expect("a file");
    let head = whole.iter().position(|&byte| byte == b'\n').expect("a head");
    let mut cases: Vec<(&str, Vec<u8>)> = vec![
        ("empty", Vec::new()),
        ("half a head", whole[..head / 2].to_vec()),
        ("only a head", whole[..=head].to_vec()),
        ("half a body", whole[..whole.len() - 10].to_vec()),
        ("a longer body", [&whole[..], b" "].concat()),
        ("another form", [b"ashtide-servers 2", &whole[17..]].concat()),
        ("another program", b"something else\n{}".to_vec()),
        ("no text", vec![0xff; 200]),
        ("another number", std::fs::read(folder.0.join("servers.00000000000000000001")).expect("a file")),
    ];
    let mut flipped = whole.clone();
    flipped[head + 5] ^= 1;
    cases.push(("a flipped bit", flipped));
    let mut found = String::new();
    for (what, bytes) in cases {
        std::fs::write(&path, bytes).expect("written");
        let error = store.read(2, &limits).expect_err("wrong");
        let (good, wrong) = store.latest_valid(&limits).expect("a folder");
        let good = good.map_or(0, |good| good.number());
        let error = folder.hide(&store_error(&error));
        let _ = writeln!(found, "{what}: {error}; {} passed over, {good} is good", wrong.len());
    }
    std::fs::write(&path, &whole).expect("written");
    let narrow =
        Limits { allowed_networks: vec!["10.2.0.0/16".parse().expect("a network")], ..Limits::default() };
    let error = store.read(2, &narrow).expect_err("not allowed");
    let _ = writeln!(found, "not allowed: {}", folder.hide(&store_error(&error)));
    let error = store.read(3, &limits).expect_err("unknown");
    let _ = writeln!(found, "never kept: {}", folder.hide(&store_error(&error)));
    let _ = writeln!(found, "kept at most: {MAX_STORED_GENERATIONS}");
    assert_fixture("store_errors.txt", &found);
}

#[test]
fn the_schema_is_as_recorded() {
    assert_fixture("schema.json", &format!("{:#}\n", schema()));
}
