//! Checks that fleet files are parsed correctly and that every error in a file is reported.

use proptest::prelude::*;
use rstest::rstest;
use wagtailarch_fleet::{Finding, Fleet};

const BUDAPEST: &str = include_str!("../../../examples/budapest.toml");
const LISSE: &str = include_str!("../../../examples/lisse.toml");
const TWENTY_MISTAKES: &str = include_str!("data/twenty-mistakes.toml");

fn findings(text: &str) -> Vec<Finding> {
    Fleet::parse("fleet.toml", text)
        .map(drop)
        .expect_err("the file has a fault")
}

/// Returns the Budapest example with the first occurrence of `from`, which must exist, replaced.
fn budapest_with(from: &str, to: &str) -> String {
    assert!(BUDAPEST.contains(from), "{from:?} is not in the example");
    BUDAPEST.replacen(from, to, 1)
}

/// Guards against examples that are not valid fleet files.
#[rstest]
#[case::budapest(BUDAPEST, "budapest", 2)]
#[case::lisse(LISSE, "lisse", 2)]
fn the_examples_are_valid(#[case] text: &str, #[case] name: &str, #[case] groups: usize) {
    let fleet = Fleet::parse("example", text).unwrap_or_else(|findings| {
        panic!(
            "{}",
            findings
                .iter()
                .map(|f| format!("{f}\n"))
                .collect::<String>()
        )
    });
    assert_eq!(
        (fleet.fleet.name.as_str(), fleet.groups.len()),
        (name, groups)
    );
    assert_eq!((fleet.teams.len(), fleet.services.len()), (3, 2));
}

/// Guards against a hand-written parser that differs from the data model in keys, types or
/// defaults.
#[rstest]
#[case::budapest(BUDAPEST)]
#[case::lisse(LISSE)]
fn the_parser_agrees_with_the_data_model(#[case] text: &str) {
    let by_serde: Fleet = toml::from_str(text).unwrap();
    assert_eq!(Fleet::parse("example", text), Ok(by_serde));
}

/// Guards against rendered files, such as those of `wagtailctl get`, that cannot be applied again.
#[rstest]
#[case::budapest(BUDAPEST)]
#[case::lisse(LISSE)]
fn the_rendered_file_parses_to_the_same_fleet(#[case] text: &str) {
    let fleet = Fleet::parse("example", text).unwrap();
    assert_eq!(
        Fleet::parse("rendered", &fleet.to_toml().unwrap()),
        Ok(fleet)
    );
}

/// Guards against keys that are missing from the configuration page.
#[rstest]
fn every_key_is_documented() {
    fn collect(value: &toml::Value, keys: &mut Vec<String>) {
        match value {
            toml::Value::Table(table) => {
                for (key, value) in table {
                    keys.push(key.clone());
                    collect(value, keys);
                }
            }
            toml::Value::Array(items) => items.iter().for_each(|item| collect(item, keys)),
            _ => {}
        }
    }
    let page = include_str!("../../../docs/configuration.md");
    let mut keys = Vec::new();
    collect(
        &toml::Value::Table(toml::from_str(BUDAPEST).unwrap()),
        &mut keys,
    );
    assert!(keys.len() > 50);
    for key in keys {
        let documented = page.contains(&format!("`{key}`")) || page.contains(&format!("[{key}]"));
        assert!(documented, "{key} is not in docs/configuration.md");
    }
}

/// Guards against errors that hide other errors: each marked line must have its finding.
#[rstest]
fn twenty_mistakes_give_twenty_findings() {
    let mut expected = Vec::new();
    for (index, line) in TWENTY_MISTAKES.lines().enumerate() {
        if line.contains("# MISTAKE") {
            expected.push(index as u32 + 1);
        }
    }
    assert_eq!(expected.len(), 20);
    let findings = findings(TWENTY_MISTAKES);
    let text: String = findings.iter().map(|f| format!("{f}\n")).collect();
    let lines: Vec<u32> = findings.iter().map(|finding| finding.line).collect();
    assert_eq!(lines, expected, "{text}");
    assert!(
        findings.iter().all(|finding| !finding.hint.is_empty()),
        "{text}"
    );
}

