//! What a measurement leaves: slopes with their points, and the circumstances.

use serde::Serialize;

use crate::machine::Machine;
use crate::slope::{Fit, Point, fit};

/// One measured quantity by another.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// Its name; documents quote it.
    pub name: String,
    /// What was varied, with its unit.
    pub x: String,
    /// What was measured, with its unit.
    pub y: String,
    /// What was measured where.
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
        let fit = fit(&points);
        Slope { name: name.into(), x: x.to_owned(), y: y.to_owned(), points, fit, remark: String::new() }
    }

    /// The same with a remark.
    pub fn remark(mut self, remark: impl Into<String>) -> Slope {
        self.remark = remark.into();
        self
    }
}

/// All that one run of the command measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Where.
    pub machine: Machine,
    /// Of the repository, with a `+` where it was changed since.
    pub revision: String,
    /// Decides all that is drawn.
    pub seed: u64,
    /// Shorter and with fewer points: not for documents.
    pub quick: bool,
    /// How long it took, in seconds.
    pub took_s: f64,
    /// What was measured.
    pub slopes: Vec<Slope>,
}
