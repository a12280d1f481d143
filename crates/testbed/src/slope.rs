//! Straight lines through measured points, and whether a line is what they lie on.

use serde::Serialize;

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
    /// Change of y for one of x.
    pub slope: f64,
    /// y at x = 0.
    pub intercept: f64,
    /// Share of the spread of y that the line explains, 0 to 1; 1 where y does not vary.
    pub r2: f64,
}

/// A fitted slope as it is reported: a bend is told as a bend and not averaged away.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The line through all points.
    pub line: Line,
    /// The slopes of the lower and the upper half of the points (the middle one in both), where they differ by more
    /// than a half of the larger one and there are at least four points.
    pub bend: Option<(f64, f64)>,
}

/// Least squares; nothing for fewer than two points or where x does not vary.
pub fn line(points: &[Point]) -> Option<Line> {
    let n = points.len() as f64;
    let (mx, my) = (points.iter().map(|p| p.x).sum::<f64>() / n, points.iter().map(|p| p.y).sum::<f64>() / n);
    let xx: f64 = points.iter().map(|p| (p.x - mx).powi(2)).sum();
    let yy: f64 = points.iter().map(|p| (p.y - my).powi(2)).sum();
    let xy: f64 = points.iter().map(|p| (p.x - mx) * (p.y - my)).sum();
    if points.len() < 2 || xx == 0.0 {
        return None;
    }
    let slope = xy / xx;
    let r2 = if yy == 0.0 { 1.0 } else { (xy * xy / (xx * yy)).min(1.0) };
    Some(Line { slope, intercept: my - slope * mx, r2 })
}

/// A line through all points and, from four on, whether its two halves agree. The points are taken in order of x.
pub fn fit(points: &[Point]) -> Option<Fit> {
    let mut sorted = points.to_vec();
    sorted.sort_by(|a, b| a.x.total_cmp(&b.x));
    let line_of_all = line(&sorted)?;
    let half = sorted.len().div_ceil(2);
    let (low, high) = (line(&sorted[..half]), line(&sorted[sorted.len() - half..]));
    let bend = match (low, high) {
        (Some(low), Some(high)) if sorted.len() >= 4 => {
            let apart = (low.slope - high.slope).abs();
            let larger = low.slope.abs().max(high.slope.abs());
            (apart > 0.5 * larger).then_some((low.slope, high.slope))
        }
        _ => None,
    };
    Some(Fit { line: line_of_all, bend })
}
