//! Parsers of arguments that several commands share.

use std::ops::RangeInclusive;

use anyhow::{Result, anyhow, bail};
use zincstand_fleet_model::policy::Kind;

/// Argument that selects all policies.
const ALL_POLICIES: &str = "all";

/// Policies that a command runs, in this order.
#[derive(Clone)]
pub struct Policies(pub Vec<Kind>);

/// Parses the names of policies, joined by commas, or `all`.
///
/// # Errors
/// Fails if a name is not the name of a policy; the message lists the policies.
pub fn parse_policies(names: &str) -> Result<Policies> {
    if names == ALL_POLICIES {
        return Ok(Policies(Kind::ALL.to_vec()));
    }
    let mut policies = Vec::new();
    for name in names.split(',') {
        let policy = name.parse().map_err(|error| anyhow!("{error}"))?;
        policies.push(policy);
    }
    Ok(Policies(policies))
}

/// Parses seeds: either the last seed of a range that begins at 1, or a range such as `101-300`.
///
/// # Errors
/// Fails if the text has neither form, or if the range is empty.
pub fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>> {
    let seeds = match text.split_once('-') {
        Some((first, last)) => parse_seed(first)?..=parse_seed(last)?,
        None => 1..=parse_seed(text)?,
    };
    if seeds.is_empty() {
        bail!("the range contains no seed: its first seed must not exceed its last");
    }
    Ok(seeds)
}

/// Parses one seed.
fn parse_seed(text: &str) -> Result<u64> {
    text.trim()
        .parse()
        .map_err(|_| anyhow!("expected the last seed, such as 50, or a range, such as 101-300"))
}
