//! Reading JSON with comments field by field, noting every problem's place.
//!
//! A field is turned into its type by `serde`, one at a time, so that a wrong
//! field hides no other.

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

/// Reads a file whose content is one object.
///
/// `read` gets the object's fields; what it leaves is reported as unknown.
pub fn read_object<T>(
    file: &str,
    text: &str,
    problems: &mut Problems,
    read: impl FnOnce(&mut Fields<'_>) -> Option<T>,
) -> Option<T> {
    let file: Arc<str> = file.into();
    let lines = LineIndex::new(text);
    let place = SourceText { file: &file, lines: &lines };
    let value = match parse_to_ast(text, &CollectOptions::default(), &OPTIONS) {
        Ok(result) => result.value,
        Err(error) => {
            let at = place.location(error.range().start, String::new());
            let what = error.kind().to_string();
            problems.add(at, what, "correct the JSON; comments are allowed");
            return None;
        }
    };
    let Some(value) = value else {
        let at = place.location(0, String::new());
        problems.add(at, "the file is empty", "write an object `{ ... }`");
        return None;
    };
    let mut fields = Fields::of(place, String::new(), &value, problems)?;
    let result = read(&mut fields);
    fields.report_unknown();
    result
}

/// The text that positions refer to.
#[derive(Clone, Copy)]
struct SourceText<'a> {
    file: &'a Arc<str>,
    lines: &'a LineIndex<'a>,
}

impl SourceText<'_> {
    fn location(self, byte: usize, field: String) -> Location {
        self.lines.location(self.file, byte, field)
    }
}

/// The fields of one object.
pub struct Fields<'a> {
    place: SourceText<'a>,
    path: String,
    start: usize,
    left: IndexMap<&'a str, &'a ObjectProp<'a>>,
    seen: IndexMap<&'static str, usize>,
    problems: &'a mut Problems,
}

impl<'a> Fields<'a> {
    fn of(
        place: SourceText<'a>,
        path: String,
        value: &'a Value<'a>,
        problems: &'a mut Problems,
    ) -> Option<Self> {
        let start = value.range().start;
        let Value::Object(object) = value else {
            let at = place.location(start, path);
            problems.add(at, "this is not an object", "write `{ ... }`");
            return None;
        };
        let mut left = IndexMap::new();
        for prop in &object.properties {
            let name = prop.name.as_str();
            if left.insert(name, prop).is_some() {
                let at = place.location(prop.range.start, join(&path, name));
                problems.add(at, "the field stands twice", "remove one of the two");
            }
        }
        Some(Self { place, path, start, left, seen: IndexMap::new(), problems })
    }

    /// The place of a field, or of the object if the field is absent.
    pub fn location(&self, name: &str) -> Location {
        let byte = self.seen.get(name).copied().unwrap_or(self.start);
        self.place.location(byte, join(&self.path, name))
    }

    /// Notes a problem with a field.
    pub fn add_problem(&mut self, name: &str, what: impl Into<String>, remedy: &str) {
        let at = self.location(name);
        self.problems.add(at, what, remedy);
    }

    /// Notes a problem at a place.
    pub fn add_problem_at(
        &mut self,
        at: Location,
        what: impl Into<String>,
        remedy: &str,
    ) {
        self.problems.add(at, what, remedy);
    }

    /// Notes a problem unless the condition holds.
    pub fn check(&mut self, name: &str, holds: bool, what: &str, remedy: &str) {
        if !holds {
            self.add_problem(name, what, remedy);
        }
    }