/// Guards against an error that is not reported, or is reported with many consequential ones.
#[rstest]
#[case::unit(
    "role_change_cost_s = 6.0",
    "role_change_cost_ms = 6000",
    "unit is missing or wrong"
)]
#[case::no_unit(
    "mix_horizon_s = 120.0",
    "mix_horizon = 120.0",
    "unit is missing or wrong"
)]
#[case::unit_in_value(
    "mix_horizon_s = 120.0",
    "mix_horizon_s = \"2min\"",
    "wrong type: string"
)]
#[case::typo("max_running = 32", "max_runing = 32", "unknown key")]
#[case::stray("max_running = 32", "max_running = 32\ncolour = 1", "unknown key")]
#[case::bounds(
    "retry_budget_ratio = 0.1",
    "retry_budget_ratio = 1.5",
    "out of bounds"
)]
#[case::not_a_number("mix_horizon_s = 120.0", "mix_horizon_s = nan", "out of bounds")]
#[case::fraction("max_running = 32", "max_running = 3.2", "wrong type: float")]
#[case::missing("region = \"kozep-hu\"\n", "", "lacks the key region")]
#[case::missing_for_kind("model = \"fedel\"\nversion", "version", "lacks the key model")]
#[case::weights("goodput_weight = 0.8", "goodput_weight = 0.7", "sum to 0.8999")]
#[case::zones("[\"buda-a\", \"pest-b\", \"obuda-c\"]", "[]", "zones has 0 names")]
#[case::zone_twice("\"pest-b\"", "\"buda-a\"", "twice")]
#[case::team_twice("name = \"kitchen\"", "name = \"counter-east\"", "duplicate team")]
#[case::key_twice("name = \"fedel\"", "name = \"fedel\"\nname = \"x\"", "duplicate key")]
#[case::version("version = \"2026-11\"", "version = \"2026-12\"", "no version")]
#[case::adapter(
    "adapters = [\"jam\", \"lids\"]\nmax",
    "adapters = [\"ham\"]\nmax",
    "no adapter"
)]
#[case::service(
    "services = [\"fedel\"]",
    "services = [\"fedl\"]",
    "no service \"fedl\""
)]
#[case::group("group = \"fedel-app\"", "group = \"fedel\"", "no group")]
#[case::min_max("min = 1\nmax = 8", "min = 9\nmax = 8", "min = 9 is above max = 8")]
#[case::demand("min = 1\nmax = 8", "min = 1300\nmax = 9000", "demand 3900 engines")]
#[case::no_decode("max = 4", "max = 0", "")]
#[case::hash_length("blake3:", "blake3:0", "65 digits")]
#[case::hash_prefix("blake3:", "sha256:", "does not begin with")]
#[case::prefix(
    "path_prefix = \"/lids/\"",
    "path_prefix = \"/lids\"",
    "not a path prefix"
)]
#[case::reserved("path_prefix = \"/lids/\"", "path_prefix = \"/v1/\"", "clashes")]
#[case::method("method = \"POST\"", "method = \"post\"", "cannot be \"post\"")]
#[case::route(
    "path = \"/lids/reservations\"",
    "path = \"/lid/x\"",
    "outside the path_prefix"
)]
#[case::name("name = \"kitchen\"", "name = \"the kitchen\"", "cannot be a name")]
#[case::syntax("max_running = 32", "max_running = ", "not valid TOML")]
#[case::kind(
    "kind = \"service\"\n",
    "kind = \"service\"\nmodel = \"fedel\"\n",
    "cannot have model"
)]
fn a_fault_is_reported(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let text = budapest_with(from, to);
    if message.is_empty() {
        Fleet::parse("fleet.toml", &text).unwrap();
        return;
    }
    let findings = findings(&text);
    let shown: String = findings.iter().map(|f| format!("{f}\n")).collect();
    assert!(
        findings
            .iter()
            .any(|finding| finding.message.contains(message)),
        "{shown}"
    );
    assert!(findings.len() <= 3, "{shown}");
}

/// Guards against contradictions between two tables that are not reported, or reported repeatedly.
#[rstest]
#[case::clash(
    "[[service]]\nname = \"jam\"\ngroup = \"fedel-app\"\npath_prefix = \"/lids/jam/\"\n",
    "clashes with \"/lids/\""
)]
#[case::same_prefix(
    "[[service]]\nname = \"jam\"\ngroup = \"fedel-app\"\npath_prefix = \"/lids/\"\n",
    "clashes with \"/lids/\""
)]
#[case::shared_key(
    "[[team]]\nname = \"x\"\nkey_hash = \"HASH\"\nrequests_per_s = 1\ntokens_per_s = 1\n",
    "team \"kitchen\" has the same key_hash"
)]
#[case::shared_further_key(
    "[[team]]\nname = \"x\"\nkey_hash = \"blake3:0000000000000000000000000000000000000000000000000000000000000001\"\nfurther_key_hashes = [\"HASH\"]\nrequests_per_s = 1\ntokens_per_s = 1\n",
    "team \"kitchen\" has the same key_hash"
)]
#[case::malformed_further_key(
    "[[team]]\nname = \"x\"\nkey_hash = \"blake3:0000000000000000000000000000000000000000000000000000000000000001\"\nfurther_key_hashes = [\"md5:1\"]\nrequests_per_s = 1\ntokens_per_s = 1\n",
    "key_hash does not begin with blake3:"
)]
#[case::no_engine_can_decode(
    "[[group]]\nname = \"g\"\nkind = \"engine\"\nmodel = \"fedel\"\nversion = \"2026-10\"\n\
     max_running = 1\nroles = { decode = { min = 0, max = 0 }, mixed = { min = 0, max = 0 } }\n",
    "no engine can decode"
)]
#[case::wrong_model(
    "[[service]]\nname = \"b\"\ngroup = \"fedel-lm\"\nmodel = \"bollen\"\n",
    "the group serves model \"fedel\""
)]
fn a_contradiction_is_reported(#[case] addition: &str, #[case] message: &str) {
    let fleet = Fleet::parse("budapest.toml", BUDAPEST).unwrap();
    let text = format!(
        "{BUDAPEST}\n{}",
        addition.replace("HASH", &fleet.teams[1].key_hash)
    );
    let findings = findings(&text);
    assert_eq!(findings.len(), 1, "{findings:?}");
    assert!(findings[0].message.contains(message), "{findings:?}");
}

