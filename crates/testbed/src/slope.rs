//! Straight lines fitted to measured points, and whether the points lie on a line at all.

use serde::Serialize;

/// From this many points on a fit is examined for a bend.
const MIN_POINTS_FOR_BEND: usize = 4;
/// Two halves bend if their slopes differ by more than this part of the larger one.
const BEND_THRESHOLD: f64 = 0.5;

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The quantity that was varied.
    pub x: f64,
    /// What was measured there.
    pub y: f64,
}

/// The line of least squares through points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Change of y for a change of x by one.
    pub slope: f64,
    /// y at x = 0.
    pub intercept: f64,
    /// The part of the variance of y that the line explains, 0 to 1; 1 where y does not vary.
    pub r2: f64,
}

/// A fitted slope as it is reported: a bend is reported and not averaged away.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The line through all points.
    pub line: Line,
    /// The slopes of the lower and the upper half of the points (the middle one in both), where they differ by more
    /// than half of the larger one and there are at least four points.
    pub bend: Option<(f64, f64)>,
}

/// The line of least squares; none for fewer than two points or where x does not vary.
pub fn line(points: &[Point]) -> Option<Line> {
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

/// The line through all points and, from four on, whether its two halves agree. The points may be in any order.
pub fn fit(points: &[Point]) -> Option<Fit> {
    let mut sorted = points.to_vec();
    sorted.sort_by(|left, right| left.x.total_cmp(&right.x));
    Some(Fit { line: line(&sorted)?, bend: bend(&sorted) })
}

/// The slopes of the two halves of sorted points, if they differ.
fn bend(sorted: &[Point]) -> Option<(f64, f64)> {
    if sorted.len() < MIN_POINTS_FOR_BEND {
        return None;
    }
    let half = sorted.len().div_ceil(2);
    let lower = line(&sorted[..half])?.slope;
    let upper = line(&sorted[sorted.len() - half..])?.slope;
    let larger = lower.abs().max(upper.abs());
    ((lower - upper).abs() > BEND_THRESHOLD * larger).then_some((lower, upper))
}
