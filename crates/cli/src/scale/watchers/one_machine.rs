//! The load of one of the machines that run discovery, in the fleet that the balancer is designed for.

use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;

/// Number of balancers of the fleet that the balancer is designed for.
const FLEET_BALANCERS: f64 = 2_000.0;
/// Number of machines of that fleet that run discovery and configuration.
const DISCOVERY_MACHINES: f64 = 15.0;

/// Returns the load of one of the machines that run discovery, computed from the lines fitted to the complete fleet.
pub fn one_machine(measured: &[Slope]) -> Vec<Slope> {
    let watchers = (FLEET_BALANCERS / DISCOVERY_MACHINES).round();
    let names = [
        "at rest, calls a second",
        "at rest, bytes in a second",
        "at rest, bytes out a second",
        "at rest, % of a core",
        "at a change, bytes out",
        "at a change, ms of processor",
        "whole list to all, bytes out",
        "whole list to all, ms of processor",
    ];
    let for_one_machine = |name: &&str| {
        let slope = measured.iter().find(|slope| slope.name == format!("watchers: {name}"))?;
        let line = slope.fit.as_ref()?.line;
        let points = vec![Point { x: watchers, y: line.intercept + line.slope * watchers }];
        let name = format!("watchers: one of 15 machines, {name}");
        Some(Slope::new(name, "watchers", &slope.y, points))
    };
    let mut slopes: Vec<Slope> = names.iter().filter_map(for_one_machine).collect();
    if let Some(first) = slopes.first_mut() {
        first.remark =
            String::from("a 15th of the fleet, computed from the lines fitted to the measured points");
    }
    slopes
}
