//! The report of a measurement: slopes with their points, the machine and the revision. Its JSON form is stored with
//! the documents that quote its figures.

use serde::Serialize;

use crate::machine::Machine;
use crate::slope::{Fit, Point, fit};

/// The measurements of one quantity at several values of another.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// The name of the measurement, which documents quote.
    pub name: String,
    /// The varied quantity, with its unit.
    pub x: String,
    /// The measured quantity, with its unit.
    pub y: String,
    /// The measured points.
    pub points: Vec<Point>,
    /// The fitted line; `None` if the points do not determine a line.
    pub fit: Option<Fit>,
    /// A note for readers, such as the number of samples or failures; empty if there is none.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub remark: String,
}

impl Slope {
    /// Fits a line to these points. `x` and `y` describe the quantities.
    pub fn new(name: impl Into<String>, x: &str, y: &str, points: Vec<Point>) -> Slope {
        Slope {
            name: name.into(),
            x: x.to_owned(),
            y: y.to_owned(),
            fit: fit(&points),
            points,
            remark: String::new(),
        }
    }

    /// Sets the remark.
    pub fn remark(mut self, remark: impl Into<String>) -> Slope {
        self.remark = remark.into();
        self
    }
}

/// The results of one run of the measuring command.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The machine on which the run took place.
    pub machine: Machine,
    /// The revision of the repository, followed by `+` if the working tree differs from it.
    pub revision: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// Whether the run was shortened, with fewer points. Figures of such a run must not be quoted.
    pub quick: bool,
    /// The duration of the run in seconds.
    #[serde(rename = "took_s")]
    pub duration_s: f64,
    /// The measurements.
    pub slopes: Vec<Slope>,
}
