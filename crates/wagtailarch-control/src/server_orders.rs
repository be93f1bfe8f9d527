//! How many servers of a service run in each availability zone.

use std::time::Duration;

use displaydoc::Display;
use indexmap::IndexMap;
use wagtailarch_types::{ScalingLimits, ZoneName};

use crate::server_demand::{AVERAGING_TIME, DemandPeak, ServerDemand};

/// Largest share of the regular servers' time that the peak may take after a loss.
///
/// The rest covers requests that are not spread evenly. Nearer to 1, the work of a peak waits until
/// its end.
const MAX_OCCUPIED_AFTER_LOSS: f64 = 0.9;
/// Servers beyond the occupied ones that are worth the full price, in roots of those.
///
/// Demands vary by chance by about one root; with two and a half, waits for a server are rare.
const SPARE_ROOTS: f64 = 2.5;
/// Time for which a peak counts, and in start-up times; the longer one applies.
///
/// Too few servers for one peak cost callers more than too many for a minute.
const PEAK_TIME: (Duration, u32) = (Duration::from_secs(60), 15);
/// Start-up times for which more servers than needed must be there before some leave: a server that
/// leaves and is missed is back after one.
const SURPLUS_START_TIMES: u32 = 2;
/// Largest share of the regular servers of a zone that leave by one order.
///
/// As many as with one of three zones, whose loss is borne, so that the next readings show whether
/// the others suffice.
const MAX_LEAVING_SHARE: f64 = 0.33;
/// Share by which servers that may be reclaimed exceed the need before some of them leave.
const RECLAIMABLE_SURPLUS: f64 = 0.25;
/// Shortest pause after a refused order, and in start-up times; the longer one applies.
const REFUSAL_PAUSE: (Duration, u32) = (Duration::from_secs(10), 2);
/// Start-up times after which an order whose servers are missing is repeated.
const REPEAT_START_TIMES: u32 = 3;

/// The kinds of servers that are ordered separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum ServerKind {
    /// regular
    Regular,
    /// reclaimable
    Reclaimable,
}

/// Why servers are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ServerOrderReason {
    /// a loss could not be borne at the peak
    Loss,
    /// cheap servers shorten the waits
    Waits,
    /// an earlier order was not carried out
    Repeat,
    /// more servers than needed
    Surplus,
}

/// An order for servers of one kind in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerOrder {
    /// Availability zone.
    pub zone: ZoneName,
    /// Kind of the servers.
    pub kind: ServerKind,
    /// Number of servers of this kind that shall run in the zone.
    pub count: u32,
    /// Number of those that are there.
    pub present: u32,
    /// Why they are ordered.
    pub reason: ServerOrderReason,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOrderOutcome {
    /// It is accepted, but not carried out yet.
    Accepted,
    /// None of these servers is available there at the moment.
    NoneAvailable,
    /// It was not given, or refused for now.
    NotGiven,
    /// It may have been accepted.
    Unknown,
}

/// The servers of a service in one zone that are registered and not leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneServers {
    /// Availability zone.
    pub zone: ZoneName,
    /// Regular servers.
    pub regular: u32,
    /// Servers that may be reclaimed.
    pub reclaimable: u32,
}

/// The input of [`ServerOrders`].
#[derive(Debug, Clone, Copy)]
pub struct ServerOrdersInput<'a> {
    /// Limits and prices.
    pub limits: &'a ScalingLimits,
    /// Present servers by zone.
    pub zones: &'a [ZoneServers],
    /// Demand on the servers; absent if no server is listed.
    pub demand: Option<ServerDemand>,
    /// Whether the demand of nearly all instances is known; otherwise no servers leave.
    pub complete: bool,
    /// Whether the loss of any one zone has to be borne.
    pub bear_zone_loss: bool,
}

