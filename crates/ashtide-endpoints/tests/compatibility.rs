//! Compatibility of server lists, compared byte for byte with recorded fixtures: the content that is read
//! from files, the errors of invalid files, merging, differences, and the format of the generations on disk.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use ashtide_endpoints::{
    Fragment, Generation, Limits, MAX_STORED_GENERATIONS, Server, Status, Store, StoreError, schema,
};

/// Compares a text with a fixture. If they differ, the text is written to the build's temporary folder.
fn assert_fixture(name: &str, found: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility").join(name);
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    if expected == found {
        return;
    }
    let found_file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&found_file, found).expect("the build's temporary folder is writable");
    let line = expected.lines().zip(found.lines()).position(|(expected, found)| expected != found);
    let line = line.unwrap_or_else(|| expected.lines().count().min(found.lines().count()));
    panic!(
        "{name}, line {}:\nexpected: {:?}\nfound:    {:?}\nentire text found: {}",
        line + 1,
        expected.lines().nth(line),
        found.lines().nth(line),
        found_file.display()
    );
}

/// Temporary folder, which is removed when it is dropped.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ashtide-lists-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }

    /// Replaces the folder's path, which differs between runs.
    fn mask_path(&self, text: &str) -> String {
        text.replace(&self.0.display().to_string(), "FOLDER")
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn format_server(server: &Server) -> String {
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

fn format_number(number: Option<u64>) -> String {
    number.map_or_else(|| "-".to_owned(), |number| number.to_string())
}

fn format_fragment(fragment: &Fragment) -> String {
    let mut text = format!(
        "file '{}' generation {} replace {} precedence {}",
        fragment.file,
        format_number(fragment.generation),
        fragment.replace,
        fragment.precedence
    );
    for server in &fragment.servers {
        let _ = write!(text, "\n    {}", format_server(server));
    }
    text
}

fn format_generation(list: &Generation) -> String {
    let mut text = format!(
        "number {} published {} length {} empty {} digest {}",
        list.number(),
        format_number(list.published()),
        list.len(),
        list.is_empty(),
        list.digest()
    );
    for server in list.servers() {
        let _ = write!(text, "\n    {}", format_server(server));
    }
    text
}

/// List that uses all fields of the document, in TOML.
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

/// The list of [`FULL`] in JSON.
const FULL_JSON: &str = r#"{"version":1,"generation":7,"replace":true,"precedence":-3,"zones":["north","south"],
"networks":{"allow":["10.0.0.0/8","fd00::/8"],"deny":["10.9.0.0/16"]},
"defaults":{"zone":"north","kind":"large","weight":2.0,"state":"draining"},
"servers":[{"name":"s-1","address":"10.1.0.18:8443"},
{"name":"s-2","address":"[fd00::2]:8443","zone":"south","kind":"small","weight":0.25,"since_ms":1764754440000,
"state":"serving"},
{"name":"s-3","address":"[::ffff:10.1.0.20]:8443","weight":0,"state":"out"}]}
"#;

/// Returns a list of one server, followed by further text.
fn one_server(suffix: &str) -> String {
    format!("version = 1\n[[servers]]\nname = \"a\"\naddress = \"10.0.0.1:80\"\n{suffix}")
}

/// Returns the contents of valid and invalid files.
fn file_contents() -> Vec<Vec<u8>> {
    let mut texts: Vec<String> = vec![
        FULL.into(),
        FULL_JSON.into(),
        one_server(""),
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
        one_server("weight = nan"),
        one_server("weight = inf"),
        one_server("weight = -1.0"),
        one_server("weight = 1000"),
        one_server("weight = 1000.5"),
        one_server("weight = \"1\""),
        one_server("weigth = 1.0"),
        one_server("state = \"gone\""),
        one_server("state = \"Serving\""),
        one_server("since_ms = -1"),
        one_server("since_ms = 2026-12-01T00:00:00Z"),
        one_server("zone = \"c\"\n").replace("1\n[[", "1\nzones = [\"a\", \"b\"]\n[["),
        one_server("[[servers]]\nname = \"a\"\naddress = \"10.0.0.2:80\""),
        one_server("[[servers]]\nname = \"b\"\naddress = \"10.0.0.1:80\""),
        one_server("[networks]\nallow = [\"10.1.0.0/16\"]"),
        one_server("[networks]\ndeny = [\"10.0.0.0/24\"]"),
        one_server("[networks]\nallow = [\"10.0.0.0/33\", \"x\"]"),
        one_server("[defaults]\nname = \"x\""),
        format!("digest = \"{}\"\n{}", "0".repeat(64), one_server("")),
        format!("digest = \"x\"\n{}", one_server("")),
        one_server("").replace("\"a\"", "\"a b\""),
        one_server("").replace("\"a\"", "\"\""),
        one_server("").replace("\"a\"", &format!("\"{}\"", "n".repeat(129))),
    ];
    for address in
        ["10.0.0.1", "10.0.0.1:0", "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "s-1:80", ""]
    {
        texts.push(one_server("").replace("10.0.0.1:80", address));
    }
    let mut contents: Vec<Vec<u8>> = texts.into_iter().map(String::into_bytes).collect();
    contents.push(b"version = 1\nname = \"\xff\"".to_vec());
    contents
}

#[test]
fn files_are_read_as_recorded() {
    let strict_limits = Limits {
        min_retained_share: 0.5,
        own_addresses: vec!["0.0.0.0:80".parse().unwrap(), "10.0.0.1:80".parse().unwrap()],
        allowed_networks: vec!["10.1.0.0/16".parse().unwrap()],
    };
    let mut found = String::new();
    for content in file_contents() {
        for limits in [&Limits::default(), &strict_limits] {
            let outcome = match Fragment::read("lists/one.toml", &content, limits) {
                Ok(fragment) => format_fragment(&fragment),
                Err(problems) => format!("{} problems\n{problems}", problems.count()),
            };
            let _ = writeln!(found, "--- {}\n{outcome}", content.escape_ascii());
        }
    }
    assert_fixture("files.txt", &found);
}

fn read(file: &str, text: &str) -> Fragment {
    Fragment::read(file, text.as_bytes(), &Limits::default()).expect("the list is valid")
}

/// Returns a list of servers, given by name and address, in TOML.
fn list_text(precedence: i32, servers: &[(&str, &str)]) -> String {
    let mut text = format!("version = 1\nprecedence = {precedence}\n");
    for (name, address) in servers {
        text += &format!("[[servers]]\nname = \"{name}\"\naddress = \"{address}\"\n");
    }
    text
}

#[test]
fn lists_are_merged_and_compared_as_recorded() {
    let limits = Limits::default();
    let base_servers = [("a", "10.0.0.1:1"), ("b", "10.0.0.2:1"), ("c", "10.0.0.3:1")];
    let base = read("base", &list_text(0, &base_servers));
    let over = read("over", &list_text(5, &[("b", "10.0.0.9:1"), ("d", "10.0.0.4:1")]));
    let other = read("other", &list_text(0, &[("a", "10.0.0.7:1")]));
    let taken = read("taken", &list_text(0, &[("e", "10.0.0.1:1")]));
    let few = read("few", &list_text(0, &[("a", "10.0.0.1:1")]));
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
    let _ = writeln!(found, "{}", format_generation(&current));
    for fragments in steps {
        match current.next(&fragments, &limits) {
            Ok(next) => {
                let difference = next.difference(&current);
                let _ = writeln!(found, "{}", format_generation(&next));
                let _ = writeln!(
                    found,
                    "  gone {} renewed {}",
                    difference.removed.join(" "),
                    difference.readdressed.join(" ")
                );
                for server in &difference.upserted {
                    let _ = writeln!(found, "  put {}", format_server(server));
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

fn format_store_error(error: &StoreError) -> String {
    let kind = match error {
        StoreError::Io(..) => "io",
        StoreError::Torn(..) => "torn",
        StoreError::Problems(_) => "problems",
        StoreError::Unknown(_) => "unknown",
    };
    format!("{kind}: {error}")
}

/// Returns the generations that the store's fixtures contain.
fn recorded_generations() -> [Generation; 2] {
    let limits = Limits::default();
    let first = Generation::default().next(&[read("full", FULL)], &limits).expect("the list is valid");
    let second = read("second", &list_text(0, &[("s-1", "10.1.0.18:8443"), ("\u{21}", "10.1.0.19:8443")]));
    let second = first.next(&[Fragment { generation: Some(8), replace: true, ..second }], &limits);
    [first, second.expect("the list is valid")]
}

#[test]
fn generations_are_written_as_recorded() {
    let folder = TemporaryFolder::new("written");
    let store = Store::new(&folder.0);
    for generation in recorded_generations() {
        store.write(&generation).expect("the generation is stored");
    }
    let mut names: Vec<String> = std::fs::read_dir(&folder.0)
        .expect("the folder is readable")
        .map(|entry| entry.expect("the entry is readable").file_name().into_string().expect("UTF-8"))
        .collect();
    names.sort();
    assert_eq!(names, ["servers.00000000000000000001", "servers.00000000000000000002"]);
    for name in names {
        let text = std::fs::read_to_string(folder.0.join(&name)).expect("the file is readable");
        assert_fixture(&name, &text);
    }
}

#[test]
fn recorded_generations_are_read() {
    let recorded = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility");
    let (store, limits) = (Store::new(recorded), Limits::default());
    assert_eq!(store.numbers().expect("the folder is readable"), [2, 1]);
    for (number, expected) in [1, 2].into_iter().zip(recorded_generations()) {
        let read = store.read(number, &limits).expect("the generation is valid");
        assert_eq!(format_generation(&read), format_generation(&expected));
    }
    let (latest, errors) = store.latest_valid(&limits).expect("the folder is readable");
    assert!(errors.is_empty() && latest.is_some_and(|latest| latest.number() == 2));
}

#[test]
fn errors_of_stored_files_are_as_recorded() {
    let folder = TemporaryFolder::new("wrong");
    let (store, limits) = (Store::new(&folder.0), Limits::default());
    let [first, second] = recorded_generations();
    store.write(&first).expect("the generation is stored");
    store.write(&second).expect("the generation is stored");
    let path = folder.0.join("servers.00000000000000000002");
    let valid = std::fs::read(&path).expect("the file is readable");
    let header_length = valid.iter().position(|&byte| byte == b'\n').expect("a header line");
    let first_file = std::fs::read(folder.0.join("servers.00000000000000000001"));
    let mut cases: Vec<(&str, Vec<u8>)> = vec![
        ("empty", Vec::new()),
        ("half a head", valid[..header_length / 2].to_vec()),
        ("only a head", valid[..=header_length].to_vec()),
        ("half a body", valid[..valid.len() - 10].to_vec()),
        ("a longer body", [&valid[..], b" "].concat()),
        ("another form", [b"ashtide-servers 2", &valid[17..]].concat()),
        ("another program", b"something else\n{}".to_vec()),
        ("no text", vec![0xff; 200]),
        ("another number", first_file.expect("the file is readable")),
    ];
    let mut flipped = valid.clone();
    flipped[header_length + 5] ^= 1;
    cases.push(("a flipped bit", flipped));
    let mut found = String::new();
    for (case, bytes) in cases {
        std::fs::write(&path, bytes).expect("the file is written");
        let error = store.read(2, &limits).expect_err("the file is corrupt");
        let (latest, errors) = store.latest_valid(&limits).expect("the folder is readable");
        let latest = latest.map_or(0, |latest| latest.number());
        let error = folder.mask_path(&format_store_error(&error));
        let _ = writeln!(found, "{case}: {error}; {} passed over, {latest} is good", errors.len());
    }
    std::fs::write(&path, &valid).expect("the file is written");
    let strict_limits =
        Limits { allowed_networks: vec!["10.2.0.0/16".parse().expect("a network")], ..Limits::default() };
    let error = store.read(2, &strict_limits).expect_err("the servers are in another network");
    let _ = writeln!(found, "not allowed: {}", folder.mask_path(&format_store_error(&error)));
    let error = store.read(3, &limits).expect_err("generation 3 is not stored");
    let _ = writeln!(found, "never kept: {}", folder.mask_path(&format_store_error(&error)));
    let _ = writeln!(found, "kept at most: {MAX_STORED_GENERATIONS}");
    assert_fixture("store_errors.txt", &found);
}

#[test]
fn schema_is_as_recorded() {
    assert_fixture("schema.json", &format!("{:#}\n", schema()));
}
