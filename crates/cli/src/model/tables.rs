//! Tables of kinds and of a scenario's results, as text for the terminal.

use zincstand_fleet_model::ScenarioRun;
use zincstand_fleet_model::catalog::{self, Size};
use zincstand_fleet_model::policy::Kind;
use zincstand_fleet_model::scenario::Scenario;
use zincstand_fleet_model::scoring;

use crate::model::columns::{Column, format_table, new_table};

/// Result of a scenario with one policy.
pub struct PolicyResult {
    /// Name of the policy.
    pub policy: &'static str,
    /// Score of the scenario's run with this policy.
    pub result: scoring::Score,
}

/// Lists the parts of kinds, the sizes, the policies, and the kinds that an experiment runs by default.
pub fn kinds() -> String {
    let mut parts = new_table(&["part", "description"], 2);
    for (name, description) in catalog::PARTS {
        parts.add_row([name, description]);
    }
    let sizes: Vec<&str> = Size::ALL.iter().map(|size| size.name()).collect();
    let policies: Vec<&str> = Kind::ALL.iter().map(|policy| policy.name()).collect();
    format!(
        "{parts}\n\nJoin parts with +, such as upgrade+hand.\nSizes: {}\nPolicies: {}\n\
         Kinds of an experiment by default: {}",
        sizes.join(", "),
        policies.join(", "),
        catalog::STANDARD.join(", ")
    )
}

/// Columns of the table of a scenario's results.
const RESULT_COLUMNS: [Column<PolicyResult>; 14] = [
    Column { title: "policy", cell: |row| row.policy.to_owned() },
    Column { title: "G", cell: |row| format!("{:.3}", row.result.g) },
    Column { title: "total", cell: |row| format!("{:.3}", row.result.total) },
    Column {
        title: "worst 10 s",
        cell: |row| format!("{:.3} at {} s", row.result.worst_window, row.result.worst_window_start),
    },
    Column { title: "class", cell: |row| format!("{:.3}", row.result.worst_class) },
    Column { title: "tenant", cell: |row| format!("{:.3}", row.result.worst_tenant) },
    Column { title: "prices", cell: |row| format!("{:.3}", row.result.prices) },
    Column { title: "served", cell: |row| row.result.ends.served.to_string() },
    Column { title: "late", cell: |row| row.result.ends.late.to_string() },
    Column { title: "rejected", cell: |row| row.result.ends.rejected.to_string() },
    Column { title: "failed", cell: |row| row.result.ends.failed.to_string() },
    Column { title: "attempts per request", cell: |row| format!("{:.2}", attempts_per_request(&row.result)) },
    Column { title: "choked", cell: |row| row.result.choked.to_string() },
    Column { title: "rules broken", cell: |row| row.result.breach_count.to_string() },
];

/// Returns the number of requests and clients' retries together, divided by the number of requests.
fn attempts_per_request(result: &scoring::Score) -> f64 {
    let attempts = result.requests + result.client_retries;
    attempts as f64 / result.requests.max(1) as f64
}

/// Formats the result of a scenario's run with one policy, and its first broken rule.
pub fn result_of_run(scenario: &Scenario, policy: Kind, run: &ScenarioRun) -> String {
    results(scenario, &[PolicyResult { policy: policy.name(), result: run.result.clone() }])
}

/// Formats a scenario's results, a line for each policy, and the first broken rule of each policy.
pub fn results(scenario: &Scenario, results: &[PolicyResult]) -> String {
    let breaches: String = results.iter().map(first_breach).collect();
    format!(
        "{}: {:.0} s, {:.0} requests per second\n{}\n{breaches}",
        scenario.name,
        scenario.length.secs(),
        scenario.load.rate,
        format_table(&RESULT_COLUMNS, 1, results)
    )
}

/// Formats the first broken rule with the events before it. Returns an empty text if no rule was broken.
fn first_breach(PolicyResult { policy, result }: &PolicyResult) -> String {
    let Some(breach) = result.breaches.first() else {
        return String::new();
    };
    let (tier, balancer) = breach.balancer;
    format!(
        "\n{policy}, at {:.3} s, balancer {balancer} of tier {tier}: rule {:?}: {}\n  {}\n",
        breach.at as f64 / 1e6,
        breach.rule,
        breach.description,
        breach.preceding_events.join("\n  ")
    )
}
