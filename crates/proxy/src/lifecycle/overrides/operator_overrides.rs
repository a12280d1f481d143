//! What operators have overridden, as it is stored.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use zincstand_policy::Micros;

/// How long the time of an inclusion is kept, in microseconds: one hour. The upstream has warmed up long before.
const INCLUSION_KEPT: Micros = 3_600_000_000;

/// The overrides in force. The keys in the file keep their old names, since a process of an older version may run
/// beside this one during a hot restart and reads the same file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OperatorOverrides {
    /// Excluded upstreams, by the names that discovery gives them.
    #[serde(rename = "out")]
    pub excluded: BTreeSet<String>,
    /// When upstreams that had been excluded were included again, in microseconds of Unix time.
    #[serde(rename = "back")]
    pub included_at: BTreeMap<String, Micros>,
    /// Whether the balancer is evacuated: clients are to go elsewhere.
    pub evacuated: bool,
}

impl OperatorOverrides {
    /// Excludes an upstream. It may be excluded already.
    pub fn exclude(&mut self, name: &str) {
        self.excluded.insert(name.to_owned());
    }

    /// Includes an excluded upstream again, at `now` in microseconds of Unix time. It then counts as just started,
    /// since operators usually restart what they have excluded. One that was not excluded stays as it is.
    pub fn include(&mut self, name: &str, now: Micros) {
        if !self.excluded.remove(name) {
            return;
        }
        self.included_at.retain(|_, included_at| now.saturating_sub(*included_at) < INCLUSION_KEPT);
        self.included_at.insert(name.to_owned(), now);
    }
}
