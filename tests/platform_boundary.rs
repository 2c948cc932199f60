//! The boundary between the project and the platform that it runs on.
//!
//! Only the adapter reads and writes the platform's names, so that another platform needs
//! another adapter and nothing else. A name of the platform's protocol elsewhere
//! indicates logic that belongs in the adapter.

use std::fs;
use std::path::{Path, PathBuf};

/// Headers, paths and fields that only the platform uses.
const PLATFORM_NAMES: [&str; 22] = [
    "x-target-instance",
    "x-not-executed",
    "x-response-seal",
    "x-expected-version",
    "x-time-budget",
    "x-token-count",
    "x-prompt-prefix",
    "x-length-hint",
    "x-request-priority",
    "x-kv-backup",
    "x-pin-ms",
    "x-hold",
    "kv-fetch",
    "kv-from",
    "kv-move",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "/v1/resolution",
    "/v1/readiness",
    "fence_token",
    "schema_ver",
];

/// Upper bound of the adapter's share of the project's lines; an adapter that only
/// translates needs few.
const MAX_ADAPTER_SHARE: f64 = 0.1;

#[test]
fn only_the_adapter_contains_platform_names() {
    let mut found = Vec::new();
    for file in sources(&["crates", "src"]) {
        let text = fs::read_to_string(&file).expect("a source file can be read");
        let text = text.to_lowercase();
        for name in PLATFORM_NAMES.iter().filter(|name| text.contains(**name)) {
            found.push(format!("{}: {name}", file.display()));
        }
    }
    assert!(found.is_empty(), "platform names outside platform/: {found:#?}");
}

#[test]
fn the_adapter_stays_small() {
    let count = |dirs: &[&str]| -> usize {
        let line_count = |file: PathBuf| {
            fs::read_to_string(file).expect("a source file can be read").lines().count()
        };
        sources(dirs).into_iter().map(line_count).sum()
    };
    let (adapter, total) =
        (count(&["platform"]), count(&["crates", "src", "platform", "tests"]));
    assert!(
        (adapter as f64) < MAX_ADAPTER_SHARE * total as f64,
        "{adapter} of {total} lines"
    );
}

fn sources(dirs: &[&str]) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for dir in dirs {
        collect_sources(&root.join(dir), &mut files);
    }
    assert!(!files.is_empty(), "{dirs:?} contain no sources");
    files
}

fn collect_sources(dir: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("a directory can be read") {
        let path = entry.expect("an entry can be read").path();
        if path.is_dir() {
            collect_sources(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}
