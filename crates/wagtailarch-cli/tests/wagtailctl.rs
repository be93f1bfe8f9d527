//! Runs `wagtailctl` as a process and checks its output and exit codes.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use rstest::rstest;
use serde_json::Value;
use wagtailarch_fleet::Fleet;
use wagtailarch_platform::{FakeFaults, FakePlatform, Platform, Precondition};
use wagtailarch_wire::records::{ZoneStatusRecord, status_key};

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    path.to_str().unwrap().to_owned()
}

fn wagtailctl(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_wagtailctl"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A command that does not read its input may have ended already.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

/// Runs a command with the platform at `address` without blocking the thread that serves it.
async fn run_with_platform(address: SocketAddr, arguments: &[&str]) -> (i32, String) {
    let mut arguments: Vec<String> = arguments.iter().map(|&text| text.to_owned()).collect();
    arguments.extend(["--platform".into(), format!("http://{address}")]);
    let run = move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        wagtailctl(&arguments, "")
    };
    let output = tokio::task::spawn_blocking(run).await.unwrap();
    (output.status.code().unwrap(), text(&output))
}

fn text(output: &Output) -> String {
    [&output.stdout[..], &output.stderr[..]]
        .concat()
        .iter()
        .map(|byte| *byte as char)
        .collect()
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

async fn write_status(platform: &FakePlatform, zone: &str, generation: u64) {
    let record = ZoneStatusRecord {
        zone: zone.into(),
        generation,
        instances: 2,
        behind: Vec::new(),
        written_at_ms: now_ms(),
        lease_number: 1,
    };
    let value = serde_json::to_vec(&record).unwrap();
    platform
        .put(&status_key(zone), value.into(), Precondition::Any)
        .await
        .unwrap();
}

/// Guards against wrong exit codes for invalid command lines; scripts rely on them.
#[rstest]
#[case::help(&["--help"], 0, "usage: wagtailctl")]
#[case::version(&["--version"], 0, "wagtailctl 0.")]
#[case::none(&[], 2, "no command is given")]
#[case::unknown(&["aply"], 2, "unknown command aply")]
#[case::option(&["get", "--platfrom", "x"], 2, "--platform <http://ip:port> is missing")]
#[case::stray(&["get", "x", "--platform", "http://127.0.0.1:9"], 2, "unexpected argument x")]
#[case::base(&["apply", "x", "--platform", "http://127.0.0.1:9"], 2, "--base")]
#[case::address(&["get", "--platform", "localhost"], 2, "--platform cannot be localhost")]
#[case::no_file(&["validate", "no-such-file.toml"], 2, "cannot be read")]
fn usage_has_its_exit_codes(#[case] arguments: &[&str], #[case] code: i32, #[case] expected: &str) {
    let output = wagtailctl(arguments, "");
    assert_eq!(output.status.code(), Some(code), "{}", text(&output));
    assert!(text(&output).contains(expected), "{}", text(&output));
}

/// Guards against a validation that stops at the first error or file.
#[rstest]
fn validate_reports_every_finding() {
    let output = wagtailctl(
        &[
            "validate",
            &example("budapest.toml"),
            &example("lisse.toml"),
        ],
        "",
    );
    assert_eq!(
        (output.status.code(), text(&output).as_str()),
        (Some(0), "valid\n")
    );
    let mut file = tempfile::NamedTempFile::new().unwrap();
    let source = std::fs::read_to_string(example("budapest.toml")).unwrap();
    let source = source.replace("goodput_weight = 0.8", "goodput_weight = 8\nspeed = 1");
    file.write_all(source.as_bytes()).unwrap();
    let path = file.path().to_str().unwrap();
    let output = wagtailctl(&["validate", path], "");
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output).contains("2 findings"), "{}", text(&output));
    assert!(
        text(&output).contains(" | speed = 1\n"),
        "{}",
        text(&output)
    );
    let output = wagtailctl(&["validate", path, "--output", "json"], "");
    let json: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(
        (
            json["valid"].as_bool(),
            json["findings"][1]["line"].as_u64()
        ),
        (Some(false), Some(10))
    );
}

/// Guards against a hash that differs from the one that entry instances compute for the same key.
#[rstest]
#[case::plain("counter-east-example-key", 0)]
#[case::line("counter-east-example-key\r\n", 0)]
#[case::blank("two words", 2)]
#[case::empty("\n", 2)]
fn hash_key_agrees_with_the_example(#[case] input: &str, #[case] code: i32) {
    let output = wagtailctl(&["hash-key"], input);
    assert_eq!(output.status.code(), Some(code), "{}", text(&output));
    let fleet = std::fs::read_to_string(example("budapest.toml")).unwrap();
    let hash = Fleet::parse("budapest.toml", &fleet).unwrap().teams[0]
        .key_hash
        .clone();
    assert_eq!(text(&output).trim_end() == hash, code == 0);
}

