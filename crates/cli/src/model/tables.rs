//! Tables on the terminal.

use std::collections::BTreeMap;

use anyhow::Result;
use comfy_table::{CellAlignment, Table, presets};
use zincstand_fleet_model::catalog::{self, Size};
use zincstand_fleet_model::experiment::{Row, scores};
use zincstand_fleet_model::policy::Kind;
use zincstand_fleet_model::scenario::Scenario;
use zincstand_fleet_model::scoring;

/// A table without lines, figures to the right.
pub fn table(head: &[&str], words: usize) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(head.iter().copied());
    for column in table.column_iter_mut().skip(words) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

pub fn kinds() -> Result<()> {
    let mut parts = table(&["part", "what happens"], 2);
    for (name, what) in catalog::PARTS {
        parts.add_row([name, what]);
    }
    let sizes: Vec<&str> = Size::ALL.iter().map(|s| s.name()).collect();
    let policies: Vec<&str> = Kind::ALL.iter().map(|k| k.name()).collect();
    super::print(&format!(
        "{parts}\n\nJoin parts with +, such as upgrade+hand.\nSizes: {}\nPolicies: {}\nAn experiment plays: {}",
        sizes.join(", "),
        policies.join(", "),
        catalog::STANDARD.join(", ")
    ))
}

/// A day's figures, a line a policy.
pub fn results(day: &Scenario, results: &[(&str, scoring::Result)]) -> String {
    let mut t = table(
        &[
            "policy",
            "G",
            "whole",
            "worst 10 s",
            "class",
            "tenant",
            "prices",
            "served",
            "late",
            "refused",
            "failed",
            "tries a request",
            "choked",
            "rules broken",
        ],
        1,
    );
    let mut breaches = String::new();
    for (policy, r) in results {
        let per = |n: u64| n as f64 / r.requests.max(1) as f64;
        t.add_row([
            (*policy).to_owned(),
            format!("{:.3}", r.g),
            format!("{:.3}", r.whole),
            format!("{:.3} at {} s", r.worst_window, r.worst_at),
            format!("{:.3}", r.worst_class),
            format!("{:.3}", r.worst_tenant),
            format!("{:.3}", r.prices),
            r.ends.served.to_string(),
            r.ends.late.to_string(),
            r.ends.refused.to_string(),
            r.ends.failed.to_string(),
            format!("{:.2}", per(r.requests + r.client_retries)),
            r.choked.to_string(),
            r.broken.to_string(),
        ]);
        for b in r.breaches.iter().take(1) {
            let (tier, number) = b.balancer;
            breaches += &format!(
                "\n{policy}, at {:.3} s, balancer {number} of tier {tier}: rule {:?}: {}\n  {}\n",
                b.at as f64 / 1e6,
                b.rule,
                b.what,
                b.before.join("\n  ")
            );
        }
    }
    format!(
        "{}: {:.0} s, {:.0} requests a second\n{t}\n{breaches}",
        day.name,
        day.length.secs(),
        day.load.rate
    )
}

/// Means by kind and policy, and where the module stands between floor and top.
pub fn experiment(rows: &[Row]) -> String {
    let mut policies: Vec<&str> = Vec::new();
    let mut by_kind: BTreeMap<&str, BTreeMap<&str, Vec<&Row>>> = BTreeMap::new();
    for row in rows {
        if !policies.contains(&row.policy.as_str()) {
            policies.push(&row.policy);
        }
        by_kind.entry(&row.kind).or_default().entry(&row.policy).or_default().push(row);
    }
    let mean = |rows: &[&Row]| rows.iter().map(|r| r.g).sum::<f64>() / rows.len().max(1) as f64;
    let scores = scores(rows);
    let mut head = vec!["kind", "days"];
    head.extend(&policies);
    head.extend(["score", "worst third", "under 0.5", "rules broken"]);
    let mut t = table(&head, 1);
    let mut line = |name: &str, rows: &BTreeMap<&str, Vec<&Row>>| {
        let days = rows.values().map(Vec::len).max().unwrap_or(0);
        let mut cells = vec![name.to_owned(), days.to_string()];
        for p in &policies {
            cells.push(rows.get(p).map_or("-".to_owned(), |r| format!("{:.3}", mean(r))));
        }
        let mut own: Vec<f64> =
            scores.iter().filter(|(k, ..)| name == "all" || *k == name).map(|s| s.2).collect();
        own.sort_by(f64::total_cmp);
        let third = own.len().div_ceil(3);
        let average = |v: &[f64]| v.iter().sum::<f64>() / v.len().max(1) as f64;
        if own.is_empty() {
            cells.extend(["-".to_owned(), "-".to_owned(), "-".to_owned()]);
        } else {
            cells.push(format!("{:.3}", average(&own)));
            cells.push(format!("{:.3}", average(&own[..third])));
            cells.push(own.iter().filter(|s| **s < 0.5).count().to_string());
        }
        let broken = rows.get("module").map_or(0, |r| r.iter().filter(|r| r.broken > 0).count());
        cells.push(broken.to_string());
        t.add_row(cells);
    };
    let mut all: BTreeMap<&str, Vec<&Row>> = BTreeMap::new();
    for (kind, rows) in &by_kind {
        line(kind, rows);
        for (policy, rows) in rows {
            all.entry(policy).or_default().extend(rows);
        }
    }
    line("all", &all);
    format!("{t}\n(mean G by policy; the module's score is its place between floor and top of the day)")
}
