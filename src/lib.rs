//! The binaries of chestnutlane; all code lives in the crates under `crates/`.