/// Guards against an unreachable platform that is reported as a conflict or as success.
#[rstest]
#[tokio::test]
async fn an_unreachable_platform_has_its_exit_code() {
    let platform = Arc::new(FakePlatform::new(1, FakeFaults::default()));
    platform.set_outage(true);
    let address = common::serve(platform).await;
    for arguments in [
        vec!["get"],
        vec!["status"],
        vec!["apply", &example("budapest.toml"), "--base", "0"],
        vec!["apply", &example("budapest.toml"), "--base", "current"],
        vec!["diff", &example("budapest.toml")],
    ] {
        let (code, text) = run_with_platform(address, &arguments).await;
        assert_eq!(code, 4, "{arguments:?}: {text}");
    }
}

/// Guards against wrong outcomes after a lost response: an applied file that is reported as failed,
/// and a conflict that is reported as applied.
#[rstest]
#[tokio::test]
async fn a_lost_response_is_resolved() {
    let faults = FakeFaults {
        lost_response_ratio: 1.0,
        ..FakeFaults::default()
    };
    let address = common::serve(Arc::new(FakePlatform::new(1, faults))).await;
    let (code, text) = run_with_platform(
        address,
        &["apply", &example("budapest.toml"), "--base", "0"],
    )
    .await;
    assert_eq!(code, 0, "{text}");
    assert!(text.starts_with("applied as generation 1"), "{text}");
    let (code, text) =
        run_with_platform(address, &["apply", &example("lisse.toml"), "--base", "0"]).await;
    assert_eq!(code, 3, "{text}");
    assert!(text.contains("generation 1 is in force"), "{text}");
}

/// Guards against an output of `get` that cannot be applied, and against missing differences.
#[rstest]
#[tokio::test]
async fn get_and_diff_show_what_is_in_force() {
    let address = common::serve(Arc::new(FakePlatform::new(1, FakeFaults::default()))).await;
    let (code, text) = run_with_platform(address, &["get"]).await;
    assert_eq!(
        (code, text.contains("no configuration")),
        (5, true),
        "{text}"
    );
    let budapest = example("budapest.toml");
    let (code, text) = run_with_platform(address, &["apply", &budapest, "--base", "current"]).await;
    assert_eq!(code, 0, "{text}");
    let (code, text) = run_with_platform(address, &["get"]).await;
    assert_eq!(code, 0, "{text}");
    let fleet = Fleet::parse("get", &text).unwrap();
    assert_eq!(
        (fleet.fleet.name.as_str(), fleet.teams.len()),
        ("budapest", 3)
    );
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(text.replace("weight = 0.5", "weight = 0.25").as_bytes())
        .unwrap();
    let changed = file.path().to_str().unwrap();
    let (code, text) = run_with_platform(address, &["diff", changed]).await;
    assert_eq!(
        (code, text.as_str()),
        (0, "~ team night-batch\n    weight: 0.5 -> 0.25\n")
    );
    let (_, text) = run_with_platform(address, &["apply", &budapest, "--base", "1"]).await;
    assert!(text.starts_with("unchanged"), "{text}");
}

/// Guards against a generation that is reported as in force everywhere although the status of a
/// zone is missing or behind, and against a wait that does not end.
#[rstest]
#[tokio::test]
async fn status_waits_for_every_zone() {
    let platform = Arc::new(FakePlatform::new(1, FakeFaults::default()));
    let address = common::serve(Arc::clone(&platform)).await;
    run_with_platform(
        address,
        &["apply", &example("budapest.toml"), "--base", "0"],
    )
    .await;
    write_status(&platform, "buda-a", 1).await;
    write_status(&platform, "pest-b", 1).await;
    let (code, text) = run_with_platform(address, &["status", "--wait", "--timeout-s", "1"]).await;
    assert_eq!((code, text.contains("no status")), (5, true), "{text}");
    write_status(&platform, "obuda-c", 0).await;
    let (code, text) = run_with_platform(address, &["status"]).await;
    assert_eq!((code, text.contains("behind")), (5, true), "{text}");
    let delayed_writes = async {
        tokio::time::sleep(std::time::Duration::from_millis(700)).await;
        for zone in ["buda-a", "pest-b", "obuda-c"] {
            write_status(&platform, zone, 1).await;
        }
    };
    let (waited, ()) = tokio::join!(
        run_with_platform(address, &["status", "--wait"]),
        delayed_writes
    );
    assert_eq!(waited.0, 0, "{}", waited.1);
    assert!(
        waited.1.starts_with("generation 1 in force: everywhere"),
        "{}",
        waited.1
    );
    let (code, _) = run_with_platform(address, &["status", "--generation", "2"]).await;
    assert_eq!(code, 5);
}
