//! The page of errors names every variant of the types it stands for.

/// Sources whose errors the page lists.
const SOURCES: [&str; 21] = [
    include_str!("../src/net/connect.rs"),
    include_str!("../src/engine/invariants.rs"),
    include_str!("../src/fleet/permits/mod.rs"),
    include_str!("../src/fleet/permits/datagram.rs"),
    include_str!("../src/discovery/http.rs"),
    include_str!("../src/discovery/watch.rs"),
    include_str!("../src/fleet/view/settings.rs"),
    include_str!("../src/fleet/maintenance/settings.rs"),
    include_str!("../src/fleet/quota/settings.rs"),
    include_str!("../crates/ashtide-fleet/src/frame.rs"),
    include_str!("../crates/ashtide-fleet/src/state/allocation.rs"),
    include_str!("../crates/ashtide-fleet/src/state/escrow.rs"),
    include_str!("../crates/ashtide-fleet/src/state/violation.rs"),
    include_str!("../crates/ashtide-throughput/src/register.rs"),
    include_str!("../crates/ashtide-throughput/src/violation.rs"),
    include_str!("../crates/ashtide-maintenance/src/message.rs"),
    include_str!("../crates/ashtide-maintenance/src/store/mod.rs"),
    include_str!("../crates/ashtide-maintenance/src/queue/change.rs"),
    include_str!("../crates/ashtide-maintenance/src/violation.rs"),
    include_str!("../crates/ashtide-fault-injection/src/violation.rs"),
    include_str!("../crates/ashtide-fault-injection/src/lib.rs"),
];
const PAGE: &str = include_str!("../docs/errors.md");

/// The error enums of a source, each with its variants: a variant follows its `#[error(...)]`.
fn enums(source: &str) -> Vec<(&str, Vec<&str>)> {
    let mut found = Vec::new();
    for part in
        source.split("#[derive(").filter(|part| part.split(')').next().is_some_and(|it| it.contains("Error")))
    {
        let Some((_, rest)) = part.split_once("pub enum ") else { continue };
        let name = rest.split([' ', '<']).next().unwrap_or_default();
        let body = rest.split("\n}").next().unwrap_or_default();
        let variants = body.split("#[error(").skip(1).filter_map(|it| {
            let line = it.split_once(")]\n")?.1.trim_start();
            line.split(|c: char| !c.is_alphanumeric()).next()
        });
        found.push((name, variants.collect()));
    }
    found
}

#[test]
fn the_page_lists_every_error_with_what_to_do() {
    let mut sections = 0;
    let mut variants = 0;
    for (name, all) in SOURCES.into_iter().flat_map(enums) {
        let tables: Vec<&str> = PAGE
            .split("## ")
            .filter(|it| it.lines().next().is_some_and(|it| it.ends_with(&format!("`{name}`"))))
            .collect();
        assert!(!tables.is_empty(), "no section for `{name}`");
        sections += 1;
        for variant in all {
            let row = |line: &&str| line.starts_with(&format!("| `{variant}` |"));
            let rows: Vec<&str> = tables.iter().flat_map(|it| it.lines()).filter(row).collect();
            assert!(!rows.is_empty(), "`{name}::{variant}` is not on the page");
            for row in rows {
                let last = row.trim_end_matches(" |").rsplit("| ").next().unwrap_or_default();
                assert!(last.len() > 10, "what to do about `{name}::{variant}`?");
            }
            variants += 1;
        }
    }
    assert!(sections >= 10 && variants >= 50, "{sections} types, {variants} variants were found at all");
}
