//! Fits lines to measured points and prints both.

use indexmap::IndexMap;
use serde_json::{Value, json};

use super::Point;

/// A line through the points of one series.
struct LinearFit {
    intercept: f64,
    slope: f64,
    /// The largest residual, as a fraction of the largest value.
    max_error: f64,
}

/// Prints each point and each fit as one JSON object per line.
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
    for ((experiment, unit, name), fit) in linear_fits(points) {
        println!(
            "{}",
            json!({
                "experiment": experiment, "line": name, "unit": unit,
                "base": fit.intercept, "slope": fit.slope, "error": fit.max_error,
            })
        );
    }
}

/// Prints points and fits as text.
pub fn print_table(points: &[Point]) {
    for point in points {
        print!("{:<9} {:>8} {:<14}", point.experiment, point.size, point.unit);
        for (name, value) in &point.values {
            print!("  {name} {}", rounded(*value));
        }
        println!();
    }
    println!();
    for ((experiment, unit, name), fit) in linear_fits(points) {
        println!(
            "{experiment:<9} {name:<22} = {} + {} per {unit} (off by at most {:.0} %)",
            rounded(fit.intercept),
            rounded(fit.slope),
            fit.max_error * 100.0,
        );
    }
}

/// Experiment, unit of the size and name of the value.
type SeriesKey = (&'static str, &'static str, &'static str);

/// Fits a line to each series of at least 3 points.
fn linear_fits(points: &[Point]) -> IndexMap<SeriesKey, LinearFit> {
    let mut series: IndexMap<SeriesKey, Vec<(f64, f64)>> = IndexMap::new();
    for point in points {
        for (name, value) in &point.values {
            let key = (point.experiment, point.unit, *name);
            series.entry(key).or_default().push((point.size, *value));
        }
    }
    series.retain(|_, values| values.len() >= 3);
    series.into_iter().map(|(key, values)| (key, least_squares(&values))).collect()
}

/// Fits a line by least squares; the slope is 0 if all sizes are equal.
fn least_squares(points: &[(f64, f64)]) -> LinearFit {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let sum_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = if sum_xx == 0.0 { 0.0 } else { sum_xy / sum_xx };
    let intercept = mean_y - slope * mean_x;
    let max_residual =
        points.iter().map(|p| (intercept + slope * p.0 - p.1).abs()).fold(0.0, f64::max);
    let max_value = points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
    LinearFit { intercept, slope, max_error: max_residual / max_value }
}

/// `value` without decimals from 100 on, else with at most 4.
fn rounded(value: f64) -> Value {
    let digits = if value.abs() >= 100.0 { 0 } else { 4 };
    let text = format!("{value:.digits$}");
    text.parse::<f64>().map_or(Value::Null, |number| json!(number))
}
