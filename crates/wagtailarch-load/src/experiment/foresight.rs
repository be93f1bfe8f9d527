//! Role plans computed from the load of the whole run.

use super::engine::EngineModel;
use super::fleet::FleetKind;
use super::scenario::Scenario;

/// Length in seconds of a step of a plan.
const STEP_S: f64 = 5.0;
/// Utilization above which requests miss their deadlines.
const MAX_UTILIZATION: f64 = 0.85;
/// Time in seconds from the start of a role change until it takes effect: draining and changing.
const LEAD_TIME_S: f64 = 10.0;

/// Number of engines by role over time.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RolePlan {
    /// Number of prefill, decode and mixed engines in each step of `STEP_S`.
    steps: Vec<[usize; 3]>,
}

impl RolePlan {
    /// Creates a plan that never changes roles.
    pub fn constant(roles: [usize; 3]) -> Self {
        Self { steps: vec![roles] }
    }

    /// Returns the number of engines by role to move to at a time.
    ///
    /// This is the plan for the time at which a change that starts now takes effect.
    pub fn at(&self, now_s: f64) -> [usize; 3] {
        let step = ((now_s + LEAD_TIME_S) / STEP_S) as usize;
        self.steps[step.min(self.steps.len() - 1)]
    }
}

/// Returns the plans to compare.
///
/// These are all engines mixed, every fixed split into prefill and decode engines, one prefill
/// engine with mixed engines, and the best sequences of splits with decode and with mixed engines.
pub(crate) fn candidate_plans(
    scenario: &Scenario,
    fleet: FleetKind,
    model: &EngineModel,
) -> Vec<RolePlan> {
    let engines = fleet.engines_per_zone();
    let mut plans = vec![RolePlan::constant([0, 0, engines])];
    for prefill in 1..engines {
        plans.push(RolePlan::constant([prefill, engines - prefill, 0]));
    }
    plans.push(RolePlan::constant([1, 0, engines - 1]));
    for others_mixed in [false, true] {
        plans.push(best_sequence(scenario, engines, model, others_mixed));
    }
    plans
}

/// Returns the sequence of splits that serves the most work.
///
/// It is found by dynamic programming over the number of prefill engines, which changes by at most
/// one in a step. The other engines are mixed if `others_mixed` is set, or else decode engines.
fn best_sequence(
    scenario: &Scenario,
    engines: usize,
    model: &EngineModel,
    others_mixed: bool,
) -> RolePlan {
    let steps = (scenario.duration_s / STEP_S).ceil() as usize;
    let roles = |prefill: usize| {
        let others = engines - prefill;
        if others_mixed {
            [prefill, 0, others]
        } else {
            [prefill, others, 0]
        }
    };
    let min_prefill = usize::from(!others_mixed);
    let prefill_counts: Vec<usize> = (min_prefill..engines).collect();
    let mut values = vec![0.0; prefill_counts.len()];
    let mut predecessors: Vec<Vec<usize>> = Vec::new();
    for step in 0..steps {
        let middle_s = (step as f64 + 0.5) * STEP_S;
        let mut next_values = Vec::new();
        let mut step_predecessors = Vec::new();
        for (index, prefill) in prefill_counts.iter().enumerate() {
            let neighbors = index.saturating_sub(1)..(index + 2).min(prefill_counts.len());
            let value_from = |from: usize| {
                // A role change takes one engine out of service for about the lead time.
                let cost = if from == index {
                    0.0
                } else {
                    LEAD_TIME_S * MAX_UTILIZATION
                };
                values[from] - cost
            };
            let best = neighbors
                .max_by(|a, b| value_from(*a).total_cmp(&value_from(*b)))
                .unwrap_or(index);
            let served = served_work(scenario, middle_s, engines, model, roles(*prefill));
            next_values.push(value_from(best) + served * STEP_S);
            step_predecessors.push(best);
        }
        values = next_values;
        predecessors.push(step_predecessors);
    }
    let final_index = (0..prefill_counts.len())
        .max_by(|a, b| values[*a].total_cmp(&values[*b]))
        .unwrap_or(0);
    let mut current = final_index;
    let mut plan = Vec::with_capacity(steps);
    for step_predecessors in predecessors.iter().rev() {
        plan.push(roles(prefill_counts[current]));
        current = step_predecessors[current];
    }
    plan.reverse();
    RolePlan { steps: plan }
}

/// Returns the estimated work, in engine seconds per second, that the engines serve within the
/// deadlines.
///
/// A mixed engine serves 0.9 of the work of a dedicated one, and a decode engine prefills at 0.6 of
/// the speed of a prefill engine.
fn served_work(
    scenario: &Scenario,
    at_s: f64,
    engines: usize,
    model: &EngineModel,
    [prefill, decode, mixed]: [usize; 3],
) -> f64 {
    let point = scenario.at(at_s);
    let rate = scenario.requests_per_s(at_s, engines, model);
    let prefill_engines_needed =
        rate * point.prompt_tokens / model.prefill_tokens_per_s() / MAX_UTILIZATION;
    let decode_engines_needed =
        rate * point.output_tokens / model.decode_tokens_per_s() / MAX_UTILIZATION;
    let is_served = |share: f64| {
        let unserved_prefill = (prefill_engines_needed * share - prefill as f64).max(0.0);
        let on_mixed = (mixed as f64).min(unserved_prefill / 0.9);
        let on_decode = (unserved_prefill - on_mixed * 0.9) / 0.6;
        let free_decode_engines = decode as f64 - on_decode;
        free_decode_engines >= 0.0
            && decode_engines_needed * share
                <= free_decode_engines + (mixed as f64 - on_mixed) * 0.9
    };
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..16 {
        let middle = (low + high) / 2.0;
        if is_served(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    high * (prefill_engines_needed + decode_engines_needed) * MAX_UTILIZATION
}
