//! The fleets that the experiments simulate.

use wagtailarch_fleet::{Policy, RoleBounds, RoleTable};
use wagtailarch_types::ZoneName;

/// A simulated fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FleetKind {
    /// 12 engines in 3 zones, goodput weight 0.8.
    Budapest,
    /// 18 engines in 3 zones, goodput weight 0.3.
    Lisse,
}

impl FleetKind {
    /// All fleets.
    pub const ALL: [Self; 2] = [Self::Budapest, Self::Lisse];
    /// Number of entry instances in each zone.
    pub(crate) const INSTANCES_PER_ZONE: usize = 2;

    /// Returns the name used on the command line and in results.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Budapest => "budapest",
            Self::Lisse => "lisse",
        }
    }

    /// Returns the names of the zones.
    pub fn zones(self) -> [ZoneName; 3] {
        match self {
            Self::Budapest => ["buda-a", "pest-b", "obuda-c"],
            Self::Lisse => ["lisse", "hillegom", "noordwijk"],
        }
        .map(ZoneName::new)
    }

    /// Returns the number of engines in each zone.
    pub const fn engines_per_zone(self) -> usize {
        match self {
            Self::Budapest => 4,
            Self::Lisse => 6,
        }
    }

    /// Returns the policy that the fleet file would set.
    pub fn policy(self) -> Policy {
        let goodput_weight = match self {
            Self::Budapest => 0.8,
            Self::Lisse => 0.3,
        };
        Policy {
            goodput_weight,
            role_change_weight: 1.0 - goodput_weight,
            role_change_cost_s: 6.0,
            mix_horizon_s: 120.0,
            retry_budget_ratio: 0.1,
            retry_budget_floor_per_s: 2.0,
        }
    }

    /// Returns the role bounds that the fleet file would set; they permit every split of the zone.
    pub fn roles(self) -> RoleTable {
        let bounds = |min, max| Some(RoleBounds { min, max });
        let engines = self.engines_per_zone() as u32;
        RoleTable {
            prefill: bounds(0, engines),
            decode: bounds(0, engines),
            mixed: bounds(0, engines),
        }
    }
}
