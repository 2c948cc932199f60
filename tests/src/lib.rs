//! Whole-process tests.
