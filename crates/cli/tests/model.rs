//! `zincstand model` as its users type it.

use std::path::PathBuf;
use std::process::{Command, Output};

fn zincstand(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_zincstand");
    Command::new(program).arg("model").args(args).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn ok(args: &[&str]) -> String {
    let out = zincstand(args);
    assert!(out.status.success(), "{args:?}: {}", text(&out.stderr));
    text(&out.stdout)
}

/// What a run that must fail says: one line, and a status that tells bad use from bad input.
fn error(args: &[&str], status: i32) -> String {
    let out = zincstand(args);
    assert_eq!(out.status.code(), Some(status), "{args:?}: {}", text(&out.stdout));
    let said = text(&out.stderr);
    assert!(!said.contains("panicked"), "{said}");
    said
}

fn scratch(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

#[test]
fn a_printed_day_plays_as_the_drawn_one() {
    let drawn = ["--kind", "hand+deploy", "--seed", "5", "--size", "small"];
    let day = ok(&[&["day"], &drawn[..]].concat());
    let file = scratch("printed.toml", &day);
    let again = ok(&["run", "--json", file.to_str().unwrap()]);
    assert_eq!(again, ok(&[&["run", "--json"], &drawn[..]].concat()));
    assert_eq!(again.lines().count(), 6, "a line a policy");
}

#[test]
fn bad_days_get_one_line_that_names_key_and_line() {
    let day = ok(&["day", "--kind", "silent", "--size", "small"]);
    let line = |day: &str, of: &str| day.lines().position(|l| l.starts_with(of)).unwrap() + 1;
    let cases = [
        ("rate = ", "rate = -3.0", "`load.rate`: must be above zero"),
        ("deadline = ", "deadline = \"0s\"", "needs a deadline above zero"),
        ("servers = ", "servers = [0, 0]", "a tier needs servers"),
        ("aim = ", "aim = \"-5ms\"", "a span with its unit"),
        ("cell_size = ", "cellsize = 4", "unknown field `cellsize`"),
        ("which = ", "which = [99]", "no such server"),
    ];
    for (of, wrong, says) in cases {
        let old = day.lines().find(|l| l.starts_with(of)).unwrap();
        let file = scratch("wrong.toml", &day.replacen(old, wrong, 1));
        let said = error(&["run", file.to_str().unwrap()], 1);
        assert_eq!(said.lines().count(), 1, "{said}");
        let at = format!("line {}: ", line(&day, of));
        assert!(said.contains(says) && said.contains(&at), "{wrong}, {at}: {said}");
    }
    let no_class: String = day.split("[[class]]").next().unwrap().to_owned();
    let said = error(&["run", scratch("no-class.toml", &no_class).to_str().unwrap()], 1);
    assert!(said.contains("class"), "{said}");
}

#[test]
fn bad_arguments_say_what_there_is() {
    assert!(error(&["run", "--policy", "best"], 2).contains("round-robin"));
    assert!(error(&["experiment", "--seeds", "9-3"], 2).contains("no seed"));
    assert!(error(&["run", "--kind", "quiet"], 1).contains("calm"));
    assert!(error(&["run", "/no/such/day.toml"], 1).contains("cannot read /no/such/day.toml"));
    let rows = scratch("no-rows.jsonl", "{\"label\":1}\n");
    let rows = rows.to_str().unwrap();
    assert!(error(&["compare", rows, rows], 1).contains("line 1"));
}

#[test]
fn experiments_are_compared_and_reported() {
    let rows = scratch("rows.jsonl", "");
    let rows = rows.to_str().unwrap();
    let table =
        ok(&["experiment", "--kinds", "calm,silent", "--seeds", "4", "--size", "small", "--out", rows]);
    assert!(table.contains("silent") && table.contains("worst third"), "{table}");
    let same = ok(&["compare", "--json", rows, rows]);
    let same: serde_json::Value = serde_json::from_str(&same).unwrap();
    assert_eq!((same["all"]["mean"].as_f64(), same["all"]["count"].as_u64()), (Some(0.0), Some(8)));
    let better = ok(&["compare", "--json", "--policy-a", "random", rows, rows]);
    let better: serde_json::Value = serde_json::from_str(&better).unwrap();
    assert!(better["all"]["low"].as_f64().unwrap() > 0.0, "the module beats random choice: {better}");
    let page = scratch("page.html", "");
    let page = page.to_str().unwrap();
    let small = ["--kind", "silent", "--size", "small"];
    ok(&[&["report", "--experiment", rows, "--against", rows, "--out", page], &small[..]].concat());
    let html = std::fs::read_to_string(page).unwrap();
    assert_eq!(html.matches("<svg").count(), 8, "five of the day, two of scores, one of differences");
    assert!(!html.contains("http://") || html.matches("http://").count() == html.matches("w3.org").count());
}
