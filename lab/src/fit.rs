//! Least-squares lines through measured points.

use serde::Serialize;

/// A measured value at a size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// The value.
    pub y: f64,
}

/// The least-squares line through points.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Line {
    /// Increase of the value for each unit of the size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Greatest distance of a point from the line, as a fraction of the greatest value.
    pub residual: f64,
}

impl Line {
    /// Fits a line; `None` for fewer than two different sizes.
    pub fn fit(points: &[Point]) -> Option<Self> {
        let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / points.len() as f64;
        let (mean_x, mean_y) = (mean(|point| point.x), mean(|point| point.y));
        let sum_of_squares: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        if points.len() < 2 || sum_of_squares <= 0.0 {
            return None;
        }
        let sum_of_products: f64 = points.iter().map(|point| (point.x - mean_x) * (point.y - mean_y)).sum();
        let slope = sum_of_products / sum_of_squares;
        let intercept = mean_y - slope * mean_x;
        let max_value = points.iter().map(|point| point.y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let residual = |point: &Point| (point.y - slope * point.x - intercept).abs() / max_value;
        Some(Self { slope, intercept, residual: points.iter().map(residual).fold(0.0, f64::max) })
    }
}

#[cfg(test)]
mod tests;
