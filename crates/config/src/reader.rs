//! A reader of JSON with comments that records the location of every problem.
//!
//! Each field is deserialised on its own, so that an invalid field does not hide
//! the problems of others.

use std::sync::Arc;

use indexmap::IndexMap;
use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use serde_with::{DeserializeAs, Same};

use crate::problem::{LineIndex, Location, Problems, closest_match};

const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Reads a file that consists of one object.
///
/// Fields that `read` leaves unread are reported as unknown.
pub fn read_object<T>(
    file: &str,
    text: &str,
    problems: &mut Problems,
    read: impl FnOnce(&mut Fields<'_>) -> Option<T>,
) -> Option<T> {
    let file: Arc<str> = file.into();
    let lines = LineIndex::new(text);
    let source = SourceFile { file: &file, lines: &lines };
    let value = match parse_to_ast(text, &CollectOptions::default(), &OPTIONS) {
        Ok(result) => result.value,
        Err(error) => {
            let location = source.location(error.range().start, String::new());
            let message = error.kind().to_string();
            problems.add(location, message, "correct the JSON; comments are allowed");
            return None;
        }
    };
    let Some(value) = value else {
        let location = source.location(0, String::new());
        problems.add(location, "the file is empty", "write an object `{ ... }`");
        return None;
    };
    let mut fields = Fields::from_value(source, String::new(), &value, problems)?;
    let result = read(&mut fields);
    fields.report_unknown();
    result
}

/// The file that is read, for computing locations.
#[derive(Clone, Copy)]
struct SourceFile<'a> {
    file: &'a Arc<str>,
    lines: &'a LineIndex<'a>,
}

impl SourceFile<'_> {
    fn location(self, byte: usize, field: String) -> Location {
        self.lines.location(self.file, byte, field)
    }
}

/// The fields of one object, each of which is read at most once.
pub struct Fields<'a> {
    source: SourceFile<'a>,
    path: String,
    /// The byte offset of the object.
    start: usize,
    unread: IndexMap<&'a str, &'a ObjectProp<'a>>,
    /// The byte offsets of the fields that were requested; for an absent field, that
    /// of the object.
    offsets: IndexMap<&'static str, usize>,
    problems: &'a mut Problems,
}

impl<'a> Fields<'a> {
    fn from_value(
        source: SourceFile<'a>,
        path: String,
        value: &'a Value<'a>,
        problems: &'a mut Problems,
    ) -> Option<Self> {
        let start = value.range().start;
        let Value::Object(object) = value else {
            let location = source.location(start, path);
            problems.add(location, "this is not an object", "write `{ ... }`");
            return None;
        };
        let mut unread = IndexMap::new();
        for prop in &object.properties {
            let name = prop.name.as_str();
            if unread.insert(name, prop).is_some() {
                let location = source.location(prop.range.start, join(&path, name));
                problems.add(
                    location,
                    "the field is given twice",
                    "remove one of the two",
                );
            }
        }
        Some(Self { source, path, start, unread, offsets: IndexMap::new(), problems })
    }

    /// The location of a field that was read, or of the object if it is absent.
    pub fn location(&self, name: &str) -> Location {
        let byte = self.offsets.get(name).copied().unwrap_or(self.start);
        self.source.location(byte, join(&self.path, name))
    }

    /// Adds a problem of a field.
    pub fn add_problem(&mut self, name: &str, message: impl Into<String>, remedy: &str) {
        let location = self.location(name);
        self.problems.add(location, message, remedy);
    }

    /// Adds a problem at a location of the same file.
    pub fn add_problem_at(
        &mut self,
        location: Location,
        message: impl Into<String>,
        remedy: &str,
    ) {
        self.problems.add(location, message, remedy);
    }

    /// Adds a problem of a field unless the condition holds.
    pub fn check(&mut self, name: &str, holds: bool, message: &str, remedy: &str) {
        if !holds {
            self.add_problem(name, message, remedy);
        }
    }