/// The figures that decided, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OrderFigures {
    /// Servers that the recent peak would occupy fully.
    pub peak: f64,
    /// Regular servers that must remain after a loss.
    pub after_loss: u32,
    /// Servers of both kinds that are wanted.
    pub total: u32,
}

/// Decides how many servers of a service run in each zone.
///
/// Regular servers serve the recent peak after the loss of a zone and of all servers that may be
/// reclaimed. Those are added to shorten the waits. The number rises at once and falls slowly.
#[derive(Debug, Default)]
pub struct ServerOrders {
    peak: DemandPeak,
    zones: IndexMap<ZoneName, ZoneState>,
    /// Since when each zone has had all servers that were ordered, and more than needed overall.
    surplus_since: Option<Duration>,
    figures: OrderFigures,
}

#[derive(Debug, Default)]
struct ZoneState {
    regular: KindState,
    reclaimable: KindState,
}

/// Servers of one kind in one zone.
#[derive(Debug, Default)]
struct KindState {
    /// Number that is there.
    present: u32,
    /// The last order that may have been accepted, and when it was given.
    ordered: Option<(u32, Duration)>,
    /// When the last order was given or attempted.
    last_order_at: Option<Duration>,
    /// Time of a refusal after which no order is given for a while.
    refused_at: Option<Duration>,
}

impl KindState {
    /// Returns the number that is there or was ordered.
    fn expected(&self) -> u32 {
        let ordered = self.ordered.map_or(0, |(count, _)| count);
        self.present.max(ordered)
    }

    /// Returns whether none were available a short time ago.
    fn is_refused(&self, now: Duration, limits: &ScalingLimits) -> bool {
        let pause = longer(REFUSAL_PAUSE, limits);
        let refused_at = self.refused_at;
        refused_at.is_some_and(|at| now.saturating_sub(at) < pause)
    }

    /// Returns whether the average of the demand has not followed since the last order.
    fn is_recent(&self, now: Duration) -> bool {
        let last = self.last_order_at;
        last.is_some_and(|at| now.saturating_sub(at) < AVERAGING_TIME)
    }

    /// Returns whether ordered servers are missing.
    fn is_missing(&self) -> bool {
        self.ordered.is_some_and(|(count, _)| self.present < count)
    }

    fn is_overdue(&self, now: Duration, limits: &ScalingLimits) -> bool {
        let due = limits.start_time * REPEAT_START_TIMES;
        self.is_missing() && self.ordered.is_some_and(|(_, at)| now >= at + due)
    }
}

impl ServerOrders {
    /// Returns the orders that are due and records them as given.
    pub fn orders(&mut self, now: Duration, input: &ServerOrdersInput<'_>) -> Vec<ServerOrder> {
        let limits = input.limits;
        self.record(input.zones);
        // Before the first request, nothing is known about the demand.
        let keep = longer(PEAK_TIME, limits);
        let demand = input.demand.unwrap_or_default();
        if self.peak.peak().is_some() || demand.occupied_servers() > 0.0 {
            self.peak.add(now, &demand, keep);
        }
        let Some(peak) = self.peak.peak() else {
            return Vec::new();
        };
        let after_loss = (peak / MAX_OCCUPIED_AFTER_LOSS).ceil() as u32;
        let regular = self.regular_targets(now, input, after_loss);
        let total = match self.peak.is_warm() {
            true => total_target(limits, peak).max(regular.iter().sum()),
            // Caches of servers that join are empty as well.
            false => after_loss.max(regular.iter().sum()),
        };
        self.figures = OrderFigures {
            peak,
            after_loss,
            total,
        };
        let mut orders = self.raised_regular(now, limits, &regular);
        orders.extend(self.raised_reclaimable(now, limits, &regular));
        let had_to_rise = !orders.is_empty();
        let leaving = self.lowered(now, input, &regular, had_to_rise);
        orders.extend(leaving);
        for order in &orders {
            let state = self.state_mut(&order.zone, order.kind);
            state.ordered = Some((order.count, now));
            state.last_order_at = Some(now);
        }
        orders
    }

