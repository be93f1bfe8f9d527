//! Validation of settings files: all findings are reported at once, each with its position.

use rstest::rstest;
use wagtailarch_entry::parse_settings;

const VALID: &str = "instance = \"a\"\nzone = \"z\"\nclient_address = \"127.0.0.1:1\"\n\
    admin_address = \"127.0.0.1:2\"\nplatform_address = \"127.0.0.1:3\"\n";

/// Guards against default values that the validation rejects.
#[test]
fn a_short_file_is_valid() {
    let settings = parse_settings(VALID).unwrap();
    assert_eq!(settings.limits.body_bytes, 4 * 1024 * 1024);
}

/// Guards against example files that are out of date.
#[test]
fn the_examples_are_valid() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let mut checked = 0;
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if !name.starts_with("entry-") {
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        assert!(
            parse_settings(&text).is_ok(),
            "{name}: {:?}",
            parse_settings(&text)
        );
        checked += 1;
    }
    assert!(checked > 0);
}

/// Guards against a validation that stops at the first error or reports a wrong position.
#[test]
fn all_findings_are_reported_with_their_position() {
    let text = "instance = \"\"\nzone = 3\nclient_address = \"nowhere\"\nplatform_address = \
        \"127.0.0.1:3\"\n[limits]\nstreams = 4\n  body_bytes = 0\n[[admin_key]]\nname = \"x\"\n\
        key_hash = \"md5:1\"\n";
    let findings = parse_settings(text).unwrap_err();
    let positions: Vec<_> = findings.iter().map(|f| (f.line, f.column)).collect();
    assert_eq!(
        positions,
        [(1, 1), (1, 12), (2, 8), (3, 18), (6, 1), (7, 16), (10, 12)]
    );
    assert!(
        findings[0].message.contains("admin_address"),
        "{}",
        findings[0]
    );
    assert!(findings.iter().all(|finding| !finding.hint.is_empty()));
}

/// Guards against conflicts between settings that are found only when the instance runs.
#[rstest]
#[case::no_platform(
    "instance = \"a\"\nzone = \"z\"\nclient_address = \"127.0.0.1:1\"\n\
    admin_address = \"127.0.0.1:2\"\n",
    "platform_address"
)]
#[case::peers_without_keys(&format!("{VALID}peer_address = \"127.0.0.1:4\"\n"), "peers")]
#[case::not_toml("instance = \"a\n", "invalid")]
fn conflicting_settings_are_rejected(#[case] text: &str, #[case] expected: &str) {
    let findings = parse_settings(text).unwrap_err();
    assert!(
        findings
            .iter()
            .any(|finding| finding.message.contains(expected)),
        "{findings:?}"
    );
}
