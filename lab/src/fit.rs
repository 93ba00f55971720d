//! Linear least-squares fits of measured points.

use serde::Serialize;

/// A value measured at a size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Size at which the value was measured.
    pub x: f64,
    /// Measured value.
    pub y: f64,
}

/// A line fitted to points by least squares.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Line {
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Largest vertical distance of a point from the line, as a fraction of the largest absolute value.
    pub residual: f64,
}

impl Line {
    /// Fits a line to points. Returns `None` for fewer than two different sizes.
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