    /// Records what became of an order.
    pub fn on_outcome(&mut self, now: Duration, order: &ServerOrder, outcome: ServerOrderOutcome) {
        let state = self.state_mut(&order.zone, order.kind);
        match outcome {
            ServerOrderOutcome::Accepted | ServerOrderOutcome::Unknown => {}
            ServerOrderOutcome::NotGiven => state.ordered = None,
            ServerOrderOutcome::NoneAvailable => {
                state.ordered = None;
                state.refused_at = Some(now);
            }
        }
    }

    /// Returns the figures of the last decision.
    pub fn figures(&self) -> OrderFigures {
        self.figures
    }

    /// Returns the number of servers of a kind that are there or ordered, in all zones.
    pub fn expected(&self, kind: ServerKind) -> u32 {
        let zones = self.zones.values();
        zones.map(|zone| zone.kind(kind).expected()).sum()
    }

    fn state_mut(&mut self, zone: &ZoneName, kind: ServerKind) -> &mut KindState {
        let zone = self.zones.entry(zone.clone()).or_default();
        match kind {
            ServerKind::Regular => &mut zone.regular,
            ServerKind::Reclaimable => &mut zone.reclaimable,
        }
    }

    fn record(&mut self, present: &[ZoneServers]) {
        for (name, zone) in &mut self.zones {
            let servers = present.iter().find(|servers| servers.zone == *name);
            zone.regular.present = servers.map_or(0, |servers| servers.regular);
            zone.reclaimable.present = servers.map_or(0, |servers| servers.reclaimable);
        }
        for servers in present {
            let zone = self.zones.entry(servers.zone.clone()).or_default();
            zone.regular.present = servers.regular;
            zone.reclaimable.present = servers.reclaimable;
        }
        self.zones.sort_keys();
        for zone in self.zones.values_mut() {
            // Reclaimable servers that came and went are gone; regular ones that cannot be seen may
            // be back.
            if !zone.reclaimable.is_missing() {
                zone.reclaimable.ordered = None;
            }
        }
    }

    /// Returns the smallest number of regular servers for each zone that leaves `after_loss` servers
    /// if the zone with the most is lost; cheap zones come first among equal ones.
    ///
    /// A zone whose last order was refused counts with what it has.
    fn regular_targets(
        &self,
        now: Duration,
        input: &ServerOrdersInput<'_>,
        after_loss: u32,
    ) -> Vec<u32> {
        let limits = input.limits;
        let prices: Vec<_> = self.zones.keys().map(|z| limits.zone_price(z)).collect();
        let caps = self.zones.values().map(|zone| {
            let room = limits
                .max_servers
                .saturating_sub(zone.reclaimable.expected());
            match zone.regular.is_refused(now, limits) {
                true => zone.regular.present,
                false => room,
            }
        });
        let caps: Vec<u32> = caps.collect();
        let mut targets: Vec<u32> = caps.iter().map(|&c| limits.min_servers.min(c)).collect();
        loop {
            // A loss while the caches fill is not borne by servers that serve only for this time.
            let bears_loss = input.bear_zone_loss && self.peak.is_warm();
            let lost = match bears_loss && targets.len() > 1 {
                true => targets.iter().copied().max().unwrap_or(0),
                false => 0,
            };
            if targets.iter().sum::<u32>() - lost >= after_loss {
                return targets;
            }
            let room = (0..targets.len()).filter(|&zone| targets[zone] < caps[zone]);
            let next = room.min_by(|&a, &b| {
                let by_count = targets[a].cmp(&targets[b]);
                by_count.then(prices[a].total_cmp(&prices[b]))
            });
            match next {
                Some(zone) => targets[zone] += 1,
                None => return targets,
            }
        }
    }

