//! How much of a demand a number of engines per role can serve.

use wagtailarch_types::Role;

/// Steps of the bisection; the share is exact to one in a million.
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
        *self.slot(role) += 1;
    }

    pub(crate) fn remove(&mut self, role: Role) {
        let slot = self.slot(role);
        *slot = slot.saturating_sub(1);
    }

    pub(crate) fn shift(&mut self, from: Role, to: Role) {
        self.remove(from);
        self.add(to);
    }

    fn slot(&mut self, role: Role) -> &mut u32 {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
            Role::Mixed => &mut self.mixed,
        }
    }
}

/// Capacity of engines that do both kinds of work, as a share of a pure engine's.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Efficiency {
    pub(crate) mixed: f64,
    pub(crate) decode_prefill: f64,
}

/// Returns the greatest share, from 0 to 1, of a demand that can be served. The demand is given in
/// engines that would do nothing else.
pub(crate) fn served_share(
    counts: &RoleCounts,
    prefill: f64,
    decode: f64,
    efficiency: Efficiency,
) -> f64 {
    if serves(counts, prefill, decode, efficiency) {
        return 1.0;
    }
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..BISECTION_STEPS {
        let share = (low + high) / 2.0;
        if serves(counts, share * prefill, share * decode, efficiency) {
            low = share;
        } else {
            high = share;
        }
    }
    low
}

/// Tells whether the demand fits: prompts go to prefill engines first, then to mixed ones, then to
/// decode engines; generation takes what is left. The router splits a request only when a prefill
/// engine processes its prompt earlier, so decode engines get prompts beside prefill engines.
fn serves(counts: &RoleCounts, prefill: f64, decode: f64, efficiency: Efficiency) -> bool {
    let mixed = f64::from(counts.mixed);
    let rest = (prefill - f64::from(counts.prefill)).max(0.0);
    let on_mixed = mixed.min(rest / efficiency.mixed);
    let rest = rest - on_mixed * efficiency.mixed;
    let on_decode = rest / efficiency.decode_prefill;
    let left_decode = f64::from(counts.decode) - on_decode;
    let left_mixed = (mixed - on_mixed) * efficiency.mixed;
    left_decode >= 0.0 && decode <= left_decode + left_mixed
}
