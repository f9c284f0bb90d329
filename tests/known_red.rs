//! Tests of `.ci/known-red` with a small workspace of their own: only failures of tests that KNOWN-RED.txt
//! lists are tolerated.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Serializes the tests. They share one workspace, so that cargo builds it only once.
static WORKSPACE_LOCK: Mutex<()> = Mutex::new(());

/// Path and contents of the workspace's files, without the test file of the inner crate.
const FILES: [(&str, &str); 6] = [
    (
        "Cargo.toml",
        "[workspace]\nmembers = [\"crates/*\"]\ndefault-members = [\".\"]\n\n\
         [package]\nname = \"root\"\nversion = \"0.1.0\"\nedition = \"2021\"\n",
    ),
    (
        "Cargo.lock",
        "version = 3\n\n[[package]]\nname = \"inner\"\nversion = \"0.1.0\"\n\n\
         [[package]]\nname = \"root\"\nversion = \"0.1.0\"\n",
    ),
    ("src/lib.rs", ""),
    (
        "tests/one.rs",
        "#[test]\nfn sound() {}\n#[test]\nfn red() { panic!(\"the fault\") }\n#[test]\nfn red_too() {}\n",
    ),
    ("crates/inner/Cargo.toml", "[package]\nname = \"inner\"\nversion = \"0.1.0\"\nedition = \"2021\"\n"),
    ("crates/inner/src/lib.rs", "#[test]\nfn library() {}\n"),
];

/// Path of the inner crate's test file.
const INNER: &str = "crates/inner/tests/two.rs";
/// Test file of the inner crate with a passing test.
const INNER_PASSING: &str = "mod deep {\n#[test]\nfn other() {}\n}\n";
/// Test file of the inner crate with a failing test.
const INNER_FAILING: &str = "mod deep {\n#[test]\nfn other() { panic!(\"another\") }\n}\n";
/// Test file of the inner crate with a test of the same name as one of the root package.
const INNER_DUPLICATE: &str = "#[test]\nfn red() {}\n";

/// Exclusive access to the shared workspace.
struct Workspace {
    folder: PathBuf,
    _lock: MutexGuard<'static, ()>,
}

impl Workspace {
    /// Sets up the workspace with `inner` as the test file of the inner crate.
    fn new(inner: &str) -> Self {
        let lock = WORKSPACE_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("known-red");
        let workspace = Self { folder, _lock: lock };
        FILES.iter().for_each(|(file, text)| workspace.write(file, text));
        workspace.write(INNER, inner);
        workspace
    }

    /// Writes a file unless it has these contents already. An unchanged modification time avoids a rebuild.
    fn write(&self, file: &str, text: &str) {
        let path = self.folder.join(file);
        fs::create_dir_all(path.parent().expect("a parent folder")).unwrap();
        if fs::read_to_string(&path).ok().as_deref() != Some(text) {
            fs::write(path, text).unwrap();
        }
    }

    /// Runs the check with this list. Returns whether it passes, and its output.
    fn check(&self, known_red: Option<&str>) -> (bool, String) {
        let list = self.folder.join("KNOWN-RED.txt");
        match known_red {
            Some(text) => fs::write(&list, text).unwrap(),
            None => drop(fs::remove_file(&list)),
        }
        let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
        let mut command = Command::new("timeout");
        command.args(["--kill-after=10", "300"]).arg(script).current_dir(&self.folder);
        command.env("CARGO_TARGET_DIR", self.folder.join("target")).env("CARGO_NET_OFFLINE", "true");
        command.env("CARGO_BUILD_JOBS", "1").env("RUST_BACKTRACE", "0").env("CARGO_TERM_COLOR", "never");
        let output = command.output().unwrap();
        let text =
            [output.stdout, output.stderr].map(|it| String::from_utf8_lossy(&it).into_owned()).concat();
        (output.status.success(), text)
    }

    /// Asserts that the check passes, and returns its output.
    fn passes(&self, known_red: Option<&str>) -> String {
        let (passed, output) = self.check(known_red);
        assert!(passed, "{output}");
        output
    }

    /// Asserts that the check fails and that its output contains `text`.
    fn fails(&self, known_red: Option<&str>, text: &str) {
        let (passed, output) = self.check(known_red);
        assert!(!passed && output.contains(text), "expected '{text}':\n{output}");
    }
}

/// Message for a malformed entry of the list.
const MALFORMED_ENTRY: &str = "not of the form TEST | COMMAND AND SEED | SEEN | ISSUE";
/// List with the entry of a failing test.
const RED_ENTRY: &str = "tests/one.rs::red | cargo test red | the fault | #7\n";

#[test]
fn a_listed_test_that_fails_is_tolerated_and_shown() {
    let output = Workspace::new(INNER_PASSING).passes(Some(RED_ENTRY));
    assert!(output.contains("known red:   tests/one.rs::red | cargo test red | the fault | #7"), "{output}");
    for passing in
        ["test sound ... ok", "test red_too ... ok", "test deep::other ... ok", "test library ... ok"]
    {
        assert!(output.contains(passing), "{passing}: not run\n{output}");
    }
    assert!(output.contains("test red ... FAILED") && output.contains("test result: ok."), "{output}");
}

