//! Frame of the plots over the seconds of a scenario: caption, axes and legend.

use std::ops::Range;

use anyhow::Result;
use plotters::coord::ranged1d::{AsRangedCoord, ValueFormatter};

use crate::model::plots::canvas::{
    Chart, LABEL_FONT, TIMELINE_HEIGHT, WIDTH, chart, draw_error, draw_legend, svg,
};

/// Width of the labels at the left of the vertical axis, in pixels.
pub const VALUE_LABEL_WIDTH: u32 = 46;

/// Caption and axes of a plot of request counts over the seconds of a scenario.
pub struct Timeline<'a, Value> {
    /// Caption of the plot.
    pub caption: &'a str,
    /// Number of seconds on the horizontal axis.
    pub seconds: usize,
    /// Range of the vertical axis, in requests.
    pub requests: Range<Value>,
}

impl<Value> Timeline<'_, Value>
where
    Range<Value>: AsRangedCoord<Value = Value>,
    <Range<Value> as AsRangedCoord>::CoordDescType: ValueFormatter<Value>,
{
    /// Draws the frame, the series that `draw_series` adds, and their legend, as an SVG.
    pub fn draw(
        self,
        draw_series: impl FnOnce(&mut Chart<'_, '_, <Range<Value> as AsRangedCoord>::CoordDescType>) -> Result<()>,
    ) -> Result<String> {
        svg(WIDTH, TIMELINE_HEIGHT, |canvas| {
            let seconds = 0.0..self.seconds as f64;
            let mut chart = chart(canvas, self.caption, VALUE_LABEL_WIDTH, seconds, self.requests)?;
            chart
                .configure_mesh()
                .x_desc("second")
                .y_desc("requests")
                .label_style(LABEL_FONT)
                .draw()
                .map_err(draw_error)?;
            draw_series(&mut chart)?;
            draw_legend(&mut chart)
        })
    }
}
