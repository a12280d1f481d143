//! Operator overrides: excluded upstreams and the evacuation of the balancer. Overrides apply to every process of
//! this balancer and outlive each process, so they are stored in one file that all processes read.

mod file_version;
mod operator_overrides;
mod override_file;
mod override_store;

pub use operator_overrides::OperatorOverrides;
pub use override_file::OverrideError;
pub use override_store::OverrideStore;

#[cfg(test)]
mod tests;
