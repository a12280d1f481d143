//! The stand-ins of the cases of this review: `standins-2 NAME NUMBER` runs one case.

#![allow(dead_code)]

mod crowd;
mod evacuation;
mod kit;
mod many_commands;
mod never_ending;
mod slow_discovery;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let number = arguments.next().and_then(|number| number.parse().ok()).unwrap_or(0);
    match name.as_str() {
        "crowd_members" => {
            let address = std::env::args().nth(3).and_then(|address| address.parse().ok());
            crowd::members(address.expect("an address"))
        }
        "crowd" => crowd::run(number),
        "evacuation" => evacuation::run(number),
        "many_commands" => many_commands::run(number),
        "never_ending" => never_ending::run(number),
        "slow_discovery" => slow_discovery::run(number),
        _ => {
            eprintln!("no such case: {name:?}");
            std::process::exit(kit::COULD_NOT_RUN)
        }
    }
}
