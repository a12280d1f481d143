//! `zincstand model report`.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;

use anyhow::{Context, Result, anyhow};
use clap::Args;
use zincstand_fleet_model::experiment::{Comparison, Row, scores};
use zincstand_fleet_model::play;
use zincstand_fleet_model::policy::Kind;

use super::compare::of_policy;
use super::{Source, compare, explain, plots, rows, tables};

/// Writes one HTML page.
#[derive(Args)]
pub struct Report {
    #[command(flatten)]
    source: Source,
    /// Who decides on the day
    #[arg(long, default_value = "module")]
    policy: Kind,
    /// Rows of an experiment: distribution of scores and results by kind
    #[arg(long)]
    experiment: Option<PathBuf>,
    /// Rows that the experiment is compared with
    #[arg(long, requires = "experiment")]
    against: Option<PathBuf>,
    /// Where the page goes
    #[arg(long, default_value = "report.html")]
    out: PathBuf,
}

const STYLE: &str = "body{font:15px/1.45 sans-serif;max-width:940px;margin:2em auto;padding:0 1em;color:#222}\
pre{font:13px/1.35 monospace;overflow-x:auto;background:#f6f6f4;padding:.8em}svg{max-width:100%;height:auto}\
h1{font-size:1.5em}h2{font-size:1.15em;margin-top:2em}";

pub fn run(args: &Report) -> Result<()> {
    let mut page = String::new();
    let day = args.source.day()?;
    let played = play(&day, args.policy, true)?;
    let head = tables::results(&day, &[(args.policy.name(), played.result.clone())]);
    section(&mut page, "The day", &head, &[plots::seconds(&played.detail.seconds)?]);
    let samples = &played.detail.servers;
    let drawn = [
        plots::servers(samples)?,
        plots::latencies(samples)?,
        plots::windows(samples)?,
        plots::breakers(samples)?,
    ];
    section(&mut page, "Servers, windows, breakers", "", &drawn);
    let lost = explain::sums(&played.detail.losses, |l| l.cause);
    let lost: Vec<String> =
        lost.iter().map(|(cause, worth)| format!("{:<22}{:.2}%", cause.name(), worth * 100.0)).collect();
    section(&mut page, "Where the worth went", &lost.join("\n"), &[]);
    if let Some(path) = &args.experiment {
        let all = rows(path)?;
        section(&mut page, "The experiment", &tables::experiment(&all), &spreads(&all)?);
        if let Some(before) = &args.against {
            let (a, b) = (of_policy(before, "module")?, of_policy(path, "module")?);
            let c = Comparison::of(&a, &b, |r| r.g).map_err(|e| anyhow!(e))?;
            section(&mut page, "Day by day", &compare::text(&c), &[plots::differences(&c)?]);
        }
    }
    let title = escape(&format!("{}, {}", day.name, args.policy.name()));
    let page = format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style>\n<h1>{title}</h1>\n{page}</html>\n"
    );
    std::fs::write(&args.out, page).with_context(|| format!("cannot write {}", args.out.display()))?;
    super::print(&format!("wrote {}", args.out.display()))
}

/// Scores by kind where floor and top are known, results otherwise.
fn spreads(all: &[Row]) -> Result<Vec<String>> {
    let group = |values: &mut dyn Iterator<Item = (&str, f64)>| {
        let mut groups: BTreeMap<String, Vec<f64>> = BTreeMap::new();
        for (kind, value) in values {
            groups.entry(kind.to_owned()).or_default().push(value);
        }
        groups.into_iter().collect::<Vec<_>>()
    };
    let scores = scores(all);
    let mut drawn = Vec::new();
    if !scores.is_empty() {
        let groups = group(&mut scores.iter().map(|(k, _, s)| (*k, *s)));
        drawn.push(plots::spread("The module's place between floor and top", &groups, (0.0, 1.0))?);
    }
    let mut module = all.iter().filter(|r| r.policy == "module").map(|r| (r.kind.as_str(), r.g));
    let groups = group(&mut module);
    if !groups.is_empty() {
        drawn.push(plots::spread("The module's result G", &groups, (0.0, 1.0))?);
    }
    Ok(drawn)
}

fn section(page: &mut String, title: &str, text: &str, plots: &[String]) {
    let _ = writeln!(page, "<h2>{}</h2>", escape(title));
    if !text.is_empty() {
        let _ = writeln!(page, "<pre>{}</pre>", escape(text));
    }
    for plot in plots {
        let _ = writeln!(page, "<p>{plot}</p>");
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
