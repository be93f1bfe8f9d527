//! Role plans made with knowledge of the whole load.

use super::engine::EngineModel;
use super::fleet::FleetKind;
use super::scenario::Scenario;

/// Length of one step of a plan in seconds.
const STEP_S: f64 = 5.0;
/// Utilisation above which requests miss their deadlines.
const UTILISATION: f64 = 0.85;
/// Time before it takes effect at which a change begins: draining and changing.
const LEAD_S: f64 = 10.0;

/// Numbers of engines by role over time.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RolePlan {
    /// Prefill, decode and mixed engines, for each `STEP_S`.
    steps: Vec<[usize; 3]>,
}

impl RolePlan {
    /// Returns the plan that keeps the same roles.
    pub fn constant(roles: [usize; 3]) -> Self {
        Self { steps: vec![roles] }
    }

    /// Returns the numbers of engines by role that should be reached at a time.
    pub fn at(&self, now_s: f64) -> [usize; 3] {
        let step = ((now_s + LEAD_S) / STEP_S) as usize;
        self.steps[step.min(self.steps.len() - 1)]
    }
}

/// Returns the plans of which the best one is taken: every fixed number of prefill engines with
/// decode or mixed engines beside them, and the best sequence of each kind.
pub(crate) fn plans(scenario: &Scenario, fleet: FleetKind, model: &EngineModel) -> Vec<RolePlan> {
    let engines = fleet.engines_per_zone();
    let mut plans = vec![RolePlan::constant([0, 0, engines])];
    for prefills in 1..engines {
        plans.push(RolePlan::constant([prefills, engines - prefills, 0]));
    }
    plans.push(RolePlan::constant([1, 0, engines - 1]));
    for rest_mixed in [false, true] {
        plans.push(best_sequence(scenario, engines, model, rest_mixed));
    }
    plans
}

/// Finds the sequence with the greatest served work by dynamic programming over the number of
/// prefill engines; a change costs the work of one engine while it is away.
fn best_sequence(
    scenario: &Scenario,
    engines: usize,
    model: &EngineModel,
    rest_mixed: bool,
) -> RolePlan {
    let steps = (scenario.duration_s / STEP_S).ceil() as usize;
    let roles = |prefills: usize| {
        let rest = engines - prefills;
        if rest_mixed {
            [prefills, 0, rest]
        } else {
            [prefills, rest, 0]
        }
    };
    let first = usize::from(!rest_mixed);
    let choices: Vec<usize> = (first..engines).collect();
    let mut value = vec![0.0; choices.len()];
    let mut came_from: Vec<Vec<usize>> = Vec::new();
    for step in 0..steps {
        let middle_s = (step as f64 + 0.5) * STEP_S;
        let mut next = Vec::new();
        let mut sources = Vec::new();
        for (index, prefills) in choices.iter().enumerate() {
            let near = index.saturating_sub(1)..(index + 2).min(choices.len());
            let reach = |from: usize| {
                // One engine is away for about the lead time.
                let cost = if from == index {
                    0.0
                } else {
                    LEAD_S * UTILISATION
                };
                value[from] - cost
            };
            let best = near
                .max_by(|a, b| reach(*a).total_cmp(&reach(*b)))
                .unwrap_or(index);
            let served = served(scenario, middle_s, engines, model, roles(*prefills));
            next.push(reach(best) + served * STEP_S);
            sources.push(best);
        }
        value = next;
        came_from.push(sources);
    }
    let last = (0..choices.len())
        .max_by(|a, b| value[*a].total_cmp(&value[*b]))
        .unwrap_or(0);
    let mut at = last;
    let mut plan = Vec::with_capacity(steps);
    for sources in came_from.iter().rev() {
        plan.push(roles(choices[at]));
        at = sources[at];
    }
    plan.reverse();
    RolePlan { steps: plan }
}

/// Estimates the work per second, in engines, that roles can serve within the deadlines.
fn served(
    scenario: &Scenario,
    at_s: f64,
    engines: usize,
    model: &EngineModel,
    [prefills, decodes, mixed]: [usize; 3],
) -> f64 {
    let point = scenario.at(at_s);
    let rate = scenario.requests_per_s(at_s, engines, model);
    let prefill = rate * point.prompt_tokens / model.prefill_tokens_per_s() / UTILISATION;
    let decode = rate * point.output_tokens / model.decode_tokens_per_s() / UTILISATION;
    let fits = |share: f64| {
        let rest = (prefill * share - prefills as f64).max(0.0);
        let on_mixed = (mixed as f64).min(rest / 0.9);
        let on_decode = (rest - on_mixed * 0.9) / 0.6;
        let left = decodes as f64 - on_decode;
        left >= 0.0 && decode * share <= left + (mixed as f64 - on_mixed) * 0.9
    };
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..16 {
        let middle = (low + high) / 2.0;
        if fits(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    high * (prefill + decode) * UTILISATION
}
