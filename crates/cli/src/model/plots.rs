//! Plots, as SVG.

use anyhow::{Result, anyhow};
use plotters::coord::Shift;
use plotters::prelude::*;
use zincstand_fleet_model::experiment::Comparison;
use zincstand_fleet_model::scoring::{Sample, Second};

const WIDE: (u32, u32) = (900, 300);
const SERVED: RGBColor = RGBColor(46, 125, 80);
const LATE: RGBColor = RGBColor(232, 170, 50);
const REFUSED: RGBColor = RGBColor(90, 120, 190);
const FAILED: RGBColor = RGBColor(200, 60, 50);
const GREY: RGBColor = RGBColor(150, 150, 150);
const TEXT: (&str, u32) = ("sans-serif", 13);
const CAPTION: (&str, u32) = ("sans-serif", 16);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn svg(size: (u32, u32), draw: impl FnOnce(&Area<'_>) -> Result<()>) -> Result<String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        area.fill(&WHITE).map_err(fault)?;
        draw(&area)?;
        area.present().map_err(fault)?;
    }
    Ok(text)
}

fn fault(e: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("cannot draw: {e}")
}

/// Ends of requests, second by second, one on top of the other.
pub fn seconds(seconds: &[Second]) -> Result<String> {
    let most = seconds.iter().map(|s| s.served + s.late + s.refused + s.failed).max().unwrap_or(1).max(1);
    svg(WIDE, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption("Requests by the second in which they arrived", CAPTION)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(46)
            .build_cartesian_2d(0f64..seconds.len() as f64, 0u32..most + most / 4 + 1)
            .map_err(fault)?;
        let mesh = &mut chart.configure_mesh();
        mesh.x_desc("second").y_desc("requests").label_style(TEXT).draw().map_err(fault)?;
        type Part = (&'static str, RGBColor, fn(&Second) -> (u32, u32));
        let parts: [Part; 4] = [
            ("served", SERVED, |s| (0, s.served)),
            ("late", LATE, |s| (s.served, s.late)),
            ("refused", REFUSED, |s| (s.served + s.late, s.refused)),
            ("failed", FAILED, |s| (s.served + s.late + s.refused, s.failed)),
        ];
        for (name, colour, part) in parts {
            let bars = seconds.iter().enumerate().map(|(i, s)| {
                let (from, count) = part(s);
                Rectangle::new([(i as f64, from), (i as f64 + 1.0, from + count)], colour.filled())
            });
            let series = chart.draw_series(bars).map_err(fault)?;
            series
                .label(name)
                .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
        }
        let labels = &mut chart.configure_series_labels();
        labels.position(SeriesLabelPosition::UpperRight).background_style(WHITE.mix(0.8));
        labels.label_font(TEXT).draw().map_err(fault)
    })
}

/// A row for each server, a field for each second.
fn fields(caption: &str, samples: &[Vec<Sample>], colour: impl Fn(&Sample) -> RGBAColor) -> Result<String> {
    let servers = samples.iter().map(Vec::len).max().unwrap_or(0);
    let height = (servers as u32 * 14 + 80).min(2_000);
    svg((WIDE.0, height), |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(caption, CAPTION)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(46)
            .build_cartesian_2d(0f64..samples.len() as f64, 0f64..servers.max(1) as f64)
            .map_err(fault)?;
        let mesh = &mut chart.configure_mesh();
        mesh.disable_mesh().x_desc("second").y_desc("server").label_style(TEXT);
        mesh.y_label_formatter(&|y| format!("{y:.0}")).draw().map_err(fault)?;
        for (second, row) in samples.iter().enumerate() {
            let boxes = row.iter().enumerate().map(|(server, sample)| {
                let (x, y) = (second as f64, server as f64);
                Rectangle::new([(x, y + 0.06), (x + 1.0, y + 0.94)], colour(sample).filled())
            });
            chart.draw_series(boxes).map_err(fault)?;
        }
        Ok(())
    })
}

/// What each server holds, and its state: down, cold, choked.
pub fn servers(samples: &[Vec<Sample>]) -> Result<String> {
    let most = samples.iter().flatten().map(|s| s.held).max().unwrap_or(1).max(1) as f64;
    fields(
        "Requests held by each server: the darker the more; red choked, blue cold, grey down or silent",
        samples,
        |s| {
            let depth = 0.08 + 0.92 * (f64::from(s.held) / most).sqrt();
            match s {
                Sample { up: false, .. } => GREY.mix(0.5),
                Sample { choked: true, .. } => FAILED.mix(depth.max(0.3)),
                Sample { share, .. } if *share < 1.0 => REFUSED.mix(depth.max(0.2)),
                _ => SERVED.mix(depth),
            }
        },
    )
}

/// Mean latency of each server's answers.
pub fn latencies(samples: &[Vec<Sample>]) -> Result<String> {
    let most = samples.iter().flatten().map(|s| s.latency).fold(1.0, f64::max);
    let caption =
        format!("Mean latency of each server's answers: the darker the slower, up to {:.1} s", most / 1e6);
    fields(&caption, samples, |s| LATE.mix((s.latency / most).sqrt()))
}

/// How many balancers have a breaker open for each server.
pub fn breakers(samples: &[Vec<Sample>]) -> Result<String> {
    let most = samples.iter().flatten().map(|s| s.open).max().unwrap_or(0).max(1) as f64;
    fields("Balancers whose breaker for the server is open: the darker the more", samples, |s| {
        FAILED.mix(f64::from(s.open) / most)
    })
}

