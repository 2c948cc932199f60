//! End-to-end tests of the demo's command line.

use std::process::{Command, Output};

use serde_json::Value;

fn run_demo(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chestnutlane-demo")).args(args).output().unwrap()
}

/// Every response in the demo is complete and belongs to its request, and no request that
/// must run at most once runs twice.
///
/// A burst of requests of six kinds goes through three daemons; every fourth of those
/// that may run once is sent to two entries at the same time.
#[test]
fn demo_serves_a_burst() {
    let output = run_demo(&["--json"]);
    let text = String::from_utf8(output.stdout).unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{:?}: {text} {stderr}", output.status);
    let summary: Value = serde_json::from_str(&text).unwrap();
    for key in ["doubled", "foreign", "broken", "untrue"] {
        assert_eq!(summary[key], 0, "{key}: {text}");
    }
    let number = |key: &str| summary[key].as_u64().unwrap();
    assert_eq!(number("served") + number("refused"), number("sent"), "{text}");
    assert_eq!(number("sent"), 325, "{text}");
}

/// The same on the users' platform: streams with and without an adapter and plain
/// requests, idempotent or not, go through three daemons and stand-ins of the platform;
/// refused callers retry after the stated delay.
#[test]
fn demo_serves_a_burst_on_the_platform() {
    let output = run_demo(&["--platform", "--json"]);
    let text = String::from_utf8(output.stdout).unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{:?}: {text} {stderr}", output.status);
    let summary: Value = serde_json::from_str(&text).unwrap();
    for key in ["doubled", "foreign", "broken", "untrue", "refused"] {
        assert_eq!(summary[key], 0, "{key}: {text}");
    }
    assert_eq!(summary["served"], summary["sent"], "{text}");
    assert_eq!(summary["sent"], 220, "{text}");
}

/// Guards against lost permits: plain requests at twice the load, where some threads of a
/// daemon grant permits of the service while others submit requests. Each waiting request
/// must get its result before its caller times out, after 2.5 seconds.
#[test]
fn demo_serves_a_burst_of_plain_requests() {
    let kinds = ["--kind", "record", "--kind", "lookup"];
    let output =
        run_demo(&[&["--platform", "--json", "--scale", "2"], &kinds[..]].concat());
    let text = String::from_utf8(output.stdout).unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{:?}: {text} {stderr}", output.status);
    let summary: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(summary["sent"], 280, "{text}");
    assert_eq!(summary["served"], 280, "{text}");
}

#[test]
fn demo_rejects_an_unknown_kind_and_lists_the_known_ones() {
    let output = run_demo(&["--platform", "--kind", "telegram"]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("telegram") && text.contains("lookup"), "{text}");
}

#[test]
fn demo_help_lists_all_flags() {
    let output = run_demo(&["--help"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    for flag in ["--json", "--keep", "--kind", "--platform", "--scale"] {
        assert!(text.contains(flag), "{text}");
    }
}
