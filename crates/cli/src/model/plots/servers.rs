//! Heat maps of a scenario's servers: a row for each server, a cell for each second.

use anyhow::Result;
use plotters::element::Rectangle;
use plotters::style::{Color, RGBAColor};
use zincstand_fleet_model::scoring::Sample;

use crate::model::plots::canvas::{
    BLUE, GREEN, GREY, LABEL_FONT, RED, WIDTH, YELLOW, chart, draw_error, svg,
};
use crate::model::plots::timeline::VALUE_LABEL_WIDTH;

/// Height of a server's row, in pixels.
const ROW_HEIGHT: u32 = 14;
/// Height of caption and axis together, in pixels.
const FRAME_HEIGHT: u32 = 80;
/// Maximum height of a plot, in pixels. The rows of a larger fleet are thinner.
const MAX_HEIGHT: u32 = 2_000;
/// Gap above and below a row, as a fraction of the row.
const ROW_GAP: f64 = 0.06;

/// Draws the state and the requests in flight of each server.
pub fn servers(samples: &[Vec<Sample>]) -> Result<String> {
    let highest = samples.iter().flatten().map(|sample| sample.in_flight).max().unwrap_or(1).max(1);
    let caption = "Requests in flight at each server (darker: more); red: choked, blue: warming up, grey: down or silent";
    heat_map(caption, samples, |sample| {
        let intensity = 0.08 + 0.92 * (f64::from(sample.in_flight) / f64::from(highest)).sqrt();
        match sample {
            Sample { up: false, .. } => GREY.mix(0.5),
            Sample { choked: true, .. } => RED.mix(intensity.max(0.3)),
            Sample { capacity_share, .. } if *capacity_share < 1.0 => BLUE.mix(intensity.max(0.2)),
            _ => GREEN.mix(intensity),
        }
    })
}

/// Draws the mean latency of each server's responses.
pub fn latencies(samples: &[Vec<Sample>]) -> Result<String> {
    let highest = samples.iter().flatten().map(|sample| sample.latency).fold(1.0, f64::max);
    let caption =
        format!("Mean latency of each server's responses (darker: slower, up to {:.1} s)", highest / 1e6);
    heat_map(&caption, samples, |sample| YELLOW.mix((sample.latency / highest).sqrt()))
}

/// Draws, for each server, how many balancers have opened their circuit breaker for it.
pub fn circuit_breakers(samples: &[Vec<Sample>]) -> Result<String> {
    let highest = samples.iter().flatten().map(|sample| sample.open_breakers).max().unwrap_or(0).max(1);
    heat_map("Balancers with an open circuit breaker for the server (darker: more)", samples, |sample| {
        RED.mix(f64::from(sample.open_breakers) / f64::from(highest))
    })
}

/// Draws a cell in the colour of each sample. `samples` has the samples of all servers for each second.
fn heat_map(caption: &str, samples: &[Vec<Sample>], colour: impl Fn(&Sample) -> RGBAColor) -> Result<String> {
    let servers = samples.iter().map(Vec::len).max().unwrap_or(0);
    let height = (servers as u32 * ROW_HEIGHT + FRAME_HEIGHT).min(MAX_HEIGHT);
    svg(WIDTH, height, |canvas| {
        let seconds = 0.0..samples.len() as f64;
        let rows = 0.0..servers.max(1) as f64;
        let mut chart = chart(canvas, caption, VALUE_LABEL_WIDTH, seconds, rows)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .x_desc("second")
            .y_desc("server")
            .label_style(LABEL_FONT)
            .y_label_formatter(&|server| format!("{server:.0}"))
            .draw()
            .map_err(draw_error)?;
        for (second, servers) in samples.iter().enumerate() {
            let cells = servers.iter().enumerate().map(|(server, sample)| {
                let left = second as f64;
                let bottom = server as f64;
                let corners = [(left, bottom + ROW_GAP), (left + 1.0, bottom + 1.0 - ROW_GAP)];
                Rectangle::new(corners, colour(sample).filled())
            });
            chart.draw_series(cells).map_err(draw_error)?;
        }
        Ok(())
    })
}
