//! Slope, intercept and residual of fitted lines.

use super::*;

#[test]
fn a_line_is_fitted_with_its_residual() {
    let line = |points: &[(f64, f64)]| {
        Line::fit(&points.iter().map(|(x, y)| Point { x: *x, y: *y }).collect::<Vec<_>>())
    };
    let straight = line(&[(0.0, 1.0), (1.0, 3.0), (10.0, 21.0)]).expect("a line");
    assert!((straight.slope - 2.0).abs() < 1e-9 && (straight.intercept - 1.0).abs() < 1e-9);
    assert!(straight.residual < 1e-9);
    assert!(line(&[(0.0, 0.0), (1.0, 10.0), (2.0, 0.0)]).expect("a line").residual > 0.5);
    assert!(line(&[(1.0, 1.0), (1.0, 2.0)]).is_none() && line(&[]).is_none());
}