/// Guards against a text of a finding without position, source line, marker or hint.
#[rstest]
fn a_finding_shows_its_line() {
    let text = budapest_with("max_running = 32", "max_running = \"32\"");
    let shown = findings(&text)[0].to_string();
    let line = text
        .lines()
        .position(|line| line.starts_with("max_running"))
        .unwrap()
        + 1;
    let expected = format!(
        "fleet.toml:{line}:15: max_running has a value of the wrong type: string\n  \
         {line} | max_running = \"32\"\n     |               ^^^^\n  \
         hint: write a whole number from 1 to 100000"
    );
    assert_eq!(shown, expected);
}

/// Guards against a panic, or an unbounded number of findings, on input that is no fleet file.
#[rstest]
#[case::empty("")]
#[case::binary("\u{0}\u{1}ÿ")]
#[case::wrong_tables("fleet = 1\npolicy = []\nmodel = 1\ngroup = [1]\nteam = {}\n")]
#[case::cut("[[team]]\nname = \"ü")]
#[case::many(&"[[team]]\n".repeat(3_000))]
fn odd_input_is_refused(#[case] text: &str) {
    let findings = findings(text);
    assert!(!findings.is_empty() && findings.len() <= 1_000);
    for finding in findings {
        assert!(!finding.to_string().is_empty());
    }
}

/// Guards against a file that is accepted although a part of it is too large for an object of the
/// platform.
#[rstest]
#[case::core("", "the file without its teams")]
#[case::bucket(
    "[[team]]\nname = \"x\"\nkey_hash = \"HASH\"\nrequests_per_s = 1\ntokens_per_s = 1\nservices = [",
    "a bucket of about 32 teams"
)]
fn oversized_parts_are_reported(#[case] team: &str, #[case] message: &str) {
    let names: Vec<String> = (0..950).map(|n| format!("{n:0>60}")).collect();
    let mut text = BUDAPEST.to_owned();
    if team.is_empty() {
        for model in 0..20 {
            text += &format!("[[model]]\nname = \"m{model}\"\nversions = {names:?}\n");
        }
    } else {
        for name in &names {
            text +=
                &format!("[[service]]\nname = {name:?}\ngroup = \"fedel-lm\"\nmodel = \"fedel\"\n");
        }
        let list = format!("{names:?}");
        for number in 0..25 {
            let hash = format!("blake3:{number:064}");
            let table = team
                .replace("HASH", &hash)
                .replace("\"x\"", &format!("\"x{number}\""));
            text += &format!("{table}{}\n", &list[1..]);
        }
    }
    let findings = findings(&text);
    assert_eq!(findings.len(), 1, "{findings:?}");
    assert!(findings[0].message.contains(message), "{findings:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on damaged files, and against findings with positions outside them.
    #[test]
    fn damaged_files_are_reported_in_place(
        edits in proptest::collection::vec(
            (any::<prop::sample::Index>(), 0..40_usize, "[\\[\\]=\"'\n.a0üß ]{0,4}"),
            1..6,
        ),
    ) {
        let mut chars: Vec<char> = BUDAPEST.chars().collect();
        for (position, removed, inserted) in edits {
            let start = position.index(chars.len());
            let end = (start + removed).min(chars.len());
            chars.splice(start..end, inserted.chars());
        }
        let text: String = chars.into_iter().collect();
        let Err(findings) = Fleet::parse("damaged.toml", &text) else {
            return Ok(());
        };
        prop_assert!(!findings.is_empty());
        for finding in findings {
            let line = text.split('\n').nth(finding.line as usize - 1);
            let line = line.expect("the line exists").trim_end_matches('\r');
            prop_assert!(line.starts_with(&finding.source_line));
            prop_assert!(finding.column as usize <= line.chars().count() + 2);
            prop_assert!(finding.to_string().contains(&finding.hint));
        }
    }
}
