//! Simulation of every policy at every load, with the same seeds.

use super::policy::{BaselineKind, BaselinePlacement, Fifo};
use super::world::{RequestClass, RunStats, Scenario, World};
use rf_base::Millis;
use rf_traffic::Placement;
use rf_traffic::admission::Queue;

/// Loads, relative to the capacity of the servers.
pub const LOADS: [f64; 8] = [0.5, 0.75, 0.9, 1.0, 1.25, 1.5, 2.0, 3.0];
/// Seeds over which the results of each point are averaged.
const SEEDS: [u64; 3] = [11, 22, 33];
/// Duration over which requests arrive.
const ARRIVAL_TIME: Millis = Millis::from_secs(20);

/// A combination of placement and queueing policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Baseline placement; the product's placement if `None`.
    pub placement: Option<BaselineKind>,
    /// Whether gates use [`Fifo`] instead of the product's queue.
    pub is_fifo: bool,
}

impl Policy {
    /// Returns all combinations, starting with the product's placement and queue.
    pub fn all() -> Vec<Policy> {
        let placements = [
            None,
            Some(BaselineKind::TwoChoices),
            Some(BaselineKind::RoundRobin),
            Some(BaselineKind::Random),
        ];
        let orders = [false, true];
        let pairs = placements
            .iter()
            .flat_map(|p| orders.iter().map(move |o| (*p, *o)));
        pairs
            .map(|(placement, is_fifo)| Policy { placement, is_fifo })
            .collect()
    }

    /// Returns the label in tables and plots.
    pub fn name(&self) -> String {
        let placement = match self.placement {
            None => "expected completion",
            Some(BaselineKind::TwoChoices) => "two choices",
            Some(BaselineKind::RoundRobin) => "round robin",
            Some(BaselineKind::Random) => "random",
        };
        let order = match self.is_fifo {
            true => "first come",
            false => "by rank and target",
        };
        format!("{placement}, {order}")
    }

    /// Simulates a scenario with this policy on every proxy and server.
    pub fn simulate(&self, scenario: &Scenario, seed: u64) -> RunStats {
        match (self.placement, self.is_fifo) {
            (None, false) => World::simulate(scenario, seed, Placement::new, Queue::new),
            (None, true) => World::simulate(scenario, seed, Placement::new, Fifo::new),
            (Some(kind), false) => World::simulate(
                scenario,
                seed,
                |r| BaselinePlacement::new(kind, r),
                Queue::new,
            ),
            (Some(kind), true) => World::simulate(
                scenario,
                seed,
                |r| BaselinePlacement::new(kind, r),
                Fifo::new,
            ),
        }
    }
}

/// Results of one policy at all loads.
#[derive(Clone, Debug)]
pub struct Series {
    /// Policy that was simulated.
    pub policy: Policy,
    /// Each load of [`LOADS`] with the results, averaged over the seeds.
    pub points: Vec<(f64, RunStats)>,
}

/// Returns a scenario of 12 servers of unequal speed and three classes of requests.
///
/// `load` is relative to the capacity of the servers.
pub fn make_scenario(load: f64) -> Scenario {
    let class = |share, work, target, value, priority| RequestClass {
        share,
        work,
        target: Millis(target),
        deadline: Millis(target * 4),
        value,
        late_share: 0.3,
        priority,
        retries: 1,
    };
    Scenario {
        classes: vec![
            class(0.55, 220.0, 800, 1.0, 2),
            class(0.25, 290.0, 1000, 2.0, 1),
            class(0.20, 90.0, 500, 2.0, 1),
        ],
        time_factors: [0.6, 1.0, 1.4].repeat(4),
        slots: 6,
        proxies: 24,
        load,
        duration: ARRIVAL_TIME,
    }
}

/// Simulates every policy at every load.
pub fn run() -> Vec<Series> {
    let series = |policy: Policy| Series {
        policy,
        points: LOADS
            .iter()
            .map(|load| (*load, mean(&policy, *load)))
            .collect(),
    };
    Policy::all().into_iter().map(series).collect()
}

fn mean(policy: &Policy, load: f64) -> RunStats {
    let scenario = make_scenario(load);
    let mut sum = RunStats::default();
    for seed in SEEDS {
        let stats = policy.simulate(&scenario, seed);
        sum.credit += stats.credit;
        sum.served += stats.served;
        sum.wasted += stats.wasted;
        sum.offers += stats.offers;
        sum.p50 += stats.p50;
        sum.p99 += stats.p99;
    }
    let count = SEEDS.len() as f64;
    RunStats {
        credit: sum.credit / count,
        served: sum.served / count,
        wasted: sum.wasted / count,
        offers: sum.offers / count,
        p50: sum.p50 / count,
        p99: sum.p99 / count,
    }
}

/// Returns a Markdown table of one metric, with a row per policy and a column per load.
pub fn table(series: &[Series], metric: impl Fn(&RunStats) -> String) -> String {
    let loads: Vec<String> = LOADS.iter().map(|l| format!("{l}")).collect();
    let mut text = format!("| policy | {} |\n", loads.join(" | "));
    text.push_str(&format!("|---|{}\n", "---|".repeat(LOADS.len())));
    for row in series {
        let cells: Vec<String> = row.points.iter().map(|(_, f)| metric(f)).collect();
        text.push_str(&format!(
            "| {} | {} |\n",
            row.policy.name(),
            cells.join(" | ")
        ));
    }
    text
}
