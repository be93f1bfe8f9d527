//! Choice of backend servers until `wagtailarch_traffic::Router` is in use.

use std::{
    collections::HashMap,
    sync::{
        Arc, RwLock,
        atomic::{AtomicU32, Ordering},
    },
};

use smol_str::SmolStr;
use wagtailarch_types::{Assignment, GroupName, InstanceId, Phase};

/// A backend server as routing sees it.
#[derive(Debug, Clone)]
pub struct BackendView {
    /// Name.
    pub id: InstanceId,
    /// Group.
    pub group: GroupName,
    /// Address (`ip:port`).
    pub address: SmolStr,
    /// What an engine serves.
    pub assignment: Option<Assignment>,
    /// Whether new work may be sent.
    pub accepting: bool,
}

/// A chosen backend server; counts as one request in flight until it is dropped.
#[derive(Debug)]
pub struct Pick {
    /// Name.
    pub id: InstanceId,
    /// Address (`ip:port`).
    pub address: SmolStr,
    in_flight: Arc<AtomicU32>,
}

impl Drop for Pick {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Chooses the backend server with the fewest requests in flight.
#[derive(Debug, Default)]
pub struct Router {
    backends: RwLock<HashMap<InstanceId, (BackendView, Arc<AtomicU32>)>>,
}

impl Router {
    /// Replaces the backend servers; counts of known ones are kept.
    pub fn update(&self, views: Vec<BackendView>) {
        let mut backends = self.backends.write().expect("no holder panics");
        let mut next = HashMap::with_capacity(views.len());
        for view in views {
            let count = backends
                .remove(&view.id)
                .map(|(_, count)| count)
                .unwrap_or_default();
            next.insert(view.id.clone(), (view, count));
        }
        *backends = next;
    }

    /// Chooses a backend server of `group` for `phase`.
    pub fn pick(&self, group: &str, phase: Option<Phase>, excluded: &[InstanceId]) -> Option<Pick> {
        let backends = self.backends.read().expect("no holder panics");
        let fits = |view: &BackendView| {
            let serves = match (phase, &view.assignment) {
                (Some(phase), Some(assignment)) => assignment.role.serves(phase),
                (Some(_), None) => false,
                (None, _) => true,
            };
            view.accepting && view.group == group && serves && !excluded.contains(&view.id)
        };
        let candidates = backends.values().filter(|(view, _)| fits(view));
        let (view, count) = candidates.min_by_key(|(_, count)| count.load(Ordering::Relaxed))?;
        count.fetch_add(1, Ordering::Relaxed);
        Some(Pick {
            id: view.id.clone(),
            address: view.address.clone(),
            in_flight: Arc::clone(count),
        })
    }
}
