//! The fleet file before validation: values may be missing or invalid, and each has its position.

use smol_str::SmolStr;
use wagtailarch_types::Priority;

use crate::model::{
    Fleet, FleetSection, Group, GroupKind, Model, Policy, RoleBounds, RoleTable, Route, Service,
    Team,
};
use crate::reader::{Field, TableField, TableReader};
use crate::schema;
use crate::sink::{Sink, Span};

/// Value of a key; `None` if the key is missing or its value is invalid.
pub(crate) type Draft<T> = Option<Field<T>>;

/// A whole fleet file before validation.
#[derive(Default)]
pub(crate) struct FleetDraft {
    pub(crate) section: Option<SectionDraft>,
    pub(crate) policy: Option<PolicyDraft>,
    pub(crate) models: Vec<ModelDraft>,
    pub(crate) groups: Vec<GroupDraft>,
    pub(crate) services: Vec<ServiceDraft>,
    pub(crate) teams: Vec<TeamDraft>,
}

pub(crate) struct SectionDraft {
    pub(crate) name: Draft<SmolStr>,
    pub(crate) region: Draft<SmolStr>,
    pub(crate) zones: Option<Vec<Field<SmolStr>>>,
}

pub(crate) struct PolicyDraft {
    pub(crate) goodput_weight: Draft<f64>,
    pub(crate) role_change_weight: Draft<f64>,
    pub(crate) role_change_cost_s: Draft<f64>,
    pub(crate) mix_horizon_s: Draft<f64>,
    pub(crate) retry_budget_ratio: Draft<f64>,
    pub(crate) retry_budget_floor_per_s: Draft<f64>,
}

pub(crate) struct ModelDraft {
    pub(crate) name: Draft<SmolStr>,
    pub(crate) versions: Option<Vec<Field<SmolStr>>>,
    pub(crate) adapters: Option<Vec<Field<SmolStr>>>,
}

pub(crate) struct GroupDraft {
    pub(crate) span: Span,
    pub(crate) name: Draft<SmolStr>,
    pub(crate) kind: Option<GroupKind>,
    pub(crate) checks_fencing: Draft<bool>,
    pub(crate) model: Draft<SmolStr>,
    pub(crate) version: Draft<SmolStr>,
    pub(crate) adapters: Option<Vec<Field<SmolStr>>>,
    pub(crate) max_running: Draft<u32>,
    pub(crate) roles: RolesDraft,
}

#[derive(Default)]
pub(crate) struct RolesDraft {
    pub(crate) span: Span,
    pub(crate) prefill: Option<BoundsDraft>,
    pub(crate) decode: Option<BoundsDraft>,
    pub(crate) mixed: Option<BoundsDraft>,
}

pub(crate) struct BoundsDraft {
    pub(crate) min: Draft<u32>,
    pub(crate) max: Draft<u32>,
}

pub(crate) struct ServiceDraft {
    pub(crate) span: Span,
    pub(crate) name: Draft<SmolStr>,
    pub(crate) group: Draft<SmolStr>,
    pub(crate) model: Draft<SmolStr>,
    pub(crate) path_prefix: Draft<SmolStr>,
    /// Position of the key `model`, even if its value is invalid.
    ///
    /// The kind of the group decides whether this key and the next two are permitted.
    pub(crate) model_key: Option<Span>,
    pub(crate) path_prefix_key: Option<Span>,
    pub(crate) route_key: Option<Span>,
    pub(crate) routes: Vec<RouteDraft>,
}

pub(crate) struct RouteDraft {
    pub(crate) method: Draft<SmolStr>,
    pub(crate) path: Draft<SmolStr>,
    pub(crate) idempotent: Draft<bool>,
}

pub(crate) struct TeamDraft {
    pub(crate) name: Draft<SmolStr>,
    pub(crate) key_hash: Draft<SmolStr>,
    pub(crate) further_key_hashes: Option<Vec<Field<SmolStr>>>,
    pub(crate) requests_per_s: Draft<f64>,
    pub(crate) tokens_per_s: Draft<f64>,
    pub(crate) weight: Draft<f64>,
    pub(crate) priority: Option<Priority>,
    pub(crate) services: Option<Vec<Field<SmolStr>>>,
}

impl FleetDraft {
    /// Reads a file and reports invalid keys and values.
    ///
    /// [`check`](crate::check::check) reports the contradictions between them.
    pub(crate) fn read(sink: &mut Sink<'_>, root: TableField<'_, '_>) -> Self {
        let mut file = TableReader::new(sink, "the file", schema::FILE, root);
        let (section, policy) = (file.table("fleet"), file.table("policy"));
        let (models, groups) = (file.tables("model"), file.tables("group"));
        let (services, teams) = (file.tables("service"), file.tables("team"));
        Self {
            section: section.map(|table| SectionDraft::read(sink, table)),
            policy: policy.map(|table| PolicyDraft::read(sink, table)),
            models: models
                .into_iter()
                .map(|table| ModelDraft::read(sink, table))
                .collect(),
            groups: groups
                .into_iter()
                .map(|table| GroupDraft::read(sink, table))
                .collect(),
            services: services
                .into_iter()
                .map(|table| ServiceDraft::read(sink, table))
                .collect(),
            teams: teams
                .into_iter()
                .map(|table| TeamDraft::read(sink, table))
                .collect(),
        }
    }

