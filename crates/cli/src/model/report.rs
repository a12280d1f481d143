//! `zincstand model report`: one HTML page with plots of a scenario and of experiments.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, anyhow};
use clap::Args;
use zincstand_fleet_model::experiment::{Comparison, Row, scores};
use zincstand_fleet_model::policy::Kind;
use zincstand_fleet_model::{ScenarioRun, run_scenario};

use crate::model::experiment::{read_rows, read_rows_of_policy};
use crate::model::experiment_table::experiment_table;
use crate::model::output::print;
use crate::model::plots::{self, KindValues};
use crate::model::source::ScenarioSource;
use crate::model::{compare, explain, tables};

/// Policy whose rows are drawn and compared.
const REPORTED_POLICY: &str = "module";
/// Range of the axis of scores and results.
const SCORE_RANGE: std::ops::Range<f64> = 0.0..1.0;

/// Arguments of `zincstand model report`.
#[derive(Args)]
pub struct ReportArgs {
    #[command(flatten)]
    source: ScenarioSource,
    /// Policy of every balancer
    #[arg(long, default_value = "module")]
    policy: Kind,
    /// Rows of an experiment, whose scores and results are drawn by kind
    #[arg(long)]
    experiment: Option<PathBuf>,
    /// Rows of the baseline that the experiment is compared with
    #[arg(long, requires = "experiment")]
    against: Option<PathBuf>,
    /// Write the page to this file
    #[arg(long, default_value = "report.html")]
    out: PathBuf,
}

/// Style sheet that is embedded in the page, so that the page does not depend on another file.
const STYLE: &str = "body{font:15px/1.45 sans-serif;max-width:940px;margin:2em auto;padding:0 1em;color:#222}\
pre{font:13px/1.35 monospace;overflow-x:auto;background:#f6f6f4;padding:.8em}svg{max-width:100%;height:auto}\
h1{font-size:1.5em}h2{font-size:1.15em;margin-top:2em}";

/// Runs the scenario, draws it and the experiments, and writes the page.
///
/// # Errors
/// Fails if the scenario or a file of rows cannot be read, or if the page cannot be written.
pub fn run(args: &ReportArgs) -> Result<()> {
    let scenario = args.source.scenario()?;
    let run = run_scenario(&scenario, args.policy, true)?;
    let title = escape(&format!("{}, {}", scenario.name, args.policy.name()));
    let result = tables::result_of_run(&scenario, args.policy, &run);
    let mut sections = scenario_sections(&run, &result)?;
    if let Some(path) = &args.experiment {
        sections.push_str(&experiment_section(path)?);
        if let Some(baseline) = &args.against {
            sections.push_str(&comparison_section(baseline, path)?);
        }
    }
    let page = format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style>\n<h1>{title}</h1>\n{sections}</html>\n"
    );
    std::fs::write(&args.out, page).with_context(|| format!("cannot write {}", args.out.display()))?;
    print(&format!("wrote {}", args.out.display()))
}

/// Formats the sections of a scenario: its result, its servers and its losses.
fn scenario_sections(run: &ScenarioRun, result: &str) -> Result<String> {
    let samples = &run.detail.servers;
    let server_plots = [
        plots::servers(samples)?,
        plots::latencies(samples)?,
        plots::concurrency_limits(samples)?,
        plots::circuit_breakers(samples)?,
    ];
    let mut losses = Vec::new();
    for sum in explain::sum_by(&run.detail.losses, |loss| loss.cause) {
        losses.push(format!("{:<22}{}", sum.key.name(), explain::percent(sum.utility)));
    }
    let mut sections = section("The scenario", result, &[plots::requests_by_outcome(&run.detail.seconds)?]);
    sections.push_str(&section("Servers, concurrency limits, circuit breakers", "", &server_plots));
    sections.push_str(&section("Utility lost by cause", &losses.join("\n"), &[]));
    Ok(sections)
}

/// Formats the section of an experiment: its table and the plots of its scores and results.
fn experiment_section(path: &Path) -> Result<String> {
    let rows = read_rows(path)?;
    Ok(section("The experiment", &experiment_table(&rows), &score_plots(&rows)?))
}

/// Formats the section that compares the rows of two experiments.
fn comparison_section(baseline: &Path, candidate: &Path) -> Result<String> {
    let baseline = read_rows_of_policy(baseline, REPORTED_POLICY)?;
    let candidate = read_rows_of_policy(candidate, REPORTED_POLICY)?;
    let comparison = Comparison::of(&baseline, &candidate, |row| row.g).map_err(|error| anyhow!(error))?;
    let plot = plots::differences(&comparison)?;
    Ok(section("Scenario by scenario", &compare::format_comparison(&comparison), &[plot]))
}

/// Draws the scores by kind, if the rows have both bounds of a score, and the results by kind.
fn score_plots(rows: &[Row]) -> Result<Vec<String>> {
    let scores = scores(rows);
    let scores = values_by_kind(&scores, |score| score.kind, |score| score.score);
    let reported = rows.iter().filter(|row| row.policy == REPORTED_POLICY);
    let results = values_by_kind(reported, |row| &row.kind, |row| row.g);
    let mut svgs = Vec::new();
    if !scores.is_empty() {
        svgs.push(plots::spread(
            "Score of the module: its position between lower and upper bound",
            &scores,
            SCORE_RANGE,
        )?);
    }
    if !results.is_empty() {
        svgs.push(plots::spread("Result G of the module", &results, SCORE_RANGE)?);
    }
    Ok(svgs)
}

/// Groups the values of the entries by their kind, in alphabetical order of the kinds.
fn values_by_kind<'a, Entry: 'a>(
    entries: impl IntoIterator<Item = &'a Entry>,
    kind: fn(&'a Entry) -> &'a str,
    value: fn(&Entry) -> f64,
) -> Vec<KindValues> {
    let mut by_kind: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for entry in entries {
        by_kind.entry(kind(entry)).or_default().push(value(entry));
    }
    let named = |(kind, values): (&str, Vec<f64>)| KindValues { kind: kind.to_owned(), values };
    by_kind.into_iter().map(named).collect()
}

/// Formats a section of the page: a heading, preformatted text unless it is empty, and plots.
fn section(title: &str, text: &str, plots: &[String]) -> String {
    let mut section = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(section, "<h2>{}</h2>", escape(title));
    if !text.is_empty() {
        let _ = writeln!(section, "<pre>{}</pre>", escape(text));
    }
    for plot in plots {
        let _ = writeln!(section, "<p>{plot}</p>");
    }
    section
}

/// Escapes the characters that have a special meaning in HTML text.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
