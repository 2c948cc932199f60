//! Filters, sorts and limits rows.

use std::cmp::Ordering;

use serde_json::{Map, Value};

use crate::schema::Subject;

/// The fields of a row, by name.
pub type Row = Map<String, Value>;

/// A query for rows of a subject.
#[derive(Debug, Clone, PartialEq)]
pub struct Query {
    /// What to show.
    pub subject: &'static Subject,
    /// The condition on the rows; `None` keeps all.
    pub filter: Option<Condition>,
    /// The order; `None` keeps the order of the daemon.
    pub sort: Option<Sort>,
    /// The maximum number of rows.
    pub limit: Option<usize>,
}

/// A sort order of rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sort {
    /// The field to sort by.
    pub field: &'static str,
    /// Whether the greatest value comes first.
    pub descending: bool,
}

/// A condition on a row.
#[derive(Debug, Clone, PartialEq)]
pub enum Condition {
    /// Both conditions hold.
    And(Box<Condition>, Box<Condition>),
    /// At least one condition holds.
    Or(Box<Condition>, Box<Condition>),
    /// The condition does not hold.
    Not(Box<Condition>),
    /// A comparison of a field with a value.
    Compare {
        /// The name of the field.
        field: &'static str,
        /// The comparison.
        operator: Operator,
        /// A value of the field's type, or null.
        value: Value,
    },
}

/// A comparison operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operator {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
    /// `~`: the field contains the value as a substring.
    Contains,
}

impl Query {
    /// The matching rows in the requested order.
    pub fn run(&self, rows: Vec<Row>) -> Vec<Row> {
        let mut rows = rows;
        if let Some(filter) = &self.filter {
            rows.retain(|row| filter.matches(row));
        }
        if let Some(sort) = self.sort {
            rows.sort_by(|a, b| {
                let order =
                    compare(field_value(a, sort.field), field_value(b, sort.field));
                if sort.descending { order.reverse() } else { order }
            });
        }
        rows.truncate(self.limit.unwrap_or(usize::MAX));
        rows
    }
}

impl Condition {
    /// Whether a row satisfies the condition.
    pub fn matches(&self, row: &Row) -> bool {
        match self {
            Self::And(a, b) => a.matches(row) && b.matches(row),
            Self::Or(a, b) => a.matches(row) || b.matches(row),
            Self::Not(a) => !a.matches(row),
            Self::Compare { field, operator, value } => {
                operator.matches(field_value(row, field), value)
            }
        }
    }
}

impl Operator {
    fn matches(self, actual: &Value, expected: &Value) -> bool {
        let order = compare(actual, expected);
        // A missing value is neither less nor greater than any other.
        let both_present = !actual.is_null() && !expected.is_null();
        match self {
            Self::Equal => order == Ordering::Equal,
            Self::NotEqual => order != Ordering::Equal,
            Self::Less => both_present && order == Ordering::Less,
            Self::LessOrEqual => both_present && order != Ordering::Greater,
            Self::Greater => both_present && order == Ordering::Greater,
            Self::GreaterOrEqual => both_present && order != Ordering::Less,
            Self::Contains => match (actual.as_str(), expected.as_str()) {
                (Some(actual), Some(expected)) => actual.contains(expected),
                _ => false,
            },
        }
    }
}

fn field_value<'a>(row: &'a Row, field: &str) -> &'a Value {
    row.get(field).unwrap_or(&Value::Null)
}

/// Compares two values of the same field; a missing one sorts first.
fn compare(a: &Value, b: &Value) -> Ordering {
    match (a, b) {
        (Value::Number(a), Value::Number(b)) => {
            let (a, b) = (a.as_f64(), b.as_f64());
            a.partial_cmp(&b).unwrap_or(Ordering::Equal)
        }
        (Value::String(a), Value::String(b)) => a.cmp(b),
        (Value::Bool(a), Value::Bool(b)) => a.cmp(b),
        (a, b) => type_rank(a).cmp(&type_rank(b)),
    }
}

fn type_rank(value: &Value) -> u8 {
    match value {
        Value::Null => 0,
        Value::Bool(_) => 1,
        Value::Number(_) => 2,
        Value::String(_) => 3,
        Value::Array(_) | Value::Object(_) => 4,
    }
}