/// The window of each tier's servers: places that all balancers together give one.
pub fn windows(samples: &[Vec<Sample>]) -> Result<String> {
    let tiers = samples.iter().flatten().map(|s| s.tier + 1).max().unwrap_or(0);
    let mean = |row: &[Sample], tier: usize, value: fn(&Sample) -> f64| {
        let own: Vec<f64> = row.iter().filter(|s| s.tier == tier && s.up).map(value).collect();
        own.iter().sum::<f64>() / own.len().max(1) as f64
    };
    let lines: Vec<(String, RGBColor, Vec<f64>)> = (0..tiers)
        .flat_map(|tier| {
            let line = |name: &str, colour, value| {
                let points = samples.iter().map(|row| mean(row, tier, value)).collect();
                (format!("{name}, tier {tier}"), colour, points)
            };
            let shade = |c: RGBColor| {
                if tier == 0 { c } else { RGBColor(c.0 / 2 + 110, c.1 / 2 + 110, c.2 / 2 + 110) }
            };
            [
                line("window", shade(REFUSED), |s: &Sample| s.window),
                line("in flight", shade(SERVED), |s: &Sample| f64::from(s.held)),
            ]
        })
        .collect();
    let top = lines.iter().flat_map(|l| &l.2).fold(1.0, |a: f64, b| a.max(*b));
    svg(WIDE, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption("A mean server: the window that all balancers give it, and what it holds", CAPTION)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(46)
            .build_cartesian_2d(0f64..samples.len() as f64, 0f64..top * 1.25)
            .map_err(fault)?;
        let mesh = &mut chart.configure_mesh();
        mesh.x_desc("second").y_desc("requests").label_style(TEXT).draw().map_err(fault)?;
        for (name, colour, points) in &lines {
            let line = points.iter().enumerate().map(|(i, y)| (i as f64 + 0.5, *y));
            let series = chart.draw_series(LineSeries::new(line, colour.stroke_width(2))).map_err(fault)?;
            let colour = *colour;
            series
                .label(name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2)));
        }
        let labels = &mut chart.configure_series_labels();
        labels.position(SeriesLabelPosition::UpperRight).background_style(WHITE.mix(0.8));
        labels.label_font(TEXT).draw().map_err(fault)
    })
}

/// One line a group: each value a dot, the mean a bar.
pub fn spread(caption: &str, groups: &[(String, Vec<f64>)], range: (f64, f64)) -> Result<String> {
    let height = groups.len() as u32 * 24 + 90;
    svg((WIDE.0, height), |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(caption, CAPTION)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(130)
            .build_cartesian_2d(range.0..range.1, 0f64..groups.len().max(1) as f64)
            .map_err(fault)?;
        let mesh = &mut chart.configure_mesh();
        mesh.disable_y_mesh().y_labels(0).label_style(TEXT).draw().map_err(fault)?;
        for (line, (name, values)) in groups.iter().enumerate() {
            let y = groups.len() as f64 - line as f64 - 0.5;
            let x = |v: f64| v.clamp(range.0, range.1);
            let (left, top) = chart.backend_coord(&(range.0, y));
            area.draw(&Text::new(name.clone(), (left - 125, top - 6), TEXT)).map_err(fault)?;
            let dots = values.iter().map(|v| Circle::new((x(*v), y), 3, REFUSED.mix(0.35).filled()));
            chart.draw_series(dots).map_err(fault)?;
            let mean = x(values.iter().sum::<f64>() / values.len().max(1) as f64);
            let bar = PathElement::new([(mean, y - 0.35), (mean, y + 0.35)], FAILED.stroke_width(3));
            chart.draw_series([bar]).map_err(fault)?;
        }
        Ok(())
    })
}

/// Mean differences with their intervals, a line a kind.
pub fn differences(c: &Comparison) -> Result<String> {
    let mut lines: Vec<(&str, _)> = c.kinds.iter().map(|(k, e)| (k.as_str(), *e)).collect();
    lines.push(("all", c.all));
    let finite = |x: f64| if x.is_finite() { x.abs() } else { 0.0 };
    let most = lines.iter().map(|(_, e)| finite(e.low).max(finite(e.high))).fold(0.001, f64::max) * 1.1;
    let height = lines.len() as u32 * 24 + 90;
    svg((WIDE.0, height), |area| {
        let mut chart = ChartBuilder::on(area)
            .caption("What the second does better, with its 95% interval", CAPTION)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(130)
            .build_cartesian_2d(-most..most, 0f64..lines.len() as f64)
            .map_err(fault)?;
        let mesh = &mut chart.configure_mesh();
        mesh.disable_y_mesh().y_labels(0).label_style(TEXT).draw().map_err(fault)?;
        let zero = PathElement::new([(0.0, 0.0), (0.0, lines.len() as f64)], BLACK.stroke_width(1));
        chart.draw_series([zero]).map_err(fault)?;
        for (line, (name, e)) in lines.iter().enumerate() {
            let y = lines.len() as f64 - line as f64 - 0.5;
            let colour = match e {
                e if e.low > 0.0 => SERVED,
                e if e.high < 0.0 => FAILED,
                _ => GREY,
            };
            let (left, top) = chart.backend_coord(&(-most, y));
            area.draw(&Text::new((*name).to_owned(), (left - 125, top - 6), TEXT)).map_err(fault)?;
            let ends = [(e.low.max(-most), y), (e.high.min(most), y)];
            chart.draw_series([PathElement::new(ends, colour.stroke_width(3))]).map_err(fault)?;
            chart.draw_series([Circle::new((e.mean, y), 5, colour.filled())]).map_err(fault)?;
        }
        Ok(())
    })
}
