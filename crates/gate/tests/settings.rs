//! Settings as operators write them, and the errors that they get for mistakes.

use chestnut_gate::Settings;

const VALID: &str = r#"{
  // A comment.
  "vm": "entry-1", "domain": "accra-a", "ip": "10.0.0.1",
  "callers": "10.0.0.1:80", "readiness": "10.0.0.1:81", "directory": "10.0.0.1:82",
  "ports": [7000, 7010], "store": "10.0.9.1:90", "unknown": {"is": "passed over"},
  "metrics": "10.0.0.1:9464", "cores": 0.25,
  "bounds": {
    "stop_s": 8, "directory_s": 5, "retry_ratio": 0.2, "retry_slack": 52,
    "retry_window_s": 10, "turn_ms": 3000, "apply_ms": 2000, "leave_ms": 2000,
    "load_window_s": 5, "load_overshoot": 1.1
  }
}"#;

fn error_for(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "{from}");
    let settings = Settings::parse(&VALID.replace(from, to));
    settings.expect_err("the settings are invalid").to_string()
}

#[test]
fn valid_settings_are_accepted() {
    let settings = Settings::parse(VALID).expect("the settings are valid");
    assert_eq!(settings.vm.as_str(), "entry-1");
    assert_eq!(settings.weight(), 25);
    assert_eq!(settings.peer_addr().port(), 7000);
    assert_eq!(settings.table_changes_addr().port(), 7010);
    assert_eq!(settings.metrics_addr.map(|addr| addr.port()), Some(9464));
    assert_eq!((settings.memory_mb, settings.descriptors), (None, None));
}

#[test]
fn errors_name_the_field_and_the_remedy() {
    insta::assert_snapshot!(error_for("\"vm\": \"entry-1\", ", ""), @"missing field `vm`; see docs/CONFIGURATION.md for the fields");
    insta::assert_snapshot!(error_for("[7000, 7010]", "[7000, 6000]"), @"`ports` can't be used; give a first port and a higher last port");
    insta::assert_snapshot!(error_for("\"cores\": 0.25", "\"cores\": 0"), @"`cores` can't be used; give a number of cores above 0");
    insta::assert_snapshot!(error_for("\"cores\": 0.25", "\"memory_mb\": 16"), @"`memory_mb` can't be used; give 32 or more");
    insta::assert_snapshot!(error_for("\"cores\": 0.25", "\"descriptors\": 200"), @"`descriptors` can't be used; give 300 or more");
    insta::assert_snapshot!(error_for("\"retry_ratio\": 0.2", "\"retry_ratio\": 20"), @"`bounds.retry_ratio` can't be used; give a number between 0 and 1");
    insta::assert_snapshot!(error_for("\"stop_s\": 8", "\"stop_s\": 0.1"), @"`bounds.stop_s` can't be used; give a second or more");
    insta::assert_snapshot!(error_for("\"apply_ms\": 2000", "\"apply_ms\": 20"), @"`bounds.apply_ms` can't be used; give 500 or more");
    insta::assert_snapshot!(error_for("\"leave_ms\": 2000", "\"leave_ms\": 20"), @"`bounds.leave_ms` can't be used; give 500 or more");
    insta::assert_snapshot!(error_for("\"load_overshoot\": 1.1", "\"load_overshoot\": 0.9"), @"`bounds.load_overshoot` can't be used; give a number of 1 or more");
    let syntax = error_for("\"ports\":", "ports");
    assert!(
        syntax.contains("correct them") || syntax.contains("CONFIGURATION"),
        "{syntax}"
    );
}
