//! Fits straight lines to measured points, and detects points that do not lie on one line.

use serde::Serialize;

/// Minimum number of points for detecting a bend.
const MIN_POINTS_FOR_BEND: usize = 4;
/// Minimum difference between the slopes of the two halves that counts as a bend, as a fraction of the larger slope.
const BEND_THRESHOLD: f64 = 0.5;

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The value of the varied quantity.
    pub x: f64,
    /// The measured value.
    pub y: f64,
}

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The change of y per unit of x.
    pub slope: f64,
    /// The value of y at x = 0.
    pub intercept: f64,
    /// The coefficient of determination, 0 to 1; 1 if y does not vary.
    pub r2: f64,
}

/// A line fitted to points, and its bend if the slopes of the two halves of the points differ.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The line through all points.
    pub line: Line,
    /// The bend; `None` if there are fewer than four points or the slopes of the halves agree.
    pub bend: Option<Bend>,
}

/// The slopes of the lower and the upper half of points that do not lie on one line. A middle point belongs to both
/// halves. Reports store it as an array of the two slopes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "[f64; 2]")]
pub struct Bend {
    /// The slope of the half with the smaller x.
    pub lower: f64,
    /// The slope of the half with the larger x.
    pub upper: f64,
}

impl From<Bend> for [f64; 2] {
    fn from(bend: Bend) -> [f64; 2] {
        [bend.lower, bend.upper]
    }
}

/// Fits a line by least squares. Returns `None` for fewer than two points or if x does not vary.
pub fn fit_line(points: &[Point]) -> Option<Line> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
    let sum_xx: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
    let sum_yy: f64 = points.iter().map(|point| (point.y - mean_y).powi(2)).sum();
    let sum_xy: f64 = points.iter().map(|point| (point.x - mean_x) * (point.y - mean_y)).sum();
    if points.len() < 2 || sum_xx == 0.0 {
        return None;
    }
    let slope = sum_xy / sum_xx;
    let r2 = if sum_yy == 0.0 { 1.0 } else { (sum_xy * sum_xy / (sum_xx * sum_yy)).min(1.0) };
    Some(Line { slope, intercept: mean_y - slope * mean_x, r2 })
}

/// Fits a line to points in any order, and compares the slopes of their halves if there are at least four. Returns
/// `None` if no line can be fitted.
pub fn fit(points: &[Point]) -> Option<Fit> {
    let mut sorted = points.to_vec();
    sorted.sort_by(|left, right| left.x.total_cmp(&right.x));
    Some(Fit { line: fit_line(&sorted)?, bend: find_bend(&sorted) })
}

/// Returns the slopes of the two halves of sorted points if they differ by more than [`BEND_THRESHOLD`] of the larger
/// one.
fn find_bend(sorted: &[Point]) -> Option<Bend> {
    if sorted.len() < MIN_POINTS_FOR_BEND {
        return None;
    }
    let half = sorted.len().div_ceil(2);
    let lower = fit_line(&sorted[..half])?.slope;
    let upper = fit_line(&sorted[sorted.len() - half..])?.slope;
    let larger_slope = lower.abs().max(upper.abs());
    ((lower - upper).abs() > BEND_THRESHOLD * larger_slope).then_some(Bend { lower, upper })
}
