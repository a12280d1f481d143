//! Means with intervals, and straight lines through points.

use serde::{Deserialize, Serialize};

/// Quantiles of Student's t distribution for a two-sided 95% interval, by degrees of freedom starting at 1.
const STUDENT_T: [f64; 9] = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26];
/// Quantile for more degrees of freedom than [`STUDENT_T`] has, close to that of the normal distribution.
const NORMAL_QUANTILE: f64 = 2.0;

/// A mean over scenarios with its 95% confidence interval by Student's t distribution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half the width of the interval; 0 for a single value.
    #[serde(rename = "half")]
    pub half_width: f64,
}

impl Mean {
    /// Returns the mean of these values, and 0 if there are none.
    pub(super) fn of(values: &[f64]) -> Mean {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count.max(1.0);
        if values.len() < 2 {
            return Mean { mean, half_width: 0.0 };
        }
        let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0);
        let quantile = STUDENT_T.get(values.len() - 2).copied().unwrap_or(NORMAL_QUANTILE);
        Mean { mean, half_width: quantile * (variance / count).sqrt() }
    }
}

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The quantity that was varied.
    pub x: f64,
    /// The quantity that was measured.
    pub y: f64,
}

/// A straight line fitted to points, and the slopes of lines fitted to the lower and the upper half of the points. If
/// these differ, the points do not follow a straight line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Change of y for a change of x by one.
    pub slope: f64,
    /// y at x = 0.
    pub intercept: f64,
    /// Share of the variance of y that the line explains; 1 if x or y does not vary.
    pub r2: f64,
    /// Slope of the lower half of the points, the middle one included.
    #[serde(rename = "lower")]
    pub lower_half_slope: f64,
    /// Slope of the upper half of the points, the middle one included.
    #[serde(rename = "upper")]
    pub upper_half_slope: f64,
}

impl Fit {
    /// Fits a line to points in ascending order of x by least squares.
    pub fn of(points: &[Point]) -> Fit {
        let line = Line::through(points);
        let half = points.len().div_ceil(2);
        let lower_half = &points[..half];
        let upper_half = &points[points.len() - half..];
        Fit {
            slope: line.slope,
            intercept: line.intercept,
            r2: line.r2,
            lower_half_slope: Line::through(lower_half).slope,
            upper_half_slope: Line::through(upper_half).slope,
        }
    }
}

/// A line fitted by least squares.
struct Line {
    slope: f64,
    intercept: f64,
    r2: f64,
}

impl Line {
    fn through(points: &[Point]) -> Line {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let sum_xy: f64 = points.iter().map(|point| (point.x - mean_x) * (point.y - mean_y)).sum();
        let sum_xx: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        let sum_yy: f64 = points.iter().map(|point| (point.y - mean_y).powi(2)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let varies = sum_xx > 0.0 && sum_yy > 0.0;
        let r2 = if varies { sum_xy * sum_xy / (sum_xx * sum_yy) } else { 1.0 };
        Line { slope, intercept: mean_y - slope * mean_x, r2 }
    }
}
