//! Problems reported for invalid settings and declarations, and a fuzz test of the
//! reader with random texts.

use chestnut_base::{Revision, TeamName};
use chestnut_config::{Catalog, Settings, TeamFiles};
use indexmap::IndexMap;
use insta::assert_snapshot;
use proptest::prelude::*;

fn settings_problems(text: &str) -> String {
    Settings::parse("daemon.jsonc", text).unwrap_err().to_string()
}

fn teams(texts: &[(&str, &str)]) -> IndexMap<TeamName, TeamFiles> {
    let team_files = |(team, text): &(&str, &str)| {
        let files = [("all.jsonc".to_owned(), (*text).to_owned())];
        let text = TeamFiles { files: files.into_iter().collect() };
        (TeamName::try_from(*team).unwrap(), text)
    };
    texts.iter().map(team_files).collect()
}

fn merge_problems(texts: &[(&str, &str)]) -> String {
    Catalog::merge(Revision(1), &teams(texts)).unwrap_err().to_string()
}

#[test]
fn all_problems_of_settings_are_reported_together() {
    let text = r#"{
  "vm": "entry 1",
  // no failure domain
  "caller_adr": "10.0.0.1:8080",
  "peer_addr": "10.0.0.1",
  "ops_addr": "10.0.0.1:0",
  "table_url": "table.internal",
  "object_url": "http://10.0.0.2:7001",
  "vms_url": 7,
  "tls": { "cert": "a.pem", "key": "a.key" },
  "operators": { "letters": "secret" },
  "log_level": "loud",
  "times": { "lease_ms": 3000, "poll_ms": 0, "leave_ms": "3s" },
  "limits": { "requests": 0, "slots": 70000, "body": 1073741824 }
}"#;
    assert_snapshot!(settings_problems(text), @r#"
daemon.jsonc:1:1: domain: the field is missing; write the VM's failure domain, such as "accra-a"
daemon.jsonc:1:1: caller_addr: the field is missing; write an address such as "10.0.0.4:8080"
daemon.jsonc:2:9: vm: a name holds ' '; use letters, digits and the signs `-`, `_`, `.`, `:`, `@`; write the VM's name, such as "entry-1"
daemon.jsonc:4:3: caller_adr: the field is unknown; did you mean `caller_addr`?
daemon.jsonc:5:16: peer_addr: invalid socket address syntax; write an address such as "10.0.0.4:8080"
daemon.jsonc:7:3: table_url: this is not a base URL; write a base URL such as "http://10.0.0.5:7000"
daemon.jsonc:9:14: vms_url: invalid type: integer `7`, expected a string; write a base URL such as "http://10.0.0.5:7000"
daemon.jsonc:10:3: tls: the TLS files are incomplete; write { "cert": FILE, "key": FILE, "trust": FILE }
daemon.jsonc:10:10: tls.trust: the field is missing; write the path of a PEM file
daemon.jsonc:11:18: operators.letters: this is not a SHA-256 hash; write the 64 lower-case hexadecimal digits of the key's SHA-256
daemon.jsonc:12:16: log_level: unknown variant `loud`, expected one of `error`, `warning`, `info`, `debug`; write one of "error", "warning", "info", "debug"
daemon.jsonc:13:14: times.lease_ms: the lease is shorter than three renewals, so two lost renewals end it; write at least three times renewal_ms
daemon.jsonc:13:32: times.poll_ms: the time is zero; write a whole number of milliseconds, such as 2000
daemon.jsonc:13:58: times.leave_ms: invalid type: string "3s", expected u64; write a whole number of milliseconds, such as 2000
daemon.jsonc:14:15: limits.requests: the limit is zero; write 1 or more
daemon.jsonc:14:39: limits.slots: invalid value: integer `70000`, expected u16; write a whole number greater than zero
daemon.jsonc:14:46: limits.body: the largest body does not fit into the memory for bodies; write at most `memory`
"#);
}

