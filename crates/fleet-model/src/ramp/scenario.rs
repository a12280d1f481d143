//! Days on which servers start cold.

use rand::RngExt;

use super::{BINS, BINS_PER_WARM_UP, RuleOverrides, Shape};
use crate::day::{Class, Day, DayError, Fault, FaultKind, Spread};
use crate::draw::{self, For, within};
use crate::kinds::{self, Size};
use crate::span::Span;

/// When servers begin to restart, in seconds: balancers with little traffic have sent some requests by then.
const FAULTS_BEGIN: f64 = 8.0;
/// Deviation of the traffic of single balancers: the busiest of many gets several times the mean.
const TRAFFIC_DEVIATION: f64 = 1.0;
/// Share of the servers in the first zone.
const FIRST_ZONE_SHARE: (f64, f64) = (0.4, 0.6);
/// How busy the servers are.
const UTILIZATION: (f64, f64) = (0.54, 0.68);
/// Number of the random stream of these days, apart from the draws of faults within a day.
const RANDOM_STREAM: u64 = 2_000;

/// Servers of a fleet with so many balancers: traffic is thin, some requests a second for each balancer.
fn server_count(balancers: u32) -> u32 {
    match balancers {
        0..=4 => 6,
        5..=16 => 8,
        17..=60 => 10,
        61..=200 => 20,
        _ => 30,
    }
}

/// Mean work of a request over all classes, in the unit of [`kinds::mean_work`].
pub(super) fn mean_work(classes: &[Class], seed: u64) -> f64 {
    classes.iter().map(|class| class.share * kinds::mean_work(class, seed)).sum::<f64>()
}

/// Draws a day of a shape: one tier, all else as on a busy day of the site, shortened to what the shape needs.
///
/// # Errors
///
/// The rules contradict themselves.
pub fn day(shape: Shape, balancers: u32, seed: u64, rules: RuleOverrides) -> Result<Day, DayError> {
    let mut day = kinds::draw("busy", seed, Size::Site)?;
    let rng = &mut draw::stream(seed, For::Fate, RANDOM_STREAM);
    let count = server_count(balancers);
    day.name = format!("ramp {} {balancers} {seed}", shape.name());
    day.tiers.truncate(1);
    let tier = &mut day.tiers[0];
    tier.servers = kinds::zoned(count, within(rng, FIRST_ZONE_SHARE));
    tier.calls = 0.0;
    tier.work = 1.0;
    tier.cold_from = rules.cold_from.unwrap_or(tier.cold_from);
    day.rules.overload_factor = rules.overload_factor.unwrap_or(day.rules.overload_factor);
    let shares: f64 = day.classes.iter().map(|class| class.share).sum();
    let work = mean_work(&day.classes, seed) / shares;
    let cores = f64::from(count * day.tiers[0].cores) * day.tiers[0].speed;
    day.load.rate = cores / work * within(rng, UTILIZATION);
    let in_first_zone = kinds::zoned(balancers, day.load.zone_shares[0])[0];
    let zone_of = |balancer: u32| day.zones[usize::from(balancer >= in_first_zone)].clone();
    day.balancers.zones = (0..balancers).map(zone_of).collect();
    let mut draw_share = |_| draw::factor(rng, Spread::Lognormal, TRAFFIC_DEVIATION);
    day.balancers.shares = (0..balancers).map(&mut draw_share).collect();
    let shuffled = shuffled_servers(count, rng);
    let faults_last = add_faults(&mut day, shape, &shuffled);
    let observed = day.tiers[0].warm_after.secs() * BINS as f64 / BINS_PER_WARM_UP;
    day.length = Span::s(FAULTS_BEGIN + faults_last + observed);
    day.check()?;
    Ok(day)
}

fn shuffled_servers(count: u32, rng: &mut impl rand::Rng) -> Vec<usize> {
    let count = count as usize;
    let mut servers: Vec<usize> = (0..count).collect();
    for index in 0..count {
        servers.swap(index, rng.random_range(index..count));
    }
    servers
}

/// Adds the faults of a shape and returns for how many seconds they last.
fn add_faults(day: &mut Day, shape: Shape, shuffled: &[usize]) -> f64 {
    let replaced = |share: f64, seconds: f64| {
        let affected = (shuffled.len() as f64 * share).round().max(1.0) as usize;
        let which = shuffled[..affected].to_vec();
        Fault { which, ..kinds::fault(FaultKind::Replaced, FAULTS_BEGIN, seconds) }
    };
    match shape {
        Shape::Restart => {
            day.faults.push(replaced(0.2, 4.0));
            4.0
        }
        Shape::Release => {
            day.faults.push(replaced(0.6, 7.0));
            7.0
        }
        Shape::Zone => {
            let zone = Some(day.zones[1].clone());
            day.faults.push(Fault { zone, ..kinds::fault(FaultKind::ZoneLost, FAULTS_BEGIN, 5.0) });
            5.0
        }
        Shape::Start => {
            day.faults.push(replaced(0.6, 1.0));
            day.faults.push(kinds::fault(FaultKind::BalancerKilled, FAULTS_BEGIN, 1.0));
            // A notice that came after the restart would be taken for one of the new process.
            day.balancers.notice = Span::ms(500.0);
            1.0
        }
    }
}
