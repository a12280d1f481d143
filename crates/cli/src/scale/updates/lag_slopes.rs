//! The two slopes of the lag of a change by number of balancers: the median lag and the longest lag.

use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;

use crate::scale::watched_discovery::Lags;

/// Points of both slopes.
#[derive(Default)]
pub struct LagSlopes {
    median: Vec<Point>,
    longest: Vec<Point>,
    /// The longest lag of any balancer in any round, in milliseconds.
    max_lag_ms: f64,
}

impl LagSlopes {
    /// Adds the points for one number of balancers, as medians over the rounds.
    pub fn add(&mut self, balancers: u32, rounds: &[Lags]) {
        let balancers = f64::from(balancers);
        let median_of = |value: fn(&Lags) -> f64| Lags::new(rounds.iter().map(value).collect()).median();
        self.median.push(Point { x: balancers, y: median_of(Lags::median) });
        self.longest.push(Point { x: balancers, y: median_of(Lags::max) });
        self.max_lag_ms = rounds.iter().map(Lags::max).fold(self.max_lag_ms, f64::max);
    }

    /// Returns both slopes. The remark is added to the second one.
    pub fn slopes(self, name: &str, remark: &str) -> [Slope; 2] {
        let remark = format!("{remark}; the slowest took {:.1} ms", self.max_lag_ms);
        let slope = |which, points| {
            Slope::new(format!("updates: {name}, {which} balancer"), "balancers", "ms", points)
        };
        [slope("median", self.median), slope("last", self.longest).remark(remark)]
    }
}
