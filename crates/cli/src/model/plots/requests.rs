//! The plot of a scenario's requests by their outcome.

use anyhow::Result;
use plotters::element::Rectangle;
use plotters::style::{Color, RGBColor};
use zincstand_fleet_model::scoring::Second;

use crate::model::plots::canvas::{BLUE, GREEN, RED, YELLOW, draw_error};
use crate::model::plots::timeline::Timeline;

/// Half the height of a colour sample in the legend, in pixels.
const LEGEND_HALF_HEIGHT: i32 = 5;
/// Width of a colour sample in the legend, in pixels.
const LEGEND_WIDTH: i32 = 12;

/// Segment of each second's bar: the requests of one outcome.
struct BarSegment {
    name: &'static str,
    colour: RGBColor,
    count: fn(&Second) -> u32,
}

/// Segments of a bar, from bottom to top.
const BAR_SEGMENTS: [BarSegment; 4] = [
    BarSegment { name: "served", colour: GREEN, count: |second| second.served },
    BarSegment { name: "late", colour: YELLOW, count: |second| second.late },
    BarSegment { name: "rejected", colour: BLUE, count: |second| second.rejected },
    BarSegment { name: "failed", colour: RED, count: |second| second.failed },
];

/// Draws a bar for each second: the numbers of requests by outcome, stacked.
pub fn requests_by_outcome(seconds: &[Second]) -> Result<String> {
    let total = |second: &Second| BAR_SEGMENTS.iter().map(|segment| (segment.count)(second)).sum::<u32>();
    let highest = seconds.iter().map(total).max().unwrap_or(1).max(1);
    let timeline = Timeline {
        caption: "Requests by the second in which they arrived",
        seconds: seconds.len(),
        requests: 0u32..highest + highest / 4 + 1,
    };
    timeline.draw(|chart| {
        let mut tops = vec![0; seconds.len()];
        for BarSegment { name, colour, count } in BAR_SEGMENTS {
            let bars = seconds.iter().zip(&mut tops).enumerate().map(|(index, (second, top))| {
                let bottom = *top;
                *top += count(second);
                let left = index as f64;
                Rectangle::new([(left, bottom), (left + 1.0, *top)], colour.filled())
            });
            chart.draw_series(bars).map_err(draw_error)?.label(name).legend(move |(left, middle)| {
                let top_left = (left, middle - LEGEND_HALF_HEIGHT);
                let bottom_right = (left + LEGEND_WIDTH, middle + LEGEND_HALF_HEIGHT);
                Rectangle::new([top_left, bottom_right], colour.filled())
            });
        }
        Ok(())
    })
}
