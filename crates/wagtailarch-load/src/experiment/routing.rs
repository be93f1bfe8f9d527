//! An entry instance of the model: admission and routing by the policy.

use std::time::Duration;

use wagtailarch_fleet::Team;
use wagtailarch_traffic::{
    Admission, AdmitRequest, Admitted, BackendView, GroupCapacity, LoadReport, Router,
    SelectionRequest,
};
use wagtailarch_types::{
    Assignment, BackendKind, BackendState, InstanceId, Phase, Priority, Role, ZoneName,
};

use super::engine::{Engine, EngineModel, EngineState};
use super::fleet::FleetKind;
use super::job::Job;
use super::policy::PolicyKind;
use super::roles::EngineReportData;
use super::workload::{RequestSpec, TEAMS};

/// Weight of a new request in the learned share of `max_tokens`.
const RATIO_WEIGHT: f64 = 0.01;

/// An entry instance.
pub(crate) struct Entry {
    policy: PolicyKind,
    router: Router,
    admission: Admission,
    /// Engine that is next in turn, for the baselines without router.
    turn: usize,
    output_ratio: f64,
    configured: bool,
}

impl Entry {
    /// Creates an instance that knows no engine.
    pub fn new(zone: ZoneName, seed: u64, policy: PolicyKind, engines: usize) -> Self {
        Self {
            policy,
            router: Router::new(zone, seed),
            admission: Admission::new(seed),
            turn: seed as usize % engines.max(1),
            output_ratio: 0.8,
            configured: false,
        }
    }

    /// Takes over the reports that have arrived.
    pub fn update(
        &mut self,
        now: Duration,
        engines: &[Engine],
        reports: &[(EngineReportData, f64)],
        accepting: &[bool],
        now_s: f64,
        model: &EngineModel,
    ) {
        let mut views = Vec::with_capacity(engines.len());
        for (index, engine) in engines.iter().enumerate() {
            let (report, at_s) = reports[index];
            views.push(view(
                engine,
                report,
                now_s - at_s,
                at_s,
                accepting[index],
                model,
            ));
        }
        let capacity = capacity(engines, reports, accepting, model);
        let instances = (3 * FleetKind::INSTANCES_PER_ZONE) as u32;
        if self.configured {
            self.admission.set_capacity(now, instances, &[capacity]);
        } else {
            self.admission.update(now, &teams(), instances, &[capacity]);
            self.configured = true;
        }
        self.router.update(now, views);
    }

    /// Accepts or refuses a request.
    pub fn admit(
        &self,
        now: Duration,
        index: usize,
        spec: &RequestSpec,
        budget_s: f64,
    ) -> Result<Option<Admitted>, ()> {
        if !self.policy.uses_router() {
            return Ok(None);
        }
        let request = AdmitRequest {
            team: format!("team-{}", spec.team).into(),
            group: "lm".into(),
            request_id: index as u128,
            priority: Priority::Normal,
            deadline: Some(Duration::from_secs_f64(budget_s)),
            prompt_tokens: spec.prompt_tokens,
            max_tokens: spec.max_tokens,
        };
        self.admission
            .admit(now, &request)
            .map(Some)
            .map_err(|_| ())
    }

    /// Chooses the engine and the phase of an attempt.
    pub fn route(
        &mut self,
        now: Duration,
        job: &mut Job,
        near: Option<ZoneName>,
        engines: &[Engine],
    ) -> Option<usize> {
        if !self.policy.uses_router() {
            return self.route_plainly(job, engines);
        }
        let mut request = pick_request(job, near);
        if job.phase == Phase::Full && job.generated == 0 && self.router.should_split(&request) {
            request.phase = Phase::Prefill;
        }
        let mut pick = self.router.select(now, &request);
        if pick.is_none() && request.phase != Phase::Full {
            // Without a prefill or decode engine the whole generation runs on one engine.
            request.phase = Phase::Full;
            job.prompt_left = job.prompt_tokens + job.generated;
            request.prompt_tokens = job.prompt_left;
            pick = self.router.select(now, &request);
        }
        let pick = pick?;
        let index = engines.iter().position(|engine| engine.id == pick.id)?;
        job.phase = request.phase;
        job.pick = Some(pick);
        Some(index)
    }

    /// Stops sending to an engine that leaves.
    pub fn suspend(&self, id: &InstanceId) {
        self.router.suspend(id);
    }

