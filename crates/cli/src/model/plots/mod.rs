//! Plots of scenarios and experiments, as SVG.

mod canvas;
mod comparison;
mod concurrency_limits;
mod requests;
mod servers;
mod timeline;

pub use comparison::{KindValues, differences, spread};
pub use concurrency_limits::concurrency_limits;
pub use requests::requests_by_outcome;
pub use servers::{circuit_breakers, latencies, servers};
