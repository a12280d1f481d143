//! The commands of `zincstand model`, run as processes: arguments, output, exit status and error messages.

use std::path::PathBuf;
use std::process::{Command, Output};

fn run_model(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_zincstand");
    Command::new(program).arg("model").args(args).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Runs a command that must succeed, and returns its standard output.
fn stdout(args: &[&str]) -> String {
    let output = run_model(args);
    assert!(output.status.success(), "{args:?}: {}", text(&output.stderr));
    text(&output.stdout)
}

/// Runs a command that must fail with this exit status (2 for bad arguments, 1 for bad input), and returns its
/// standard error.
fn stderr(args: &[&str], status: i32) -> String {
    let output = run_model(args);
    assert_eq!(output.status.code(), Some(status), "{args:?}: {}", text(&output.stdout));
    let error = text(&output.stderr);
    assert!(!error.contains("panicked"), "{error}");
    error
}

/// Writes a file to the temporary directory of the tests, and returns its path.
fn temporary_file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

#[test]
fn a_printed_scenario_has_the_same_results_as_the_drawn_one() {
    let drawn = ["--kind", "hand+deploy", "--seed", "5", "--size", "small"];
    let scenario = stdout(&[&["scenario"], &drawn[..]].concat());
    let file = temporary_file("printed.toml", &scenario);
    let again = stdout(&["run", "--json", file.to_str().unwrap()]);
    assert_eq!(again, stdout(&[&["run", "--json"], &drawn[..]].concat()));
    assert_eq!(again.lines().count(), 6, "one line per policy");
}

/// An invalid line that replaces a line of a scenario file.
struct BadLine {
    /// Beginning of the line to replace.
    prefix: &'static str,
    /// The invalid line.
    replacement: &'static str,
    /// Text that the error message must contain.
    error: &'static str,
}

#[test]
fn errors_in_scenario_files_are_one_line_with_the_key_and_the_line_number() {
    let scenario = stdout(&["scenario", "--kind", "silent", "--size", "small"]);
    let cases = [
        BadLine { prefix: "rate = ", replacement: "rate = -3.0", error: "`load.rate`: must be above zero" },
        BadLine {
            prefix: "deadline = ",
            replacement: "deadline = \"0s\"",
            error: "needs a deadline above zero",
        },
        BadLine { prefix: "servers = ", replacement: "servers = [0, 0]", error: "a tier needs servers" },
        BadLine { prefix: "aim = ", replacement: "aim = \"-5ms\"", error: "a span with its unit" },
        BadLine { prefix: "cell_size = ", replacement: "cellsize = 4", error: "unknown field `cellsize`" },
        BadLine { prefix: "which = ", replacement: "which = [99]", error: "no such server" },
    ];
    for BadLine { prefix, replacement, error: expected } in cases {
        let index = scenario.lines().position(|line| line.starts_with(prefix)).unwrap();
        let line = scenario.lines().nth(index).unwrap();
        let file = temporary_file("wrong.toml", &scenario.replacen(line, replacement, 1));
        let error = stderr(&["run", file.to_str().unwrap()], 1);
        assert_eq!(error.lines().count(), 1, "{error}");
        let location = format!("line {}: ", index + 1);
        assert!(error.contains(expected) && error.contains(&location), "{replacement}, {location}: {error}");
    }
    let no_class: String = scenario.split("[[class]]").next().unwrap().to_owned();
    let error = stderr(&["run", temporary_file("no-class.toml", &no_class).to_str().unwrap()], 1);
    assert!(error.contains("class"), "{error}");
}

#[test]
fn errors_in_arguments_name_the_valid_values_or_the_bad_input() {
    assert!(stderr(&["run", "--policy", "best"], 2).contains("round-robin"));
    assert!(stderr(&["experiment", "--seeds", "9-3"], 2).contains("no seed"));
    assert!(stderr(&["run", "--kind", "quiet"], 1).contains("calm"));
    assert!(stderr(&["run", "/no/such/scenario.toml"], 1).contains("cannot read /no/such/scenario.toml"));
    let rows = temporary_file("no-rows.jsonl", "{\"label\":1}\n");
    let rows = rows.to_str().unwrap();
    assert!(stderr(&["compare", rows, rows], 1).contains("line 1"));
}

#[test]
fn experiments_are_compared_and_reported() {
    let rows = temporary_file("rows.jsonl", "");
    let rows = rows.to_str().unwrap();
    let table =
        stdout(&["experiment", "--kinds", "calm,silent", "--seeds", "4", "--size", "small", "--out", rows]);
    assert!(table.contains("silent") && table.contains("worst third"), "{table}");
    let unchanged = stdout(&["compare", "--json", rows, rows]);
    let unchanged: serde_json::Value = serde_json::from_str(&unchanged).unwrap();
    assert_eq!((unchanged["all"]["mean"].as_f64(), unchanged["all"]["count"].as_u64()), (Some(0.0), Some(8)));
    let improved = stdout(&["compare", "--json", "--policy-a", "random", rows, rows]);
    let improved: serde_json::Value = serde_json::from_str(&improved).unwrap();
    assert!(improved["all"]["low"].as_f64().unwrap() > 0.0, "the module beats random choice: {improved}");
    let page = temporary_file("page.html", "");
    let page = page.to_str().unwrap();
    let small = ["--kind", "silent", "--size", "small"];
    stdout(&[&["report", "--experiment", rows, "--against", rows, "--out", page], &small[..]].concat());
    let html = std::fs::read_to_string(page).unwrap();
    assert_eq!(
        html.matches("<svg").count(),
        8,
        "five plots of the scenario, two of scores, one of differences"
    );
    assert!(!html.contains("http://") || html.matches("http://").count() == html.matches("w3.org").count());
}
