//! Formats rows and plans for the terminal.

use chestnut_config::Plan;
use chestnut_config::plan::DifferenceKind;
use serde_json::Value;

use crate::query::Row;
use crate::schema::Subject;

/// Formats rows as a table with aligned columns.
pub fn table(subject: &Subject, rows: &[Row]) -> String {
    let names: Vec<&str> = subject.fields.iter().map(|field| field.name).collect();
    let mut lines = vec![names.iter().map(|name| name.to_uppercase()).collect()];
    for row in rows {
        lines.push(names.iter().map(|name| cell(row.get(*name))).collect::<Vec<_>>());
    }
    let width = |column: usize| {
        lines
            .iter()
            .map(|line: &Vec<String>| line[column].chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..names.len()).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let mut padded = String::new();
        for (cell, width) in line.iter().zip(&widths) {
            padded.push_str(&format!("{cell:width$}  "));
        }
        text.push_str(padded.trim_end());
        text.push('\n');
    }
    text
}

fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".into(),
        Some(Value::String(text)) if text.is_empty() => "-".into(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(list)) => {
            let cells: Vec<String> = list.iter().map(|item| cell(Some(item))).collect();
            cells.join(",")
        }
        Some(other) => other.to_string(),
    }
}

/// Formats the expected effect of a change.
pub fn plan(plan: &Plan) -> String {
    let mut text = String::new();
    for change in &plan.changes {
        let sign = match change.kind {
            DifferenceKind::Add => '+',
            DifferenceKind::Remove => '-',
            DifferenceKind::Change => '~',
        };
        text.push_str(&format!("{sign} {} {}\n", change.item_type, change.name));
        for (field, (old, new)) in &change.fields {
            let (old, new) = (cell(Some(old)), cell(Some(new)));
            text.push_str(&format!("    {field}: {old} -> {new}\n"));
        }
    }
    for planned_move in &plan.moves {
        let gigabytes = planned_move.bytes as f64 / 1e9;
        let seconds = planned_move.load_ms as f64 / 1e3;
        let line = if planned_move.replicas > 0 {
            format!(
                "load {} of {} in {}: {gigabytes:.1} GB, {seconds:.1} s each at least\n",
                planned_move.replicas, planned_move.model, planned_move.pool
            )
        } else {
            format!(
                "unload {} of {} in {}\n",
                -planned_move.replicas, planned_move.model, planned_move.pool
            )
        };
        text.push_str(&line);
    }
    if text.is_empty() { "changes only comments or layout\n".into() } else { text }
}
