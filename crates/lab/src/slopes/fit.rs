//! Straight lines through measured points.

use indexmap::IndexMap;
use serde_json::{Value, json};

use super::Point;

/// A straight line and how well it fits.
struct Line {
    base: f64,
    slope: f64,
    /// The greatest distance of a point from the line, relative to the greatest value.
    error: f64,
}

/// Prints each point and each line as an object a line.
pub fn print_json(points: &[Point]) {
    for point in points {
        let mut row = json!({
            "experiment": point.experiment,
            "unit": point.unit,
            "size": point.size,
        });
        for (name, value) in &point.values {
            row[*name] = json!(value);
        }
        println!("{row}");
    }
    for ((experiment, unit, name), line) in lines(points) {
        println!(
            "{}",
            json!({
                "experiment": experiment, "line": name, "unit": unit,
                "base": line.base, "slope": line.slope, "error": line.error,
            })
        );
    }
}

/// Prints points and lines for people.
pub fn print_table(points: &[Point]) {
    for point in points {
        print!("{:<9} {:>8} {:<14}", point.experiment, point.size, point.unit);
        for (name, value) in &point.values {
            print!("  {name} {}", short(*value));
        }
        println!();
    }
    println!();
    for ((experiment, unit, name), line) in lines(points) {
        println!(
            "{experiment:<9} {name:<22} = {} + {} per {unit} (off by at most {:.0} %)",
            short(line.base),
            short(line.slope),
            line.error * 100.0,
        );
    }
}

type Key = (&'static str, &'static str, &'static str);

fn lines(points: &[Point]) -> IndexMap<Key, Line> {
    let mut series: IndexMap<Key, Vec<(f64, f64)>> = IndexMap::new();
    for point in points {
        for (name, value) in &point.values {
            let key = (point.experiment, point.unit, *name);
            series.entry(key).or_default().push((point.size, *value));
        }
    }
    series.retain(|_, values| values.len() >= 3);
    series.into_iter().map(|(key, values)| (key, line(&values))).collect()
}

/// The line of least squares.
fn line(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let above: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let below: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let slope = if below == 0.0 { 0.0 } else { above / below };
    let base = y - slope * x;
    let off = points.iter().map(|p| (base + slope * p.0 - p.1).abs()).fold(0.0, f64::max);
    let most = points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
    Line { base, slope, error: off / most }
}

fn short(value: f64) -> Value {
    let digits = if value.abs() >= 100.0 { 0 } else { 4 };
    let text = format!("{value:.digits$}");
    text.parse::<f64>().map_or(Value::Null, |number| json!(number))
}
