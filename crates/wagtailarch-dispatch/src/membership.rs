//! Which backend servers may be given requests.

use std::{collections::HashSet, time::Duration};

use indexmap::IndexMap;
use wagtailarch_types::InstanceId;

use crate::BackendServer;

/// Time for which a missing server is kept after the store has returned.
///
/// Registrations that expired during an outage are written again within about two seconds if their
/// server is alive. A server that has left may get requests for two seconds after the store says so, and
/// the removal has to reach the traffic thread within the rest.
const REJOIN: Duration = Duration::from_millis(1_800);

/// The backend servers that the store lists, with what outages and late registrations require.
#[derive(Debug, Default)]
pub struct Membership {
    servers: IndexMap<InstanceId, Member>,
    /// Whether the store cannot be read at present.
    store_lost: bool,
    /// Until when a missing server may still come back; set when the store returns.
    rejoin_until: Option<Duration>,
}

#[derive(Debug)]
struct Member {
    server: BackendServer,
    /// When the server is gone unless it is registered again before.
    gone_at: Option<Duration>,
}

/// What became of a registration or its removal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChange {
    /// Nothing that concerns requests has changed.
    Unchanged,
    /// A server, or a new start of a known one, may be used.
    Added,
    /// A property of a server has changed.
    Updated,
    /// A server leaves and is given no more requests.
    Leaving,
    /// The registration is older than the one that is known.
    Outdated,
    /// The server is missing after an outage and may still come back.
    Missing,
    /// The server is gone.
    Removed,
}

impl Membership {
    /// Notes that the store cannot be read.
    pub fn on_store_lost(&mut self) {
        self.store_lost = true;
    }

    /// Takes over a complete list and returns what changed.
    pub fn on_list(
        &mut self,
        now: Duration,
        listed: Vec<BackendServer>,
    ) -> Vec<(InstanceId, MembershipChange)> {
        if std::mem::take(&mut self.store_lost) {
            self.rejoin_until = Some(now + REJOIN);
        }
        let ids: HashSet<_> = listed.iter().map(|server| server.id.clone()).collect();
        let known: Vec<_> = self.servers.keys().cloned().collect();
        let mut changes = Vec::new();
        for id in known {
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

    /// Takes over one registration.
    ///
    /// A registration that was written late is told by its start or its number and has no effect,
    /// and a server that has said that it leaves never returns under the same start.
    pub fn on_registered(&mut self, server: BackendServer) -> MembershipChange {
        let Some(member) = self.servers.get_mut(&server.id) else {
            let change = if server.leaving {
                MembershipChange::Leaving
            } else {
                MembershipChange::Added
            };
            let gone_at = None;
            self.servers
                .insert(server.id.clone(), Member { server, gone_at });
            return change;
        };
        let known = &member.server;
        let order = (server.started_unix_ms, server.heartbeat);
        if order < (known.started_unix_ms, known.heartbeat) {
            return MembershipChange::Outdated;
        }
        if server.same_start(known) && known.leaving && !server.leaving {
            return MembershipChange::Outdated;
        }
        let change = if !server.same_start(known) && !server.leaving {
            MembershipChange::Added
        } else if server.leaving && !known.leaving {
            MembershipChange::Leaving
        } else if server.role != known.role
            || server.slots != known.slots
            || member.gone_at.is_some()
        {
            MembershipChange::Updated
        } else {
            MembershipChange::Unchanged
        };
        member.server = server;
        member.gone_at = None;
        change
    }

    /// Takes over the removal of a registration.
    ///
    /// Right after an outage it may only mean that the server could not renew it.
    pub fn on_removed(&mut self, now: Duration, id: &InstanceId) -> MembershipChange {
        let Some(member) = self.servers.get_mut(id) else {
            return MembershipChange::Unchanged;
        };
        if let Some(until) = self.rejoin_until.filter(|until| *until > now)
            && !member.server.leaving
        {
            member.gone_at.get_or_insert(until);
            return MembershipChange::Missing;
        }
        self.servers.shift_remove(id);
        MembershipChange::Removed
    }

    /// Removes servers that did not come back, and returns them.
    pub fn remove_missing(&mut self, now: Duration) -> Vec<InstanceId> {
        let gone = |member: &Member| member.gone_at.is_some_and(|at| at <= now);
        let ids: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, member)| gone(member))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &ids {
            self.servers.shift_remove(id);
        }
        ids
    }

    /// Returns when [`Self::remove_missing`] has something to do next.
    pub fn next_removal(&self) -> Option<Duration> {
        self.servers.values().filter_map(|m| m.gone_at).min()
    }

    /// Returns the servers that may be given requests.
    pub fn usable(&self) -> impl Iterator<Item = &BackendServer> {
        let servers = self.servers.values().map(|member| &member.server);
        servers.filter(|server| !server.leaving)
    }
}