#[test]
fn syntax_errors_are_reported_with_their_location() {
    assert_snapshot!(settings_problems("{\n  \"vm\": \"a\",\n"), @r#"daemon.jsonc:1:1: Unterminated object; correct the JSON; comments are allowed"#);
    assert_snapshot!(settings_problems("{ \"vm\": \"a\" \"domain\": \"b\" }"), @r#"daemon.jsonc:1:12: Expected comma; correct the JSON; comments are allowed"#);
    assert_snapshot!(settings_problems(""), @r#"daemon.jsonc:1:1: the file is empty; write an object `{ ... }`"#);
    assert_snapshot!(settings_problems("[]"), @r#"daemon.jsonc:1:1: this is not an object; write `{ ... }`"#);
}

#[test]
fn a_duplicate_field_is_reported() {
    let problems = settings_problems("{ \"vm\": \"a\",\n  \"vm\": \"b\" }");
    let line = problems.lines().find(|line| line.contains(" vm: ")).unwrap();
    assert_snapshot!(line, @"daemon.jsonc:2:3: vm: the field is given twice; remove one of the two");
}

#[test]
fn all_problems_of_declarations_are_reported_together() {
    let text = r#"{
  "pools": {
    "p": { "memory": 100, "accelerators": 0, "streams": 1, "tokens": 1, "step_ms": 10,
           "fenced": true, "parallel_loads": 1, "load_rate": 0 }
  },
  "models": {
    "bad name": { "pool": "q", "version": "v1", "bytes": 1, "cold_ms": 1 },
    "m": { "pool": "q", "version": "v1", "bytes": 0, "cold_ms": 1, "replica": 2 }
  },
  "kinds": { "k": { "urgency": "asap", "deadline_ms": 1 } },
  "routs": {}
}"#;
    assert_snapshot!(merge_problems(&[("a", text)]), @r#"
a/all.jsonc:3:27: pools.p.accelerators: the value is zero; write a whole number greater than zero
a/all.jsonc:4:49: pools.p.load_rate: no load would ever start; write more than zero
a/all.jsonc:7:5: models.bad name: the name "bad name" is invalid; a name holds ' '; use letters, digits and the signs `-`, `_`, `.`, `:`, `@`
a/all.jsonc:8:12: models.m.pool: no team declares a pool `q`; declare the pool or name one that is declared
a/all.jsonc:8:42: models.m.bytes: the value is zero; write a whole number of bytes
a/all.jsonc:8:68: models.m.replica: the field is unknown; did you mean `replicas`?
a/all.jsonc:10:19: kinds.k.idempotent: the field is missing; write true only if a request may safely run more than once
a/all.jsonc:10:32: kinds.k.urgency: unknown variant `asap`, expected one of `urgent`, `normal`, `slow`; write one of "urgent", "normal", "slow"
a/all.jsonc:11:3: routs: the field is unknown; did you mean `routes`?
"#);
}

const POOL: &str = r#"{
  "pools": {
    "p": { "memory": 100, "accelerators": 1, "streams": 1, "tokens": 1, "step_ms": 10,
           "fenced": true, "parallel_loads": 1, "load_rate": 1.5 }
  },
  "models": { "m": { "pool": "p", "version": "v1", "bytes": 60, "cold_ms": 1 } },
  "kinds": { "k": { "urgency": "slow", "deadline_ms": 1, "idempotent": true } },
  "callers": { "c": { "key_sha256": "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08" } }
}"#;

#[test]
fn duplicate_names_and_references_are_checked_across_teams() {
    let other = r#"{
  "models": {
    "m": { "pool": "p", "version": "v1", "bytes": 1, "cold_ms": 1 },
    "big": { "pool": "p", "version": "v1", "bytes": 101, "cold_ms": 1 },
    "lost": { "pool": "pp", "version": "v1", "bytes": 1, "cold_ms": 1 }
  },
  "adapters": { "a": { "model": "m", "bytes": 50 } },
  "services": { "s": { "parallel": 1, "kind": "kk" } },
  "callers": { "d": { "key_sha256": "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08" } },
  "routes": {
    "r": { "model": "nothing-like-it" },
    "s": { "model": "big", "adapter": "a" }
  }
}"#;
    assert_snapshot!(merge_problems(&[("a", POOL), ("b", other)]), @r#"
b/all.jsonc:3:5: models.m: the model `m` is declared in a/all.jsonc:6:15 too; choose another name
b/all.jsonc:4:5: models.big: the model needs 101 bytes and a runner of pool `p` has 100; choose a pool of larger runners
b/all.jsonc:5:15: models.lost.pool: no team declares a pool `pp`; did you mean `p`?
b/all.jsonc:7:17: adapters.a: the adapter and its model need more than the 100 bytes of a runner; choose a smaller adapter
b/all.jsonc:8:39: services.s.kind: no team declares a kind `kk`; did you mean `k`?
b/all.jsonc:9:23: callers.d.key_sha256: the key is that of another caller (a/all.jsonc:8:16); create a new key
b/all.jsonc:11:12: routes.r.model: no team declares a model `nothing-like-it`; declare the model or name one that is declared
b/all.jsonc:12:28: routes.s.adapter: the adapter belongs to `m`; name that model
"#);
}

#[test]
fn valid_declarations_of_two_teams_are_merged() {
    let other = r#"{ "routes": { "r": { "model": "m", "kind": "k" } } }"#;
    let catalog =
        Catalog::merge(Revision(7), &teams(&[("a", POOL), ("b", other)])).unwrap();
    assert_eq!(catalog.revision, Revision(7));
    assert_eq!(catalog.routes["r"].team.as_str(), "b");
    assert_eq!(catalog.models.len(), 1);
    assert_eq!(catalog.models[0].min_replicas, 1);
}

/// Random texts of JSON tokens and field names, which get past the JSON parser more
/// often than random characters.
fn text() -> impl Strategy<Value = String> {
    let tokens = prop::sample::select(vec![
        "{",
        "}",
        "[",
        "]",
        ":",
        ",",
        "\"",
        "//",
        "/*",
        "*/",
        "\n",
        "\\",
        "\\u12",
        "-",
        "1e999",
        "0x1",
        "1",
        "18446744073709551616",
        "null",
        "true",
        "\"pools\":",
        "\"models\":{\"m\":",
        "\"times\":{",
        "\"lease_ms\":",
        "\"operators\":{\"t\":",
        "\"routes\":{\"\":",
        "ż",
        "\u{feff}",
    ]);
    prop_oneof![
        prop::collection::vec(tokens, 0..40).prop_map(|tokens| tokens.concat()),
        any::<String>(),
        prop::collection::vec(any::<u8>(), 0..80)
            .prop_map(|bytes| String::from_utf8_lossy(&bytes).into_owned()),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4000))]

    #[test]
    fn no_text_makes_the_reader_panic(text in text()) {
        if let Err(problems) = Settings::parse("any", &text) {
            prop_assert!(!problems.0.is_empty());
            for problem in problems.0 {
                prop_assert!(problem.location.line >= 1 && problem.location.column >= 1);
                prop_assert!(problem.location.line <= text.matches('\n').count() + 1);
                prop_assert!(!problem.remedy.is_empty());
            }
        }
        if let Err(problems) = Catalog::merge(Revision(1), &teams(&[("t", &text)])) {
            prop_assert!(!problems.0.is_empty());
        }
    }

    #[test]
    fn deep_nesting_is_rejected_without_stack_overflow(depth in 1usize..20_000) {
        let text = format!("{{\"vm\":{}", "[".repeat(depth));
        prop_assert!(Settings::parse("any", &text).is_err());
    }
}