    /// Converts the draft of a file without findings; `None` if a required value is missing.
    pub(crate) fn build(self) -> Option<Fleet> {
        Some(Fleet {
            fleet: self.section?.build()?,
            policy: self.policy?.build()?,
            models: self
                .models
                .into_iter()
                .map(ModelDraft::build)
                .collect::<Option<_>>()?,
            groups: self
                .groups
                .into_iter()
                .map(GroupDraft::build)
                .collect::<Option<_>>()?,
            services: self
                .services
                .into_iter()
                .map(ServiceDraft::build)
                .collect::<Option<_>>()?,
            teams: self
                .teams
                .into_iter()
                .map(TeamDraft::build)
                .collect::<Option<_>>()?,
        })
    }
}

impl SectionDraft {
    fn read(sink: &mut Sink<'_>, table: TableField<'_, '_>) -> Self {
        let mut section = TableReader::new(sink, "[fleet]", schema::FLEET, table);
        Self {
            name: section.name("name"),
            region: section.name("region"),
            zones: section.names("zones"),
        }
    }

    fn build(self) -> Option<FleetSection> {
        Some(FleetSection {
            name: self.name?.value,
            region: self.region?.value,
            zones: values(self.zones?),
        })
    }
}

impl PolicyDraft {
    fn read(sink: &mut Sink<'_>, table: TableField<'_, '_>) -> Self {
        let mut policy = TableReader::new(sink, "[policy]", schema::POLICY, table);
        Self {
            goodput_weight: policy.number("goodput_weight"),
            role_change_weight: policy.number("role_change_weight"),
            role_change_cost_s: policy.number("role_change_cost_s"),
            mix_horizon_s: policy.number("mix_horizon_s"),
            retry_budget_ratio: policy.number("retry_budget_ratio"),
            retry_budget_floor_per_s: policy.number("retry_budget_floor_per_s"),
        }
    }

    fn build(self) -> Option<Policy> {
        Some(Policy {
            goodput_weight: self.goodput_weight?.value,
            role_change_weight: self.role_change_weight?.value,
            role_change_cost_s: self.role_change_cost_s?.value,
            mix_horizon_s: self.mix_horizon_s?.value,
            retry_budget_ratio: self.retry_budget_ratio?.value,
            retry_budget_floor_per_s: self.retry_budget_floor_per_s?.value,
        })
    }
}

impl ModelDraft {
    fn read(sink: &mut Sink<'_>, table: TableField<'_, '_>) -> Self {
        let mut model = TableReader::new(sink, "[[model]]", schema::MODEL, table);
        Self {
            name: model.name("name"),
            versions: model.names("versions"),
            adapters: model.names("adapters"),
        }
    }

    fn build(self) -> Option<Model> {
        Some(Model {
            name: self.name?.value,
            versions: values(self.versions?),
            adapters: values(self.adapters.unwrap_or_default()),
        })
    }
}

impl GroupDraft {
    fn read(sink: &mut Sink<'_>, table: TableField<'_, '_>) -> Self {
        let mut group = TableReader::new(sink, "[[group]]", schema::GROUP, table);
        let kind = group.choice("kind").map(|kind| match kind.value.as_str() {
            "engine" => GroupKind::Engine,
            _ => GroupKind::Service,
        });
        check_keys_for_kind(&mut group, kind);
        let roles = group.table("roles");
        Self {
            span: group.span(),
            name: group.name("name"),
            kind,
            checks_fencing: group.boolean("checks_fencing"),
            model: group.name("model"),
            version: group.name("version"),
            adapters: group.names("adapters"),
            max_running: group.count("max_running"),
            roles: roles
                .map(|table| RolesDraft::read(sink, table))
                .unwrap_or_default(),
        }
    }

    fn build(self) -> Option<Group> {
        Some(Group {
            name: self.name?.value,
            kind: self.kind?,
            checks_fencing: self.checks_fencing.is_some_and(|checks| checks.value),
            model: self.model.map(|model| model.value),
            version: self.version.map(|version| version.value),
            adapters: values(self.adapters.unwrap_or_default()),
            max_running: self.max_running?.value,
            roles: RoleTable {
                prefill: build_bounds(self.roles.prefill)?,
                decode: build_bounds(self.roles.decode)?,
                mixed: build_bounds(self.roles.mixed)?,
            },
        })
    }
}

