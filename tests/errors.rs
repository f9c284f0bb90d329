//! Completeness of docs/errors.md: it has to list every variant of the error enums that operators may
//! encounter.

/// Sources that define the error enums.
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
/// Page that lists the errors.
const PAGE: &str = include_str!("../docs/errors.md");

/// An error enum of a source.
struct ErrorEnum {
    name: &'static str,
    variants: Vec<&'static str>,
}

/// Returns the error enums of a source. A variant is the identifier that follows an `#[error(...)]`
/// attribute.
fn error_enums(source: &'static str) -> Vec<ErrorEnum> {
    let mut enums = Vec::new();
    let derives_error = |item: &&str| item.split(')').next().is_some_and(|derives| derives.contains("Error"));
    for item in source.split("#[derive(").filter(derives_error) {
        let Some((_, definition)) = item.split_once("pub enum ") else { continue };
        let name = definition.split([' ', '<']).next().unwrap_or_default();
        let body = definition.split("\n}").next().unwrap_or_default();
        let variants = body.split("#[error(").skip(1).filter_map(|attribute| {
            let variant = attribute.split_once(")]\n")?.1.trim_start();
            variant.split(|character: char| !character.is_alphanumeric()).next()
        });
        enums.push(ErrorEnum { name, variants: variants.collect() });
    }
    enums
}

#[test]
fn the_page_lists_every_error_with_its_remedy() {
    let mut enum_count = 0;
    let mut variant_count = 0;
    for ErrorEnum { name, variants } in SOURCES.into_iter().flat_map(error_enums) {
        let heading_end = format!("`{name}`");
        let has_heading =
            |section: &&str| section.lines().next().is_some_and(|heading| heading.ends_with(&heading_end));
        let sections: Vec<&str> = PAGE.split("## ").filter(has_heading).collect();
        assert!(!sections.is_empty(), "docs/errors.md has no section for `{name}`");
        enum_count += 1;
        for variant in variants {
            let row_start = format!("| `{variant}` |");
            let is_row = |line: &&str| line.starts_with(&row_start);
            let rows: Vec<&str> =
                sections.iter().flat_map(|section| section.lines()).filter(is_row).collect();
            assert!(!rows.is_empty(), "docs/errors.md has no row for `{name}::{variant}`");
            for row in rows {
                let remedy = row.trim_end_matches(" |").rsplit("| ").next().unwrap_or_default();
                assert!(
                    remedy.len() > 10,
                    "docs/errors.md has no remedy for `{name}::{variant}`: {remedy:?}"
                );
            }
            variant_count += 1;
        }
    }
    // Guards against a parser that finds no errors.
    assert!(
        enum_count >= 10 && variant_count >= 50,
        "found {enum_count} error enums with {variant_count} variants, expected at least 10 with 50"
    );
}
