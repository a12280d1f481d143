//! What all plots share: sizes, colours, fonts, axes and legend.

use std::ops::Range;

use anyhow::{Result, anyhow};
use plotters::chart::{ChartBuilder, ChartContext};
use plotters::coord::Shift;
use plotters::coord::ranged1d::AsRangedCoord;
use plotters::coord::types::RangedCoordf64;
use plotters::drawing::{DrawingArea, IntoDrawingArea};
use plotters::prelude::{Cartesian2d, SVGBackend, SeriesLabelPosition};
use plotters::style::{Color, RGBColor, WHITE};

/// Width of every plot, in pixels.
pub const WIDTH: u32 = 900;
/// Height of a plot over time, in pixels.
pub const TIMELINE_HEIGHT: u32 = 300;

/// Served in time; what a server holds.
pub const GREEN: RGBColor = RGBColor(46, 125, 80);
/// Served late; slow.
pub const YELLOW: RGBColor = RGBColor(232, 170, 50);
/// Rejected; warming up; a concurrency limit.
pub const BLUE: RGBColor = RGBColor(90, 120, 190);
/// Failed; choked; ejected.
pub const RED: RGBColor = RGBColor(200, 60, 50);
/// Down; undecided.
pub const GREY: RGBColor = RGBColor(150, 150, 150);

/// Font of labels.
pub const LABEL_FONT: (&str, u32) = ("sans-serif", 13);
/// Font of captions.
pub const CAPTION_FONT: (&str, u32) = ("sans-serif", 16);

const MARGIN: u32 = 8;
const X_LABEL_HEIGHT: u32 = 30;

/// What a plot is drawn on.
pub type Canvas<'a> = DrawingArea<SVGBackend<'a>, Shift>;
/// A chart whose x axis is continuous.
pub type Chart<'a, 'b, Y> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, Y>>;

/// Draws an SVG of this width and height, in pixels.
pub fn svg(width: u32, height: u32, draw: impl FnOnce(&Canvas<'_>) -> Result<()>) -> Result<String> {
    let mut text = String::new();
    {
        let canvas = SVGBackend::with_string(&mut text, (width, height)).into_drawing_area();
        canvas.fill(&WHITE).map_err(draw_error)?;
        draw(&canvas)?;
        canvas.present().map_err(draw_error)?;
    }
    Ok(text)
}

/// A chart with a caption and room for labels; `y_label_width` in pixels.
pub fn chart<'a, 'b, Y: AsRangedCoord>(
    canvas: &'a Canvas<'b>,
    caption: &str,
    y_label_width: u32,
    x: Range<f64>,
    y: Y,
) -> Result<Chart<'a, 'b, Y::CoordDescType>> {
    ChartBuilder::on(canvas)
        .caption(caption, CAPTION_FONT)
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_HEIGHT)
        .y_label_area_size(y_label_width)
        .build_cartesian_2d(x, y)
        .map_err(draw_error)
}

/// Draws the legend of the series that have a label.
pub fn draw_legend<'a, 'b: 'a, Y>(chart: &mut Chart<'a, 'b, Y>) -> Result<()>
where
    Y: plotters::coord::ranged1d::Ranged,
{
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .label_font(LABEL_FONT)
        .draw()
        .map_err(draw_error)
}

/// The error of a plot that cannot be drawn.
pub fn draw_error(error: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("cannot draw: {error}")
}
