//! The operator overrides in the form in which they are stored.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use zincstand_policy::Micros;

/// How long the time of an inclusion is kept, in microseconds: one hour. Slow start takes far less time.
const INCLUSION_RETENTION: Micros = 3_600_000_000;

/// The overrides in effect. The keys in the file keep their old names, since a process of an older version may run
/// at the same time as this one during a hot restart and reads the same file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OperatorOverrides {
    /// Excluded upstreams, by the names that discovery gives them.
    #[serde(rename = "out")]
    pub excluded: BTreeSet<String>,
    /// Times at which excluded upstreams were included again, by name, in microseconds of Unix time.
    #[serde(rename = "back")]
    pub included_at: BTreeMap<String, Micros>,
    /// Whether the balancer is evacuated, so that clients use another one.
    pub evacuated: bool,
}

impl OperatorOverrides {
    /// Excludes an upstream. Has no effect if the upstream is excluded already.
    pub fn exclude(&mut self, name: &str) {
        self.excluded.insert(name.to_owned());
    }

    /// Includes an excluded upstream again, at `now` in microseconds of Unix time. The upstream then counts as just
    /// started, because operators usually restart an upstream while it is excluded. Has no effect if the upstream was not
    /// excluded.
    pub fn include(&mut self, name: &str, now: Micros) {
        if !self.excluded.remove(name) {
            return;
        }
        self.included_at.retain(|_, included_at| now.saturating_sub(*included_at) < INCLUSION_RETENTION);
        self.included_at.insert(name.to_owned(), now);
    }
}
