//! Computes which share of a demand a given number of engines per role can serve.

use wagtailarch_types::Role;

/// Steps of the bisection, with which the error of the share is at most one in a million.
const BISECTION_STEPS: u32 = 20;

/// Number of engines per role.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RoleCounts {
    prefill: u32,
    decode: u32,
    mixed: u32,
}

impl RoleCounts {
    pub(crate) fn get(&self, role: Role) -> u32 {
        match role {
            Role::Prefill => self.prefill,
            Role::Decode => self.decode,
            Role::Mixed => self.mixed,
        }
    }

    pub(crate) fn add(&mut self, role: Role) {
        *self.count_mut(role) += 1;
    }

    pub(crate) fn remove(&mut self, role: Role) {
        let count = self.count_mut(role);
        *count = count.saturating_sub(1);
    }

    /// Moves one engine from a role to another.
    pub(crate) fn shift(&mut self, from: Role, to: Role) {
        self.remove(from);
        self.add(to);
    }

    fn count_mut(&mut self, role: Role) -> &mut u32 {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
            Role::Mixed => &mut self.mixed,
        }
    }
}

/// Capacity of engines that do prefill and decode, as a share of that of dedicated engines.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Efficiency {
    /// Capacity of a mixed engine.
    pub(crate) mixed: f64,
    /// Prefill capacity of a decode engine.
    pub(crate) decode_prefill: f64,
}

/// Returns the maximum share of a demand, from 0 to 1, that can be served. The demand is given as
/// a number of dedicated engines.
pub(crate) fn served_share(
    counts: &RoleCounts,
    prefill: f64,
    decode: f64,
    efficiency: Efficiency,
) -> f64 {
    if can_serve(counts, prefill, decode, efficiency) {
        return 1.0;
    }
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..BISECTION_STEPS {
        let share = (low + high) / 2.0;
        if can_serve(counts, share * prefill, share * decode, efficiency) {
            low = share;
        } else {
            high = share;
        }
    }
    low
}

/// Returns whether the engines can serve the demand. Prefill is assigned to prefill engines first,
/// then to mixed ones, then to decode engines; decoding uses the remaining capacity. Decode engines
/// get prompts although prefill engines exist, since the router splits a request only if a prefill
/// engine would process its prompt earlier.
fn can_serve(counts: &RoleCounts, prefill: f64, decode: f64, efficiency: Efficiency) -> bool {
    let mixed = f64::from(counts.mixed);
    let remaining = (prefill - f64::from(counts.prefill)).max(0.0);
    let on_mixed = mixed.min(remaining / efficiency.mixed);
    let remaining = remaining - on_mixed * efficiency.mixed;
    let on_decode = remaining / efficiency.decode_prefill;
    let remaining_decode = f64::from(counts.decode) - on_decode;
    let remaining_mixed = (mixed - on_mixed) * efficiency.mixed;
    remaining_decode >= 0.0 && decode <= remaining_decode + remaining_mixed
}
