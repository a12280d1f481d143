//! Fitting lines to measured points.

use zincstand_testbed::slope::{Bend, Point, fit, fit_line};

/// Returns points of a function at five values of x.
fn points(function: impl Fn(f64) -> f64) -> Vec<Point> {
    [10.0, 34.0, 200.0, 600.0, 2_000.0].map(|x| Point { x, y: function(x) }).to_vec()
}

#[test]
fn a_line_is_fitted_and_a_bend_is_reported() {
    let straight = fit(&points(|x| 3.0 + 0.5 * x)).expect("a line is fitted to five points");
    assert!((straight.line.slope - 0.5).abs() < 1e-9 && (straight.line.intercept - 3.0).abs() < 1e-6);
    assert!(straight.line.r2 > 0.999_999 && straight.bend.is_none());
    let bent =
        fit(&points(|x| if x <= 200.0 { 1.0 } else { x - 199.0 })).expect("a line is fitted to five points");
    let bend = bent.bend.expect("a bend is found");
    assert!(bend.lower.abs() < 1e-9 && bend.upper > 0.9);
    assert_eq!(fit_line(&[Point { x: 1.0, y: 1.0 }, Point { x: 1.0, y: 2.0 }]), None);
}

#[test]
fn a_bend_is_stored_as_an_array_of_its_two_slopes() {
    let bend = Bend { lower: 0.5, upper: 2.0 };
    assert_eq!(serde_json::to_string(&bend).expect("the bend is serialized"), "[0.5,2.0]");
}
