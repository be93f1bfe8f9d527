//! Simulated entry instance: admission and selection of engines by the policy.

use std::time::Duration;

use wagtailarch_fleet::Team;
use wagtailarch_traffic::{
    Admission, AdmitRequest, Admitted, BackendView, GroupCapacity, LoadReport, Router,
    SelectionRequest,
};
use wagtailarch_types::{
    Assignment, BackendKind, BackendState, InstanceId, Phase, Priority, Role, ZoneName,
};

use super::active_request::ActiveRequest;
use super::engine::{Engine, EngineModel, EngineState};
use super::fleet::FleetKind;
use super::policy::PolicyKind;
use super::roles::EngineReportData;
use super::workload::{RequestSpec, TEAM_COUNT};

/// Weight of a completed request in the mean ratio of output tokens to `max_tokens`.
const RATIO_WEIGHT: f64 = 0.01;

/// A simulated entry instance.
pub(crate) struct EntryInstance {
    policy: PolicyKind,
    router: Router,
    admission: Admission,
    /// Index of the engine from which the next search starts, for the policies without a router.
    next_engine: usize,
    /// Mean ratio of output tokens to `max_tokens`.
    output_ratio: f64,
    /// Whether admission has been given the teams.
    has_teams: bool,
}

impl EntryInstance {
    /// Creates an instance without any engine in its routing table.
    pub fn new(zone: ZoneName, seed: u64, policy: PolicyKind, engines: usize) -> Self {
        Self {
            policy,
            router: Router::new(zone, seed),
            admission: Admission::new(seed),
            next_engine: seed as usize % engines.max(1),
            output_ratio: 0.8,
            has_teams: false,
        }
    }