    /// Returns orders where fewer regular servers than `targets` are there or ordered.
    fn raised_regular(
        &self,
        now: Duration,
        limits: &ScalingLimits,
        targets: &[u32],
    ) -> Vec<ServerOrder> {
        let mut orders = Vec::new();
        for ((name, zone), &target) in self.zones.iter().zip(targets) {
            let state = &zone.regular;
            let is_closed = state.is_refused(now, limits) || state.is_recent(now);
            if is_closed || state.present >= target {
                continue;
            }
            let reason = match state.expected() < target {
                true => ServerOrderReason::Loss,
                false if state.is_overdue(now, limits) => ServerOrderReason::Repeat,
                false => continue,
            };
            orders.push(ServerOrder {
                zone: name.clone(),
                kind: ServerKind::Regular,
                count: target,
                present: state.present,
                reason,
            });
        }
        orders
    }

    /// Returns orders that add reclaimable servers up to the wanted total, evenly over the zones that
    /// have some available.
    fn raised_reclaimable(
        &self,
        now: Duration,
        limits: &ScalingLimits,
        regular: &[u32],
    ) -> Vec<ServerOrder> {
        let wanted = self.wanted_reclaimable(limits, regular);
        let zones: Vec<_> = self.zones.iter().collect();
        let open = |index: usize| !zones[index].1.reclaimable.is_refused(now, limits);
        // Servers that were ordered and are overdue do not count, so that they are repeated or come
        // from another zone.
        let counts = zones.iter().map(|(_, zone)| {
            let state = &zone.reclaimable;
            match state.is_overdue(now, limits) {
                true => state.present,
                false => state.expected(),
            }
        });
        let mut counts: Vec<u32> = counts.collect();
        let before = counts.clone();
        let mut missing = wanted.saturating_sub(counts.iter().sum());
        while missing > 0 {
            let room = (0..zones.len()).filter(|&index| {
                let regular = zones[index].1.regular.expected().max(regular[index]);
                open(index) && counts[index] + regular < limits.max_servers
            });
            let next = room.min_by(|&a, &b| {
                let price = |index: usize| limits.zone_price(zones[index].0);
                let by_count = counts[a].cmp(&counts[b]);
                by_count.then(price(a).total_cmp(&price(b)))
            });
            let Some(zone) = next else {
                break;
            };
            counts[zone] += 1;
            missing -= 1;
        }
        let mut orders = Vec::new();
        for (index, (name, zone)) in zones.iter().enumerate() {
            if counts[index] == before[index] || zone.reclaimable.is_recent(now) {
                continue;
            }
            let reason = match zone.reclaimable.is_overdue(now, limits) {
                true => ServerOrderReason::Repeat,
                false => ServerOrderReason::Waits,
            };
            orders.push(ServerOrder {
                zone: (*name).clone(),
                kind: ServerKind::Reclaimable,
                count: counts[index],
                present: zone.reclaimable.present,
                reason,
            });
        }
        orders
    }

    /// Returns orders that let servers leave of which there have been more than needed for some time.
    ///
    /// None leave while ordered servers are missing, so that a lost zone or servers that start are
    /// waited for.
    fn lowered(
        &mut self,
        now: Duration,
        input: &ServerOrdersInput<'_>,
        regular: &[u32],
        had_to_rise: bool,
    ) -> Vec<ServerOrder> {
        let limits = input.limits;
        let hold = limits.start_time * SURPLUS_START_TIMES;
        let mut zones = self.zones.values();
        let is_missing = zones.any(|zone| zone.regular.is_missing() || zone.lost());
        if had_to_rise || is_missing || !input.complete || !self.peak.is_warm() {
            self.surplus_since = None;
            return Vec::new();
        }
        let since = *self.surplus_since.get_or_insert(now);
        if now.saturating_sub(since) < hold {
            return Vec::new();
        }
        let mut orders = self.leaving_regular(limits, regular);
        if orders.is_empty() {
            orders = self.leaving_reclaimable(limits, regular);
        }
        if !orders.is_empty() {
            self.surplus_since = None;
        }
        orders
    }

