//! The plot of concurrency limits and requests in flight, by tier.

use anyhow::Result;
use plotters::element::PathElement;
use plotters::series::LineSeries;
use plotters::style::{Color, RGBColor};
use zincstand_fleet_model::scoring::Sample;

use crate::model::plots::canvas::{BLUE, GREEN, draw_error};
use crate::model::plots::timeline::Timeline;

/// Width of a line, in pixels.
const LINE_WIDTH: u32 = 2;
/// Length of the line next to each name in the legend, in pixels.
const LEGEND_LINE_LENGTH: i32 = 14;

/// A named series of values over time.
struct TimeSeries {
    name: String,
    colour: RGBColor,
    /// One value for each second.
    values: Vec<f64>,
}

/// Draws, for a mean server of each tier, the sum of all balancers' concurrency limits and the requests in flight.
pub fn concurrency_limits(samples: &[Vec<Sample>]) -> Result<String> {
    let all_series = series_by_tier(samples);
    let highest = all_series.iter().flat_map(|series| &series.values).copied().fold(1.0, f64::max);
    let timeline = Timeline {
        caption: "Mean server by tier: sum of the balancers' concurrency limits, and requests in flight",
        seconds: samples.len(),
        requests: 0.0..highest * 1.25,
    };
    timeline.draw(|chart| {
        for TimeSeries { name, colour, values } in &all_series {
            let style = colour.stroke_width(LINE_WIDTH);
            let points = values.iter().enumerate().map(|(second, value)| (second as f64 + 0.5, *value));
            chart
                .draw_series(LineSeries::new(points, style))
                .map_err(draw_error)?
                .label(name.as_str())
                .legend(move |(left, middle)| {
                    PathElement::new([(left, middle), (left + LEGEND_LINE_LENGTH, middle)], style)
                });
        }
        Ok(())
    })
}

/// Returns the two series of each tier: concurrency limit and requests in flight.
fn series_by_tier(samples: &[Vec<Sample>]) -> Vec<TimeSeries> {
    let tiers = samples.iter().flatten().map(|sample| sample.tier + 1).max().unwrap_or(0);
    let mut all_series = Vec::new();
    for tier in 0..tiers {
        all_series.push(TimeSeries {
            name: format!("concurrency limit, tier {tier}"),
            colour: tier_shade(BLUE, tier),
            values: tier_means(samples, tier, |sample| sample.concurrency_limit),
        });
        all_series.push(TimeSeries {
            name: format!("in flight, tier {tier}"),
            colour: tier_shade(GREEN, tier),
            values: tier_means(samples, tier, |sample| f64::from(sample.in_flight)),
        });
    }
    all_series
}

/// Returns, for each second, the mean of `value` over the servers of the tier that are up.
fn tier_means(samples: &[Vec<Sample>], tier: usize, value: fn(&Sample) -> f64) -> Vec<f64> {
    let mean = |servers: &Vec<Sample>| {
        let up_in_tier = servers.iter().filter(|sample| sample.tier == tier && sample.up);
        let values: Vec<f64> = up_in_tier.map(value).collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    };
    samples.iter().map(mean).collect()
}

/// Returns the full colour for the first tier, and a paler shade for all other tiers.
fn tier_shade(colour: RGBColor, tier: usize) -> RGBColor {
    if tier == 0 {
        return colour;
    }
    let RGBColor(red, green, blue) = colour;
    RGBColor(red / 2 + 110, green / 2 + 110, blue / 2 + 110)
}
