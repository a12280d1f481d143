use anyhow::Result;
use zincstand_rig::machine::Needs;
use zincstand_rig::report::Slope;

use super::Bench;

pub fn plan(_bench: &Bench) -> (String, Needs) {
    (String::new(), Needs::default())
}

pub async fn measure(_bench: &Bench) -> Result<Vec<Slope>> {
    Ok(Vec::new())
}