    /// Reads a required field; `expected` describes its value in the remedy.
    pub fn required<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        expected: &str,
    ) -> Option<T> {
        self.required_as::<T, Same>(name, expected)
    }

    /// Reads a required field through a `serde_with` adapter.
    pub fn required_as<T, U>(&mut self, name: &'static str, expected: &str) -> Option<T>
    where
        U: for<'de> DeserializeAs<'de, T>,
    {
        match self.take_field(name) {
            Some(prop) => self.deserialize_value::<T, U>(name, prop, expected),
            None => {
                self.add_problem(
                    name,
                    "the field is missing",
                    &format!("write {expected}"),
                );
                None
            }
        }
    }

    /// Reads a field that has a default value.
    pub fn get_or<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        default: T,
        expected: &str,
    ) -> T {
        self.get_or_as::<T, Same>(name, default, expected)
    }

    /// Reads a field that has a default value through a `serde_with` adapter.
    pub fn get_or_as<T, U>(&mut self, name: &'static str, default: T, expected: &str) -> T
    where
        U: for<'de> DeserializeAs<'de, T>,
    {
        match self.take_field(name) {
            Some(prop) => {
                self.deserialize_value::<T, U>(name, prop, expected).unwrap_or(default)
            }
            None => default,
        }
    }

    /// Reads an optional object; `None` if it is absent or invalid.
    pub fn object<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        let prop = self.take_field(name)?;
        let path = join(&self.path, name);
        let mut fields =
            Fields::from_value(self.source, path, &prop.value, self.problems)?;
        let result = read(&mut fields);
        fields.report_unknown();
        result
    }

    /// Reads an optional map from names to objects.
    ///
    /// `read` gets each name with its location, and the fields of its object.
    pub fn entries(
        &mut self,
        name: &'static str,
        mut read: impl FnMut(&str, Location, &mut Fields<'_>),
    ) {
        let Some(prop) = self.take_field(name) else { return };
        let path = join(&self.path, name);
        let map = Fields::from_value(self.source, path, &prop.value, self.problems);
        let Some(map) = map else { return };
        for (key, prop) in map.unread {
            let path = join(&map.path, key);
            let location = self.source.location(prop.range.start, path.clone());
            if let Some(mut fields) =
                Fields::from_value(self.source, path, &prop.value, map.problems)
            {
                read(key, location, &mut fields);
                fields.report_unknown();
            }
        }
    }

    /// Reads an optional map from names to strings.
    pub fn strings(&mut self, name: &'static str) -> Vec<(String, String, Location)> {
        let Some(prop) = self.take_field(name) else { return Vec::new() };
        let path = join(&self.path, name);
        let map = Fields::from_value(self.source, path, &prop.value, self.problems);
        let Some(map) = map else { return Vec::new() };
        let mut strings = Vec::new();
        for (key, prop) in map.unread {
            let path = join(&map.path, key);
            let location = self.source.location(prop.range.start, path);
            match &prop.value {
                Value::StringLit(text) => {
                    strings.push((key.to_owned(), text.value.to_string(), location));
                }
                _ => {
                    map.problems.add(location, "this is not a string", "write `\"...\"`")
                }
            }
        }
        strings
    }

    fn take_field(&mut self, name: &'static str) -> Option<&'a ObjectProp<'a>> {
        let prop = self.unread.shift_remove(name);
        self.offsets.insert(name, prop.map_or(self.start, |prop| prop.range.start));
        prop
    }

    fn deserialize_value<T, U>(
        &mut self,
        name: &str,
        prop: &ObjectProp<'_>,
        expected: &str,
    ) -> Option<T>
    where
        U: for<'de> DeserializeAs<'de, T>,
    {
        let value: serde_json::Value = prop.value.clone().into();
        match U::deserialize_as(value) {
            Ok(value) => Some(value),
            Err(error) => {
                let location = self
                    .source
                    .location(prop.value.range().start, join(&self.path, name));
                self.problems.add(
                    location,
                    error.to_string(),
                    format!("write {expected}"),
                );
                None
            }
        }
    }

    fn report_unknown(self) {
        for (name, prop) in &self.unread {
            let location = self.source.location(prop.range.start, join(&self.path, name));
            let expected_names = self.offsets.keys().copied();
            let remedy = match closest_match(name, expected_names.clone()) {
                Some(closest) => format!("did you mean `{closest}`?"),
                None => {
                    let names: Vec<_> = expected_names.collect();
                    format!("remove it or use one of {}", names.join(", "))
                }
            };
            self.problems.add(location, "the field is unknown", remedy);
        }
    }
}

fn join(path: &str, name: &str) -> String {
    match (path.is_empty(), name.is_empty()) {
        (true, _) => name.to_owned(),
        (_, true) => path.to_owned(),
        _ => format!("{path}.{name}"),
    }
}
