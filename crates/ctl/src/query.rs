//! Choosing and ordering rows.

use std::cmp::Ordering;

use serde_json::{Map, Value};

use crate::schema::Subject;

/// A row of named fields.
pub type Row = Map<String, Value>;

/// What to show.
#[derive(Debug, Clone, PartialEq)]
pub struct Query {
    /// What.
    pub subject: &'static Subject,
    /// Which rows; all if absent.
    pub filter: Option<Condition>,
    /// In which order.
    pub sort: Option<Sort>,
    /// At most how many rows.
    pub limit: Option<usize>,
}

/// An order of rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sort {
    /// The field.
    pub field: &'static str,
    /// Whether the greatest comes first.
    pub descending: bool,
}

/// A condition on a row.
#[derive(Debug, Clone, PartialEq)]
pub enum Condition {
    /// Both hold.
    And(Box<Condition>, Box<Condition>),
    /// At least one holds.
    Or(Box<Condition>, Box<Condition>),
    /// It does not hold.
    Not(Box<Condition>),
    /// A field compares with a value.
    Compare {
        /// The field.
        field: &'static str,
        /// How.
        test: Test,
        /// With what; of the field's type, or null.
        value: Value,
    },
}

/// How a field compares with a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Test {
    /// Equal.
    Equal,
    /// Not equal.
    Other,
    /// Less.
    Less,
    /// Less or equal.
    Most,
    /// Greater.
    More,
    /// Greater or equal.
    Least,
    /// The text holds the value.
    Holds,
}

impl Query {
    /// The rows that the query asks for, in its order.
    pub fn run(&self, rows: Vec<Row>) -> Vec<Row> {
        let mut rows = rows;
        if let Some(filter) = &self.filter {
            rows.retain(|row| filter.holds(row));
        }
        if let Some(sort) = self.sort {
            rows.sort_by(|a, b| {
                let order = compare(get(a, sort.field), get(b, sort.field));
                if sort.descending { order.reverse() } else { order }
            });
        }
        rows.truncate(self.limit.unwrap_or(usize::MAX));
        rows
    }
}

impl Condition {
    /// Whether a row meets the condition.
    pub fn holds(&self, row: &Row) -> bool {
        match self {
            Self::And(a, b) => a.holds(row) && b.holds(row),
            Self::Or(a, b) => a.holds(row) || b.holds(row),
            Self::Not(a) => !a.holds(row),
            Self::Compare { field, test, value } => test.holds(get(row, field), value),
        }
    }
}

impl Test {
    fn holds(self, found: &Value, value: &Value) -> bool {
        let order = compare(found, value);
        // What has no value is neither less nor greater than anything.
        let known = !found.is_null() && !value.is_null();
        match self {
            Self::Equal => order == Ordering::Equal,
            Self::Other => order != Ordering::Equal,
            Self::Less => known && order == Ordering::Less,
            Self::Most => known && order != Ordering::Greater,
            Self::More => known && order == Ordering::Greater,
            Self::Least => known && order != Ordering::Less,
            Self::Holds => match (found.as_str(), value.as_str()) {
                (Some(found), Some(value)) => found.contains(value),
                _ => false,
            },
        }
    }
}

fn get<'a>(row: &'a Row, field: &str) -> &'a Value {
    row.get(field).unwrap_or(&Value::Null)
}

/// The order of two values of the same field; a missing one comes first.
fn compare(a: &Value, b: &Value) -> Ordering {
    match (a, b) {
        (Value::Number(a), Value::Number(b)) => {
            let (a, b) = (a.as_f64(), b.as_f64());
            a.partial_cmp(&b).unwrap_or(Ordering::Equal)
        }
        (Value::String(a), Value::String(b)) => a.cmp(b),
        (Value::Bool(a), Value::Bool(b)) => a.cmp(b),
        (a, b) => rank(a).cmp(&rank(b)),
    }
}

fn rank(value: &Value) -> u8 {
    match value {
        Value::Null => 0,
        Value::Bool(_) => 1,
        Value::Number(_) => 2,
        Value::String(_) => 3,
        Value::Array(_) | Value::Object(_) => 4,
    }
}
