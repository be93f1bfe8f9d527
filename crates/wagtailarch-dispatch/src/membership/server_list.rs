//! Membership of the backend servers, which determines the ones that may receive requests.

use std::{collections::HashSet, time::Duration};

use indexmap::IndexMap;
use wagtailarch_types::InstanceId;

use crate::{BackendServer, LeavingServers, ReadLimits, ServerProcess, StoreLoss};

/// Maximum time for which a server whose registration is missing is kept after the store is read
/// again; [`StoreLoss::removal_limit`] may end it before.
///
/// Registrations that expired during an outage are written again within about two seconds if their
/// server is alive.
const REJOIN_GRACE: Duration = Duration::from_millis(1_800);

/// The registered backend servers, including those whose registration may only be missing because
/// of an outage of the store.
#[derive(Debug, Default)]
pub struct Membership {
    servers: IndexMap<InstanceId, Member>,
    /// Servers that have said that they leave.
    leaving: LeavingServers,
    /// Time from which missing servers are kept until the store is read again; present while it is
    /// lost.
    kept_from: Option<Duration>,
    /// Until when servers with a missing registration are kept; set when the store is read again.
    rejoin_until: Option<Duration>,
}

#[derive(Debug)]
struct Member {
    server: BackendServer,
    /// Time at which the server is removed unless it registers again.
    remove_at: Option<Duration>,
}

/// The outcome of a registration or of its removal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChange {
    /// Nothing that concerns requests has changed.
    Unchanged,
    /// A new or restarted server may receive requests.
    Added,
    /// A property of a server has changed.
    Updated,
    /// The server is leaving and receives no further requests.
    Leaving,
    /// The registration is older than the current one and was ignored.
    Outdated,
    /// The registration is missing after an outage and the server is kept for now.
    Missing,
    /// The server was removed.
    Removed,
}

impl Membership {
    /// Records that the store cannot be read, and that this is an outage from `outage_from` on, in
    /// which servers that are missing since an earlier one cannot register again.
    pub fn on_store_lost(&mut self, outage_from: Duration) {
        self.kept_from = Some(outage_from);
    }

    /// Records that the store is read again; returns the time until which servers are kept whose
    /// registrations are missing.
    pub fn on_store_returned(
        &mut self,
        now: Duration,
        loss: StoreLoss,
        limits: &ReadLimits,
    ) -> Duration {
        self.kept_from = None;
        let until = (now + REJOIN_GRACE).min(loss.removal_limit(now, limits));
        self.rejoin_until = Some(until);
        if loss.is_outage(now, limits) {
            let removals = self.servers.values_mut();
            for at in removals.filter_map(|member| member.remove_at.as_mut()) {
                *at = until.max(*at);
            }
        }
        until
    }

    /// Applies a complete list of registrations and returns the changes.
    pub fn on_list(
        &mut self,
        now: Duration,
        listed: Vec<BackendServer>,
    ) -> Vec<(InstanceId, MembershipChange)> {
        let ids: HashSet<_> = listed.iter().map(|server| server.id.clone()).collect();
        let current: Vec<_> = self.servers.keys().cloned().collect();
        let mut changes = Vec::new();
        for id in current {
            if ids.contains(&id) {
                continue;
            }
            let change = self.on_removed(now, &id);
            changes.push((id, change));
        }
        for server in listed {
            let id = server.id.clone();
            let change = self.on_registered(server);
            changes.push((id, change));
        }
        changes.retain(|(_, change)| *change != MembershipChange::Unchanged);
        changes
    }

