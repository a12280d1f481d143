//! Slopes whose points are added one at a time.

use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;

/// Slopes with the points added so far, in the order in which their first points were added.
#[derive(Default)]
pub struct Slopes(Vec<Slope>);

impl Slopes {
    /// Adds a point to the slope of a situation and a measured quantity. `unit` names the quantity with its unit.
    pub fn add(&mut self, name: &str, unit: &str, x: f64, y: f64) {
        let name = format!("watchers: {name}, {unit}");
        let point = Point { x, y };
        match self.0.iter_mut().find(|slope| slope.name == name) {
            Some(slope) => slope.points.push(point),
            None => self.0.push(Slope::new(name, "watchers", unit, vec![point])),
        }
    }

    /// Sets the remark of the first slope of a situation.
    pub fn remark(&mut self, name: &str, remark: impl Into<String>) {
        let prefix = format!("watchers: {name}, ");
        if let Some(slope) = self.0.iter_mut().find(|slope| slope.name.starts_with(&prefix)) {
            slope.remark = remark.into();
        }
    }

    /// Returns all slopes, each with the line fitted to its points.
    pub fn fitted(self) -> Vec<Slope> {
        let fitted =
            |slope: Slope| Slope::new(slope.name, &slope.x, &slope.y, slope.points).remark(slope.remark);
        self.0.into_iter().map(fitted).collect()
    }
}