    /// Returns orders that let regular servers leave, while enough of both kinds remain.
    fn leaving_regular(&self, limits: &ScalingLimits, targets: &[u32]) -> Vec<ServerOrder> {
        let zones = self.zones.values();
        let present = zones.map(|zone| zone.regular.present + zone.reclaimable.present);
        let mut spare = present.sum::<u32>().saturating_sub(self.figures.total);
        let mut by_price: Vec<_> = self.zones.iter().zip(targets).collect();
        by_price.sort_by(|((a, _), _), ((b, _), _)| {
            limits.zone_price(b).total_cmp(&limits.zone_price(a))
        });
        let mut orders = Vec::new();
        for ((name, zone), &target) in by_price {
            let present = zone.regular.present;
            let most = (f64::from(present) * MAX_LEAVING_SHARE).ceil() as u32;
            let leaving = present.saturating_sub(target).min(most).min(spare);
            if leaving == 0 {
                continue;
            }
            spare -= leaving;
            orders.push(ServerOrder {
                zone: name.clone(),
                kind: ServerKind::Regular,
                count: present - leaving,
                present,
                reason: ServerOrderReason::Surplus,
            });
        }
        orders
    }

    /// Returns orders that let reclaimable servers leave the zones with the most of them.
    fn leaving_reclaimable(&self, limits: &ScalingLimits, regular: &[u32]) -> Vec<ServerOrder> {
        let wanted = self.wanted_reclaimable(limits, regular);
        let zones: Vec<_> = self.zones.iter().collect();
        let counts = zones.iter().map(|(_, zone)| zone.reclaimable.present);
        let mut counts: Vec<u32> = counts.collect();
        let kept = (f64::from(wanted) * (1.0 + RECLAIMABLE_SURPLUS)).ceil() as u32;
        if counts.iter().sum::<u32>() <= kept {
            return Vec::new();
        }
        while counts.iter().sum::<u32>() > wanted
            && let Some(most) = counts.iter_mut().max()
        {
            *most -= 1;
        }
        let mut orders = Vec::new();
        for ((name, zone), count) in zones.into_iter().zip(counts) {
            let present = zone.reclaimable.present;
            if count == present {
                continue;
            }
            orders.push(ServerOrder {
                zone: name.clone(),
                kind: ServerKind::Reclaimable,
                count,
                present,
                reason: ServerOrderReason::Surplus,
            });
        }
        orders
    }

    /// Returns the number of reclaimable servers that complete the regular ones to the wanted total.
    fn wanted_reclaimable(&self, limits: &ScalingLimits, regular: &[u32]) -> u32 {
        if limits.reclaimable_price.is_none_or(|price| price >= 1.0) {
            return 0;
        }
        self.figures.total.saturating_sub(regular.iter().sum())
    }
}

impl ZoneState {
    fn kind(&self, kind: ServerKind) -> &KindState {
        match kind {
            ServerKind::Regular => &self.regular,
            ServerKind::Reclaimable => &self.reclaimable,
        }
    }

    /// Returns whether the zone has had servers and has none now.
    fn lost(&self) -> bool {
        self.regular.present + self.reclaimable.present == 0
    }
}

/// Returns the number of servers of both kinds for a peak.
///
/// Spare servers are worth their price as long as they shorten waits: cheaper ones for rarer waits.
fn total_target(limits: &ScalingLimits, peak: f64) -> u32 {
    let price = limits.reclaimable_price.unwrap_or(1.0).clamp(0.1, 1.0);
    (peak + SPARE_ROOTS / price.sqrt() * peak.sqrt()).ceil() as u32
}

fn longer((shortest, start_times): (Duration, u32), limits: &ScalingLimits) -> Duration {
    shortest.max(limits.start_time * start_times)
}