    /// Reads a field that must be there; `form` says what to write.
    pub fn required<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        form: &str,
    ) -> Option<T> {
        self.required_as::<T, Same>(name, form)
    }

    /// Reads a field that must be there by a `serde_with` adapter.
    pub fn required_as<T, U>(&mut self, name: &'static str, form: &str) -> Option<T>
    where
        U: for<'de> DeserializeAs<'de, T>,
    {
        match self.take(name) {
            Some(prop) => self.value::<T, U>(name, prop, form),
            None => {
                self.add_problem(name, "the field is missing", &format!("write {form}"));
                None
            }
        }
    }

    /// Reads a field that has a default.
    pub fn get_or<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        default: T,
        form: &str,
    ) -> T {
        self.get_or_as::<T, Same>(name, default, form)
    }

    /// Reads a field that has a default by a `serde_with` adapter.
    pub fn get_or_as<T, U>(&mut self, name: &'static str, default: T, form: &str) -> T
    where
        U: for<'de> DeserializeAs<'de, T>,
    {
        match self.take(name) {
            Some(prop) => self.value::<T, U>(name, prop, form).unwrap_or(default),
            None => default,
        }
    }

    /// Reads an object that may be absent.
    pub fn object<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        let prop = self.take(name)?;
        let path = join(&self.path, name);
        let mut fields = Fields::of(self.place, path, &prop.value, self.problems)?;
        let result = read(&mut fields);
        fields.report_unknown();
        result
    }

    /// Reads an object whose keys are chosen by the author.
    ///
    /// `read` gets each key with its place, and the fields of its value.
    pub fn entries(
        &mut self,
        name: &'static str,
        mut read: impl FnMut(&str, Location, &mut Fields<'_>),
    ) {
        let Some(prop) = self.take(name) else { return };
        let path = join(&self.path, name);
        let map = Fields::of(self.place, path, &prop.value, self.problems);
        let Some(map) = map else { return };
        for (key, prop) in map.left {
            let path = join(&map.path, key);
            let at = self.place.location(prop.range.start, path.clone());
            if let Some(mut fields) =
                Fields::of(self.place, path, &prop.value, map.problems)
            {
                read(key, at, &mut fields);
                fields.report_unknown();
            }
        }
    }

    /// Reads an object of texts whose keys are chosen by the author.
    pub fn strings(&mut self, name: &'static str) -> Vec<(String, String, Location)> {
        let Some(prop) = self.take(name) else { return Vec::new() };
        let path = join(&self.path, name);
        let map = Fields::of(self.place, path, &prop.value, self.problems);
        let Some(map) = map else { return Vec::new() };
        let mut found = Vec::new();
        for (key, prop) in map.left {
            let path = join(&map.path, key);
            let at = self.place.location(prop.range.start, path);
            match &prop.value {
                Value::StringLit(text) => {
                    found.push((key.to_owned(), text.value.to_string(), at));
                }
                _ => map.problems.add(at, "this is not a text", "write `\"...\"`"),
            }
        }
        found
    }

    fn take(&mut self, name: &'static str) -> Option<&'a ObjectProp<'a>> {
        let prop = self.left.shift_remove(name);
        self.seen.insert(name, prop.map_or(self.start, |prop| prop.range.start));
        prop
    }

    fn value<T, U>(&mut self, name: &str, prop: &ObjectProp<'_>, form: &str) -> Option<T>
    where
        U: for<'de> DeserializeAs<'de, T>,
    {
        let value: serde_json::Value = prop.value.clone().into();
        match U::deserialize_as(value) {
            Ok(value) => Some(value),
            Err(error) => {
                let at =
                    self.place.location(prop.value.range().start, join(&self.path, name));
                self.problems.add(at, error.to_string(), format!("write {form}"));
                None
            }
        }
    }

    fn report_unknown(self) {
        for (name, prop) in &self.left {
            let at = self.place.location(prop.range.start, join(&self.path, name));
            let known = self.seen.keys().copied();
            let remedy = match closest_match(name, known.clone()) {
                Some(near) => format!("did you mean `{near}`?"),
                None => {
                    let list: Vec<_> = known.collect();
                    format!("remove it or use one of {}", list.join(", "))
                }
            };
            self.problems.add(at, "the field is unknown", remedy);
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