    /// Applies one registration.
    ///
    /// An older registration that arrives late is recognized by its start time or heartbeat number
    /// and ignored. A server that has announced that it leaves never returns without a restart.
    pub fn on_registered(&mut self, mut server: BackendServer) -> MembershipChange {
        let states_leaving = server.leaving;
        if states_leaving {
            self.leaving.insert(server.process());
        }
        server.leaving = self.leaving.contains(&server.process());
        let Some(member) = self.servers.get_mut(&server.id) else {
            let change = if server.leaving {
                MembershipChange::Leaving
            } else {
                MembershipChange::Added
            };
            let remove_at = None;
            self.servers
                .insert(server.id.clone(), Member { server, remove_at });
            return change;
        };
        let current = &member.server;
        let sequence = (server.started_unix_ms, server.heartbeat);
        if sequence < (current.started_unix_ms, current.heartbeat) {
            return MembershipChange::Outdated;
        }
        if server.same_process(current) && current.leaving && !states_leaving {
            return MembershipChange::Outdated;
        }
        let change = if !server.same_process(current) && !server.leaving {
            MembershipChange::Added
        } else if server.leaving && !current.leaving {
            MembershipChange::Leaving
        } else if server.role != current.role
            || server.slots != current.slots
            || member.remove_at.is_some()
        {
            MembershipChange::Updated
        } else {
            MembershipChange::Unchanged
        };
        member.server = server;
        member.remove_at = None;
        change
    }

    /// Records that a response of a server states that it leaves.
    pub fn on_stated_leaving(&mut self, process: ServerProcess) -> MembershipChange {
        self.leaving.insert(process.clone());
        let member = self.servers.get_mut(&process.id);
        match member.filter(|member| member.server.process() == process) {
            Some(member) if !member.server.leaving => {
                member.server.leaving = true;
                MembershipChange::Leaving
            }
            Some(_) | None => MembershipChange::Unchanged,
        }
    }

    /// Applies the removal of a registration.
    ///
    /// Shortly after an outage, a registration may have been removed only because the server could
    /// not renew it.
    pub fn on_removed(&mut self, now: Duration, id: &InstanceId) -> MembershipChange {
        let Some(member) = self.servers.get_mut(id) else {
            return MembershipChange::Unchanged;
        };
        if let Some(until) = self.rejoin_until.filter(|until| *until > now)
            && !member.server.leaving
        {
            member.remove_at.get_or_insert(until);
            return MembershipChange::Missing;
        }
        self.servers.shift_remove(id);
        MembershipChange::Removed
    }

    /// Removes the servers that have not registered again in time, and returns them.
    pub fn remove_missing(&mut self, now: Duration) -> Vec<InstanceId> {
        let is_due = |member: &Member| self.removal(member).is_some_and(|at| at <= now);
        let ids: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, member)| is_due(member))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &ids {
            self.servers.shift_remove(id);
        }
        ids
    }

    /// Returns the time at which [`Self::remove_missing`] removes the next server.
    pub fn next_removal(&self) -> Option<Duration> {
        let removals = self.servers.values();
        removals.filter_map(|member| self.removal(member)).min()
    }

    /// Returns the time at which a server is removed unless the state of the store changes.
    fn removal(&self, member: &Member) -> Option<Duration> {
        let is_kept = |at| self.kept_from.is_some_and(|kept_from| at >= kept_from);
        member.remove_at.filter(|at| !is_kept(*at))
    }

    /// Returns the start of a server that is registered, or kept though its registration is missing.
    pub fn process(&self, id: &InstanceId) -> Option<ServerProcess> {
        self.servers.get(id).map(|member| member.server.process())
    }

    /// Returns the starts of all such servers.
    pub fn processes(&self) -> Vec<ServerProcess> {
        let servers = self.servers.values();
        servers.map(|member| member.server.process()).collect()
    }

    /// Returns whether a start of a server is known to leave.
    pub fn is_leaving(&self, process: &ServerProcess) -> bool {
        self.leaving.contains(process)
    }

    /// Returns the servers that may receive requests.
    pub fn usable(&self) -> impl Iterator<Item = &BackendServer> {
        let servers = self.servers.values().map(|member| &member.server);
        servers.filter(|server| !server.leaving)
    }
}