#[test]
fn a_test_of_a_crate_is_identified_by_its_file() {
    let workspace = Workspace::new(INNER_FAILING);
    let both =
        format!("{RED_ENTRY}\ncrates/inner/tests/two.rs::deep::other | cargo test other | another | #8\n");
    let output = workspace.passes(Some(&both));
    assert!(output.contains("test red_too ... ok") && output.contains("test library ... ok"), "{output}");
    // With only one of the two listed, the failure of the other is reported.
    workspace.fails(Some(RED_ENTRY), "test deep::other ... FAILED");
    workspace.fails(
        Some("crates/inner/tests/two.rs::deep::other | cargo test other | another | #8\n"),
        "test red ... FAILED",
    );
}

#[test]
fn without_a_list_a_failing_test_fails_the_check() {
    let workspace = Workspace::new(INNER_PASSING);
    workspace.fails(None, "test red ... FAILED");
    workspace.fails(Some(""), "test red ... FAILED");
}

#[test]
fn a_listed_test_that_passes_fails_the_check() {
    let list = format!("{RED_ENTRY}crates/inner/src/lib.rs::library | cargo test library | none | #9\n");
    Workspace::new(INNER_PASSING).fails(Some(&list), "crates/inner/src/lib.rs::library passes: strike it");
}

#[test]
fn the_result_of_an_intermittent_test_is_shown_and_ignored() {
    let workspace = Workspace::new(INNER_PASSING);
    let failing = format!("sometimes {RED_ENTRY}");
    let output = workspace.passes(Some(&failing));
    assert!(output.contains("known red: tests/one.rs::red failed"), "{output}");
    assert!(output.contains("test red ... FAILED") && output.contains("test red_too ... ok"), "{output}");
    let passing =
        format!("{RED_ENTRY}sometimes tests/one.rs::sound | cargo test sound | fails at times | #9\n");
    let output = workspace.passes(Some(&passing));
    assert!(
        output.contains("known red: tests/one.rs::sound, which fails in some runs, passed in this one"),
        "{output}"
    );
    // Any other failing test fails the check, and so does an entry of a missing test.
    workspace.fails(Some("sometimes tests/one.rs::sound | cargo test | none | #9\n"), "test red ... FAILED");
    workspace.fails(Some("sometimes tests/one.rs::gone | cargo test | none | #9\n"), "there is no test");
    workspace.fails(Some(&format!("{RED_ENTRY}sometimes {RED_ENTRY}")), "listed twice");
}

#[test]
fn a_listed_test_that_does_not_exist_fails_the_check() {
    let workspace = Workspace::new(INNER_PASSING);
    // The same holds for a test of another target and for a part of a test name.
    for test in ["tests/one.rs::gone", "tests/one.rs::re", "tests/one.rs::other", "tests/one.rs::deep::other"]
    {
        workspace.fails(Some(&format!("{RED_ENTRY}{test} | cargo test | none | #9\n")), "there is no test");
    }
    workspace
        .fails(Some("tests/nowhere.rs::red | cargo test | none | #9\n"), "no test target named `nowhere`");
}

#[test]
fn a_duplicate_test_name_fails_the_check() {
    // `--skip` would skip both tests.
    Workspace::new(INNER_DUPLICATE).fails(Some(RED_ENTRY), "2 tests have the name red");
}

#[test]
fn a_list_that_is_too_long_or_malformed_fails_the_check_before_any_test() {
    let workspace = Workspace::new(INNER_PASSING);
    let four: String = (0..4)
        .map(|number| format!("tests/one.rs::red{number} | cargo test | the fault | #{number}\n"))
        .collect();
    for (list, message) in [
        (four.as_str(), "names 4 tests; three are the most"),
        ("tests/one.rs::red | cargo test red | the fault\n", MALFORMED_ENTRY),
        ("tests/one.rs::red | cargo test red | | #7\n", MALFORMED_ENTRY),
        ("tests/one.rs::red | | the fault | #7\n", MALFORMED_ENTRY),
        ("tests/one.rs::red | cargo test red | the fault | #7 | more\n", MALFORMED_ENTRY),
        ("sometimes | cargo test red | the fault | #7\n", "not of the form tests/NAME.rs::test"),
        ("red | cargo test red | the fault | #7\n", "not of the form tests/NAME.rs::test"),
        ("tests/deep/one.rs::red | cargo test red | the fault | #7\n", "no target of its own"),
        ("src/main.rs::red | cargo test red | the fault | #7\n", "neither a test file nor a library"),
        (&format!("{RED_ENTRY}{RED_ENTRY}"), "listed twice"),
    ] {
        let (passed, output) = workspace.check(Some(list));
        assert!(
            !passed && output.contains(message) && !output.contains("running"),
            "expected '{message}':\n{output}"
        );
    }
}
