//! The report of a measurement: slopes with their points, and the circumstances. Its JSON is kept with the documents
//! that quote it.

use serde::Serialize;

use crate::machine::Machine;
use crate::slope::{Fit, Point, fit};

/// One quantity measured as another one was varied.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// Its name; documents quote it.
    pub name: String,
    /// What was varied, with its unit.
    pub x: String,
    /// What was measured, with its unit.
    pub y: String,
    /// The measured points.
    pub points: Vec<Point>,
    /// The line through the points, where there is one.
    pub fit: Option<Fit>,
    /// What a reader must know of it: how many samples, what went wrong.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub remark: String,
}

impl Slope {
    /// A slope through these points, fitted.
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

    /// The same slope with a remark.
    pub fn remark(mut self, remark: impl Into<String>) -> Slope {
        self.remark = remark.into();
        self
    }
}

/// All that one run of the command measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The machine that measured.
    pub machine: Machine,
    /// The repository's revision, with a `+` where files differ from it.
    pub revision: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// Whether the run was shorter, with fewer points: its figures are not for documents.
    pub quick: bool,
    /// How long the run took, in seconds.
    pub took_s: f64,
    /// What was measured.
    pub slopes: Vec<Slope>,
}
