//! `zincstand scale`, as far as it refuses.

use std::process::Command;

fn refused(args: &[&str]) -> String {
    let said = Command::new(env!("CARGO_BIN_EXE_zincstand")).args(args).output().expect("it runs");
    assert_eq!(said.status.code(), Some(1), "{args:?}");
    let error = String::from_utf8(said.stderr).expect("it is text");
    error.lines().filter(|line| line.starts_with("error: ")).map(str::to_owned).collect()
}

#[test]
fn a_missing_balancer_is_told_with_what_to_do() {
    let error = refused(&["scale", "memory", "--quick", "--balancer", "/nowhere/zincstand-proxy"]);
    assert!(error.contains("/nowhere/zincstand-proxy") && error.contains("cargo build --release"), "{error}");
}

#[test]
fn more_processes_than_the_bound_are_refused_before_any_starts() {
    let sizes = vec!["1"; 301].join(",");
    // Any file passes for the program: it is not started.
    let program = env!("CARGO_BIN_EXE_zincstand");
    let error = refused(&["scale", "control", "--balancer", program, "--upstreams", &sizes]);
    assert!(error.contains("301 processes") && error.contains("smaller sizes"), "{error}");
}