    /// Learns which share of `max_tokens` is generated.
    pub fn learn(&mut self, max_tokens: u32, output_tokens: u32) {
        let ratio = f64::from(output_tokens) / f64::from(max_tokens.max(1));
        self.output_ratio += RATIO_WEIGHT * (ratio - self.output_ratio);
    }

    /// Returns the learned share of `max_tokens` that is generated.
    pub fn output_ratio(&self) -> f64 {
        self.output_ratio
    }

    /// Chooses without the router: in turn, or by the fewest requests at this moment, which is
    /// better knowledge than any real instance has.
    fn route_plainly(&mut self, job: &mut Job, engines: &[Engine]) -> Option<usize> {
        job.phase = Phase::Full;
        let serving = |index: &usize| engines[*index].state == EngineState::Serving;
        let count = engines.len();
        let turn = self.turn;
        let mut order = (0..count).map(|step| (turn + step) % count).filter(serving);
        let chosen = match self.policy {
            PolicyKind::LeastRequests => order.min_by_key(|index| engines[*index].load()),
            _ => order.next(),
        }?;
        self.turn = chosen + 1;
        Some(chosen)
    }
}

fn pick_request(job: &Job, preferred_zone: Option<ZoneName>) -> SelectionRequest {
    SelectionRequest {
        group: "lm".into(),
        kind: BackendKind::Engine,
        phase: job.phase,
        model: None,
        version: None,
        adapter: None,
        prefix_hashes: vec![job.prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15)],
        prompt_tokens: if job.phase == Phase::Decode {
            0
        } else {
            job.prompt_left
        },
        preferred_zone,
        excluded: Vec::new(),
        suspect: false,
        backends_with_suspects: Vec::new(),
    }
}

fn teams() -> Vec<Team> {
    let team = |index: u32| Team {
        name: format!("team-{index}").into(),
        key_hash: "".into(),
        requests_per_s: 1e6,
        tokens_per_s: 1e9,
        weight: 1.0,
        priority: Priority::Normal,
        services: Vec::new(),
    };
    (0..TEAMS).map(team).collect()
}

fn view(
    engine: &Engine,
    report: EngineReportData,
    age_s: f64,
    made_s: f64,
    accepting: bool,
    model: &EngineModel,
) -> BackendView {
    BackendView {
        id: engine.id.clone(),
        group: "lm".into(),
        kind: BackendKind::Engine,
        zone: engine.zone.clone(),
        address: engine.id.clone(),
        assignment: Some(Assignment {
            role: engine.role,
            model: "m".into(),
            version: "1".into(),
            adapters: Vec::new(),
        }),
        state: BackendState::Serving,
        report: Some(LoadReport {
            seq: made_s as u64,
            running: report.running as u32,
            queued_tokens: report.queued_tokens,
            decode_slots: model.slots as u32,
            kv_used_ratio: 0.0,
            prefill_tokens_per_s: report.prefill_per_s,
            decode_tokens_per_s: report.decode_per_s,
        }),
        report_age: Duration::from_secs_f64(age_s),
        accepting,
        serving_since: engine.since,
    }
}

/// Adds up what the accepting engines can do.
fn capacity(
    engines: &[Engine],
    reports: &[(EngineReportData, f64)],
    accepting: &[bool],
    model: &EngineModel,
) -> GroupCapacity {
    let mut capacity = GroupCapacity {
        group: "lm".into(),
        backends: 0,
        slots: 0,
        running: 0,
        queued_tokens: 0,
        prefill_tokens_per_s: 0.0,
        token_interval: Duration::from_secs_f64(
            model.step_base_s + model.step_s_per_request * model.slots as f64,
        ),
    };
    for (index, engine) in engines.iter().enumerate() {
        if !accepting[index] {
            continue;
        }
        let report = reports[index].0;
        capacity.running += report.running as u32;
        capacity.queued_tokens += report.queued_tokens;
        capacity.slots += match engine.role {
            Role::Prefill => 0,
            Role::Decode | Role::Mixed => model.slots as u32,
        };
        // A decode engine takes prompts in small pieces.
        let share = if engine.role == Role::Decode {
            0.25
        } else {
            1.0
        };
        capacity.backends += 1;
        capacity.prefill_tokens_per_s += share * model.prefill_tokens_per_s();
    }
    capacity
}
