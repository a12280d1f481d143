//! Plots, as SVG.

mod canvas;
mod comparison;
mod requests;
mod servers;

pub use comparison::{Group, differences, spread};
pub use requests::seconds;
pub use servers::{breakers, latencies, servers, windows};