impl RolesDraft {
    fn read(sink: &mut Sink<'_>, table: TableField<'_, '_>) -> Self {
        let span = table.span.clone();
        let mut roles = TableReader::new(sink, "[group.roles]", schema::ROLES, table);
        let tables = [
            roles.table("prefill"),
            roles.table("decode"),
            roles.table("mixed"),
        ];
        let [prefill, decode, mixed] =
            tables.map(|table| table.map(|table| BoundsDraft::read(sink, table)));
        Self {
            span,
            prefill,
            decode,
            mixed,
        }
    }
}

impl BoundsDraft {
    fn read(sink: &mut Sink<'_>, table: TableField<'_, '_>) -> Self {
        let mut bounds = TableReader::new(sink, "the bounds of a role", schema::BOUNDS, table);
        Self {
            min: bounds.count("min"),
            max: bounds.count("max"),
        }
    }
}

impl ServiceDraft {
    fn read(sink: &mut Sink<'_>, table: TableField<'_, '_>) -> Self {
        let mut service = TableReader::new(sink, "[[service]]", schema::SERVICE, table);
        let routes = service.tables("route");
        Self {
            span: service.span(),
            name: service.name("name"),
            group: service.name("group"),
            model: service.name("model"),
            path_prefix: service.text("path_prefix"),
            model_key: service.key_span("model"),
            path_prefix_key: service.key_span("path_prefix"),
            route_key: service.key_span("route"),
            routes: routes
                .into_iter()
                .map(|table| RouteDraft::read(sink, table))
                .collect(),
        }
    }

    fn build(self) -> Option<Service> {
        Some(Service {
            name: self.name?.value,
            group: self.group?.value,
            model: self.model.map(|model| model.value),
            path_prefix: self.path_prefix.map(|prefix| prefix.value),
            routes: self
                .routes
                .into_iter()
                .map(RouteDraft::build)
                .collect::<Option<_>>()?,
        })
    }
}

impl RouteDraft {
    fn read(sink: &mut Sink<'_>, table: TableField<'_, '_>) -> Self {
        let mut route = TableReader::new(sink, "[[service.route]]", schema::ROUTE, table);
        Self {
            method: route.choice("method"),
            path: route.text("path"),
            idempotent: route.boolean("idempotent"),
        }
    }

    fn build(self) -> Option<Route> {
        let method = self.method?.value;
        let idempotent_method = matches!(method.as_str(), "GET" | "HEAD");
        Some(Route {
            idempotent: self
                .idempotent
                .map_or(idempotent_method, |idempotent| idempotent.value),
            path: self.path?.value,
            method,
        })
    }
}

impl TeamDraft {
    fn read(sink: &mut Sink<'_>, table: TableField<'_, '_>) -> Self {
        let mut team = TableReader::new(sink, "[[team]]", schema::TEAM, table);
        Self {
            name: team.name("name"),
            key_hash: team.text("key_hash"),
            further_key_hashes: team.texts("further_key_hashes"),
            requests_per_s: team.number("requests_per_s"),
            tokens_per_s: team.number("tokens_per_s"),
            weight: team.number("weight"),
            priority: team
                .choice("priority")
                .and_then(|priority| Priority::parse(&priority.value)),
            services: team.names("services"),
        }
    }

    fn build(self) -> Option<Team> {
        Some(Team {
            name: self.name?.value,
            key_hash: self.key_hash?.value,
            requests_per_s: self.requests_per_s?.value,
            tokens_per_s: self.tokens_per_s?.value,
            weight: self.weight.map_or(1.0, |weight| weight.value),
            priority: self.priority.unwrap_or_default(),
            services: values(self.services.unwrap_or_default()),
            further_key_hashes: values(self.further_key_hashes.unwrap_or_default()),
            route_priority: None,
        })
    }
}

/// Checks for missing keys, and for keys that a group of this kind cannot have.
fn check_keys_for_kind(group: &mut TableReader<'_, '_, '_, '_>, kind: Option<GroupKind>) {
    match kind {
        Some(GroupKind::Engine) => {
            for key in ["model", "version"] {
                if !group.has(key) {
                    group.report_missing(key);
                }
            }
        }
        Some(GroupKind::Service) => {
            for key in ["checks_fencing", "model", "version", "adapters", "roles"] {
                let Some(span) = group.key_span(key) else {
                    continue;
                };
                let message = format!("a group of kind \"service\" cannot have {key}");
                group
                    .sink
                    .report(&span, message, "remove the key, or set kind = \"engine\"");
            }
        }
        None => {}
    }
}

/// Converts bounds; the outer `None` means that a required value is missing.
fn build_bounds(bounds: Option<BoundsDraft>) -> Option<Option<RoleBounds>> {
    let Some(bounds) = bounds else {
        return Some(None);
    };
    Some(Some(RoleBounds {
        min: bounds.min?.value,
        max: bounds.max?.value,
    }))
}

fn values(fields: Vec<Field<SmolStr>>) -> Vec<SmolStr> {
    fields.into_iter().map(|field| field.value).collect()
}