    /// Updates admission and router from the received reports.
    ///
    /// `reports` and `accepting` are in the order of `engines`; `accepting` holds whether each
    /// engine accepts requests.
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
            views.push(backend_view(
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
        if self.has_teams {
            self.admission.set_capacity(now, instances, &[capacity]);
        } else {
            self.admission.update(now, &teams(), instances, &[capacity]);
            self.has_teams = true;
        }
        self.router.update(now, views);
    }

    /// Accepts or refuses a request that must complete within `time_limit_s`.
    ///
    /// Returns `Ok(None)` for policies without admission.
    pub fn admit(
        &self,
        now: Duration,
        index: usize,
        spec: &RequestSpec,
        time_limit_s: f64,
    ) -> Result<Option<Admitted>, ()> {
        if !self.policy.uses_router() {
            return Ok(None);
        }
        let admit_request = AdmitRequest {
            team: format!("team-{}", spec.team).into(),
            group: "lm".into(),
            request_id: index as u128,
            priority: Priority::Normal,
            deadline: Some(Duration::from_secs_f64(time_limit_s)),
            prompt_tokens: spec.prompt_tokens,
            max_tokens: spec.max_tokens,
        };
        self.admission
            .admit(now, &admit_request)
            .map(Some)
            .map_err(|_| ())
    }

    /// Selects the engine of an attempt and sets its phase; returns the index of the engine.
    ///
    /// `preferred_zone` is the zone that holds the KV cache of a prefilled request.
    pub fn select_engine(
        &mut self,
        now: Duration,
        request: &mut ActiveRequest,
        preferred_zone: Option<ZoneName>,
        engines: &[Engine],
    ) -> Option<usize> {
        if !self.policy.uses_router() {
            return self.select_baseline(request, engines);
        }
        let mut criteria = selection_request(request, preferred_zone);
        if request.phase == Phase::Full
            && request.generated_tokens == 0
            && self.router.should_split(&criteria)
        {
            criteria.phase = Phase::Prefill;
        }
        let mut selection = self.router.select(now, &criteria);
        if selection.is_none() && criteria.phase != Phase::Full {
            // Without a prefill or decode engine, one engine runs the whole generation.
            criteria.phase = Phase::Full;
            request.prompt_tokens_left = request.prompt_tokens + request.generated_tokens;
            criteria.prompt_tokens = request.prompt_tokens_left;
            selection = self.router.select(now, &criteria);
        }
        let selection = selection?;
        let index = engines
            .iter()
            .position(|engine| engine.id == selection.id)?;
        request.phase = criteria.phase;
        request.selection = Some(selection);
        Some(index)
    }

    /// Stops selecting an engine until the next update.
    pub fn suspend(&self, id: &InstanceId) {
        self.router.suspend(id);
    }

    /// Records the length of an output in the mean ratio of output tokens to `max_tokens`.
    pub fn record_output(&mut self, max_tokens: u32, output_tokens: u32) {
        let ratio = f64::from(output_tokens) / f64::from(max_tokens.max(1));
        self.output_ratio += RATIO_WEIGHT * (ratio - self.output_ratio);
    }

    /// Returns the mean ratio of output tokens to `max_tokens`.
    pub fn output_ratio(&self) -> f64 {
        self.output_ratio
    }

    /// Selects an engine for a policy without a router: round robin, or the fewest requests.
    ///
    /// The number of requests is exact and current, which no real instance knows.
    fn select_baseline(
        &mut self,
        request: &mut ActiveRequest,
        engines: &[Engine],
    ) -> Option<usize> {
        request.phase = Phase::Full;
        let is_serving = |index: &usize| engines[*index].state == EngineState::Serving;
        let count = engines.len();
        let next_engine = self.next_engine;
        let mut candidates = (0..count)
            .map(|step| (next_engine + step) % count)
            .filter(is_serving);
        let selected = match self.policy {
            PolicyKind::LeastRequests => candidates.min_by_key(|index| engines[*index].load()),
            _ => candidates.next(),
        }?;
        self.next_engine = selected + 1;
        Some(selected)
    }
}

/// Returns the criteria for selecting an engine for an attempt.
fn selection_request(
    request: &ActiveRequest,
    preferred_zone: Option<ZoneName>,
) -> SelectionRequest {
    SelectionRequest {
        group: "lm".into(),
        kind: BackendKind::Engine,
        phase: request.phase,
        model: None,
        version: None,
        adapter: None,
        prefix_hashes: vec![request.prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15)],
        prompt_tokens: if request.phase == Phase::Decode {
            0
        } else {
            request.prompt_tokens_left
        },
        preferred_zone,
        excluded: Vec::new(),
        suspect: false,
        backends_with_suspects: Vec::new(),
    }
}

/// Returns the teams, whose limits are too high to refuse requests.
fn teams() -> Vec<Team> {
    let team = |index: u32| Team {
        name: format!("team-{index}").into(),
        key_hash: "".into(),
        further_key_hashes: Vec::new(),
        route_priority: None,
        requests_per_s: 1e6,
        tokens_per_s: 1e9,
        weight: 1.0,
        priority: Priority::Normal,
        services: Vec::new(),
    };
    (0..TEAM_COUNT).map(team).collect()
}

/// Converts a report to the router's view of an engine.
fn backend_view(
    engine: &Engine,
    report: EngineReportData,
    age_s: f64,
    reported_at_s: f64,
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
            seq: reported_at_s as u64,
            running: report.running as u32,
            queued_tokens: report.queued_tokens,
            decode_slots: model.slots as u32,
            kv_used_ratio: 0.0,
            prefill_tokens_per_s: report.prefill_per_s,
            decode_tokens_per_s: report.decode_per_s,
        }),
        report_age: Duration::from_secs_f64(age_s),
        accepting,
        serving_since: engine.serving_since,
    }
}

/// Returns the total capacity and load of the accepting engines.
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
        // Decode engines prefill in small chunks.
        let prefill_share = if engine.role == Role::Decode {
            0.25
        } else {
            1.0
        };
        capacity.backends += 1;
        capacity.prefill_tokens_per_s += prefill_share * model.prefill_tokens_per_s();
    }
    capacity
}
