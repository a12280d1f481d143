//! Plots of experiments: the spread of values by kind, and differences with their intervals.

use std::ops::Range;

use anyhow::Result;
use plotters::coord::types::RangedCoordf64;
use plotters::element::{Circle, PathElement, Text};
use plotters::style::{BLACK, Color, RGBColor};
use zincstand_fleet_model::experiment::{Comparison, Estimate};

use crate::model::plots::canvas::{
    BLUE, Canvas, Chart, GREEN, GREY, LABEL_FONT, RED, WIDTH, chart, draw_error, svg,
};

/// Width of the column of names at the left of the axis, in pixels.
const NAME_WIDTH: u32 = 130;
/// Height of a line, in pixels.
const LINE_HEIGHT: u32 = 24;
/// Height of caption and axis together, in pixels.
const FRAME_HEIGHT: u32 = 90;
/// Distance from the beginning of a name to the axis, in pixels.
const NAME_TO_AXIS: i32 = 125;
/// Distance from the top of a name to the middle of its line, in pixels.
const NAME_TOP_TO_MIDDLE: i32 = 6;
/// Half the height of the bar that marks a mean, as a fraction of a line.
const MEAN_BAR_HALF_HEIGHT: f64 = 0.35;
/// Minimum bound of the range of differences, which is symmetric around zero: an axis cannot have an empty range.
const MIN_DIFFERENCE_RANGE: f64 = 0.001;

/// Values of one kind of scenario.
pub struct KindValues {
    /// Name of the kind.
    pub kind: String,
    /// One value for each scenario.
    pub values: Vec<f64>,
}

/// Draws a line for each kind of scenario, with a dot for each value and a bar at the mean.
///
/// Values outside of `range` are drawn at its nearer end.
pub fn spread(caption: &str, kinds: &[KindValues], range: Range<f64>) -> Result<String> {
    svg(WIDTH, plot_height(kinds.len()), |canvas| {
        let mut chart = line_chart(canvas, caption, range.clone(), kinds.len().max(1))?;
        for (line, KindValues { kind, values }) in kinds.iter().enumerate() {
            let middle = line_middle(kinds.len(), line);
            let clamped = |value: f64| value.clamp(range.start, range.end);
            draw_name(canvas, &chart, kind, range.start, middle)?;
            let dot = |value: &f64| Circle::new((clamped(*value), middle), 3, BLUE.mix(0.35).filled());
            chart.draw_series(values.iter().map(dot)).map_err(draw_error)?;
            let mean = clamped(values.iter().sum::<f64>() / values.len().max(1) as f64);
            let bar = [(mean, middle - MEAN_BAR_HALF_HEIGHT), (mean, middle + MEAN_BAR_HALF_HEIGHT)];
            chart.draw_series([PathElement::new(bar, RED.stroke_width(3))]).map_err(draw_error)?;
        }
        Ok(())
    })
}

/// Mean difference of one kind of scenario, or of all kinds.
struct NamedEstimate<'a> {
    name: &'a str,
    estimate: Estimate,
}

/// Draws a line for each kind and one for all kinds, with the mean difference and its interval.
pub fn differences(comparison: &Comparison) -> Result<String> {
    let mut lines = Vec::new();
    for (name, estimate) in &comparison.kinds {
        lines.push(NamedEstimate { name, estimate: *estimate });
    }
    lines.push(NamedEstimate { name: "all", estimate: comparison.all });
    let limit = largest_bound(&lines) * 1.1;
    svg(WIDTH, plot_height(lines.len()), |canvas| {
        let caption = "Mean difference of the second experiment from the first, with its 95% interval";
        let mut chart = line_chart(canvas, caption, -limit..limit, lines.len())?;
        let zero = PathElement::new([(0.0, 0.0), (0.0, lines.len() as f64)], BLACK.stroke_width(1));
        chart.draw_series([zero]).map_err(draw_error)?;
        for (line, NamedEstimate { name, estimate }) in lines.iter().enumerate() {
            let middle = line_middle(lines.len(), line);
            let colour = difference_colour(estimate);
            draw_name(canvas, &chart, name, -limit, middle)?;
            let interval = [(estimate.low.max(-limit), middle), (estimate.high.min(limit), middle)];
            chart.draw_series([PathElement::new(interval, colour.stroke_width(3))]).map_err(draw_error)?;
            let mean = Circle::new((estimate.mean, middle), 5, colour.filled());
            chart.draw_series([mean]).map_err(draw_error)?;
        }
        Ok(())
    })
}

/// Returns the colour of a difference: green above zero, red below, grey where the interval contains zero.
fn difference_colour(estimate: &Estimate) -> RGBColor {
    if estimate.low > 0.0 {
        GREEN
    } else if estimate.high < 0.0 {
        RED
    } else {
        GREY
    }
}

/// Returns the largest finite bound of the intervals, in either direction.
fn largest_bound(lines: &[NamedEstimate<'_>]) -> f64 {
    let bounds = lines.iter().flat_map(|line| [line.estimate.low, line.estimate.high]);
    bounds.filter(|bound| bound.is_finite()).map(f64::abs).fold(MIN_DIFFERENCE_RANGE, f64::max)
}

/// Returns the height of a plot with this number of lines, in pixels.
fn plot_height(lines: usize) -> u32 {
    lines as u32 * LINE_HEIGHT + FRAME_HEIGHT
}

/// Returns the vertical coordinate of the middle of a line; line 0 is at the top.
fn line_middle(lines: usize, line: usize) -> f64 {
    lines as f64 - line as f64 - 0.5
}

/// Builds a chart of lines that have their names at the left.
fn line_chart<'a, 'b>(
    canvas: &'a Canvas<'b>,
    caption: &str,
    values: Range<f64>,
    lines: usize,
) -> Result<Chart<'a, 'b, RangedCoordf64>> {
    let mut chart = chart(canvas, caption, NAME_WIDTH, values, 0.0..lines as f64)?;
    chart.configure_mesh().disable_y_mesh().y_labels(0).label_style(LABEL_FONT).draw().map_err(draw_error)?;
    Ok(chart)
}

/// Writes the name of the line around `middle`, to the left of the axis at the value `axis`.
fn draw_name(
    canvas: &Canvas<'_>,
    chart: &Chart<'_, '_, RangedCoordf64>,
    name: &str,
    axis: f64,
    middle: f64,
) -> Result<()> {
    let (axis_pixel, middle_pixel) = chart.backend_coord(&(axis, middle));
    let position = (axis_pixel - NAME_TO_AXIS, middle_pixel - NAME_TOP_TO_MIDDLE);
    canvas.draw(&Text::new(name.to_owned(), position, LABEL_FONT)).map_err(draw_error)
}
