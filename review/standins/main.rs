//! The stand-ins and the drivers of the review's cases. It uses only the standard library.
//!
//! `review-case NAME RECORD` plays a case: exit status 0 if the rule held, 1 if it was broken, 2 if the case could not
//! run. `TROUBLE=0` in the environment leaves the disruption out. `review-case upstream ...` is an upstream, which the
//! cases start as processes of their own.

mod cases;
mod client;
mod http;
mod platform;
mod record;
mod upstream;

use std::path::{Path, PathBuf};

/// The result of a case that could run.
pub struct Verdict {
    /// Number of times that the rule was broken.
    pub broken: usize,
    /// A line for the record.
    pub summary: String,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "upstream") {
        upstream::run(&arguments[1..]);
        return;
    }
    let (Some(case), Some(path)) = (arguments.first(), arguments.get(1)) else {
        eprintln!("usage: review-case NAME RECORD");
        std::process::exit(2);
    };
    let record = record::Record::create(Path::new(path));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case}, trouble {}", if trouble { "on" } else { "off" }));
    let root = repository_root();
    let result = match case.as_str() {
        "upload" => cases::upload(&root, trouble, &record),
        "second" => cases::second_answer(&root, trouble, &record),
        "shutdown" => cases::shutdown(&root, trouble, &record),
        "endless" => cases::endless_answer(&root, trouble, &record),
        _ => Err("unknown case".to_owned()),
    };
    let (text, status) = match result {
        Ok(Verdict { broken: 0, summary }) => (format!("HELD: {summary}"), 0),
        Ok(Verdict { summary, .. }) => (format!("BROKEN: {summary}"), 1),
        Err(reason) => (format!("COULD NOT RUN: {reason}"), 2),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(status);
}

/// The root of the repository: the scripts set it, since the program may lie anywhere.
fn repository_root() -> PathBuf {
    std::env::var_os("REVIEW_ROOT").map_or_else(|| PathBuf::from("."), PathBuf::from)
}
