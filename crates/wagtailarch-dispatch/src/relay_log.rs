//! Log of the objects of a kind, from which a relay serves other instances.

use std::collections::VecDeque;

use indexmap::IndexMap;
use smol_str::SmolStr;
use wagtailarch_types::ObjectVersion;

use crate::StoreRead;

/// Maximum size of the objects in a response of a relay.
///
/// If sixty instances fetched a larger one at the same time, it would fill the 20 Mbit/s link of a
/// small machine for more than a second.
pub const MAX_RELAYED_BYTES: usize = 64 * 1024;
/// Number of changes that are kept; an instance that needs older ones receives all objects.
const MAX_CHANGES: usize = 512;

/// The objects of a kind and their latest changes, as this instance read them from the store
/// itself.
#[derive(Debug, Clone)]
pub struct RelayLog<T> {
    objects: IndexMap<SmolStr, T>,
    /// Changes after `history_start`, each with the store version that a reader reaches with it.
    changes: VecDeque<(ObjectVersion, RelayChange<T>)>,
    /// Total size of `changes`, at most [`MAX_RELAYED_BYTES`].
    changes_bytes: usize,
    /// Version after which all changes are kept.
    history_start: ObjectVersion,
    /// Newest read of `objects`; absent if they were not last read from the store.
    read: Option<StoreRead>,
}

/// A change of one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayChange<T> {
    /// Name of the object.
    pub name: SmolStr,
    /// The object after the change, or before its deletion.
    pub object: T,
    /// Whether the object was deleted.
    pub deleted: bool,
    /// Size of the object.
    pub size_bytes: usize,
}

/// The updates that another instance needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayView<T> {
    /// The updates are unknown: this instance does not read from the store, or the store is
    /// unavailable.
    Unknown,
    /// There are no updates up to the version of the newest read, which may be below that of the
    /// instance.
    Unchanged(StoreRead),
    /// All objects.
    All(StoreRead, Vec<(SmolStr, T)>),
    /// The changes up to the version of the newest read.
    Changes(StoreRead, Vec<RelayChange<T>>),
}

impl<T> Default for RelayLog<T> {
    fn default() -> Self {
        Self {
            objects: IndexMap::new(),
            changes: VecDeque::new(),
            changes_bytes: 0,
            history_start: 0,
            read: None,
        }
    }
}

impl<T: Clone> RelayLog<T> {
    /// Replaces all objects by a complete list that was read from the store.
    pub fn on_list(&mut self, read: StoreRead, objects: Vec<(SmolStr, T)>) {
        self.objects = objects.into_iter().collect();
        self.changes.clear();
        self.changes_bytes = 0;
        self.history_start = read.version;
        self.read = Some(read);
    }

    /// Applies changes that were read from the store.
    pub fn on_changes(&mut self, read: StoreRead, changes: Vec<RelayChange<T>>) {
        let version = read.version;
        for change in changes {
            match change.deleted {
                true => self.objects.shift_remove(&change.name),
                false => self
                    .objects
                    .insert(change.name.clone(), change.object.clone()),
            };
            self.changes_bytes += change.size_bytes;
            self.changes.push_back((version, change));
        }
        while self.changes.len() > MAX_CHANGES || self.changes_bytes > MAX_RELAYED_BYTES {
            let Some((change_version, change)) = self.changes.pop_front() else {
                break;
            };
            self.changes_bytes -= change.size_bytes;
            self.history_start = change_version;
        }
        self.read = Some(read);
    }

    /// Records that the store is unavailable, or that updates come from another instance instead.
    pub fn on_store_lost(&mut self) {
        self.read = None;
    }

    /// Returns the updates for an instance that has all objects up to `known_version`.
    pub fn view(&self, known_version: Option<ObjectVersion>) -> RelayView<T> {
        let Some(read) = self.read else {
            return RelayView::Unknown;
        };
        let Some(known_version) =
            known_version.filter(|known_version| *known_version >= self.history_start)
        else {
            let objects = self.objects.iter();
            let objects = objects.map(|(name, object)| (name.clone(), object.clone()));
            return RelayView::All(read, objects.collect());
        };
        let newer = self
            .changes
            .iter()
            .filter(|(change_version, _)| *change_version > known_version);
        let newer: Vec<_> = newer.map(|(_, change)| change.clone()).collect();
        match newer.is_empty() {
            true => RelayView::Unchanged(read),
            false => RelayView::Changes(read, newer),
        }
    }
}
