//! Sizes, colours, fonts, axes and legend that all plots share.

use std::ops::Range;

use anyhow::{Result, anyhow};
use plotters::chart::{ChartBuilder, ChartContext};
use plotters::coord::Shift;
use plotters::coord::ranged1d::{AsRangedCoord, Ranged};
use plotters::coord::types::RangedCoordf64;
use plotters::drawing::{DrawingArea, IntoDrawingArea};
use plotters::prelude::{Cartesian2d, SVGBackend, SeriesLabelPosition};
use plotters::style::{Color, RGBColor, WHITE};

/// Width of every plot, in pixels.
pub const WIDTH: u32 = 900;
/// Height of a plot over time, in pixels.
pub const TIMELINE_HEIGHT: u32 = 300;

/// Colour of requests that were served in time or are in flight, and of differences above zero.
pub const GREEN: RGBColor = RGBColor(46, 125, 80);
/// Colour of requests that were served late, and of slow servers.
pub const YELLOW: RGBColor = RGBColor(232, 170, 50);
/// Colour of rejected requests, servers that are warming up, concurrency limits, and single values.
pub const BLUE: RGBColor = RGBColor(90, 120, 190);
/// Colour of failed requests, choked or ejected servers, means, and differences below zero.
pub const RED: RGBColor = RGBColor(200, 60, 50);
/// Colour of servers that are down, and of differences whose interval contains zero.
pub const GREY: RGBColor = RGBColor(150, 150, 150);

/// Font of labels.
pub const LABEL_FONT: (&str, u32) = ("sans-serif", 13);
/// Font of captions.
pub const CAPTION_FONT: (&str, u32) = ("sans-serif", 16);

/// Margin around a chart, in pixels.
const MARGIN: u32 = 8;
/// Height of the labels below the horizontal axis, in pixels.
const HORIZONTAL_LABEL_HEIGHT: u32 = 30;

/// Drawing area of a plot.
pub type Canvas<'a> = DrawingArea<SVGBackend<'a>, Shift>;
/// A chart whose horizontal axis is continuous; `Vertical` is the type of the other axis.
pub type Chart<'a, 'b, Vertical> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, Vertical>>;

/// Draws an SVG on a white background; `width` and `height` are in pixels.
///
/// # Errors
/// Fails with the error of `draw` or of the canvas.
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

/// Builds a chart with a caption and space for labels; `label_width` is the width of the vertical axis's labels, in
/// pixels.
pub fn chart<'a, 'b, Vertical: AsRangedCoord>(
    canvas: &'a Canvas<'b>,
    caption: &str,
    label_width: u32,
    horizontal: Range<f64>,
    vertical: Vertical,
) -> Result<Chart<'a, 'b, Vertical::CoordDescType>> {
    ChartBuilder::on(canvas)
        .caption(caption, CAPTION_FONT)
        .margin(MARGIN)
        .x_label_area_size(HORIZONTAL_LABEL_HEIGHT)
        .y_label_area_size(label_width)
        .build_cartesian_2d(horizontal, vertical)
        .map_err(draw_error)
}

/// Draws the legend of the series that have a label.
pub fn draw_legend<'a, 'b: 'a, Vertical: Ranged>(chart: &mut Chart<'a, 'b, Vertical>) -> Result<()> {
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .label_font(LABEL_FONT)
        .draw()
        .map_err(draw_error)
}

/// Converts an error of the plotting library, whose type depends on the canvas and its axes.
pub fn draw_error(error: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("cannot draw: {error}")
}
