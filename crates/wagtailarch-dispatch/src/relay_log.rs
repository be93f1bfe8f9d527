//! What a relay passes on of the objects of a kind.

use std::collections::VecDeque;

use indexmap::IndexMap;
use smol_str::SmolStr;
use wagtailarch_types::ObjectVersion;

/// Changes that are kept; an instance that lacks older ones gets all objects.
const MAX_CHANGES: usize = 512;

/// The objects of a kind and their latest changes, as this instance read them from the store itself.
#[derive(Debug, Clone)]
pub struct RelayLog<T> {
    objects: IndexMap<SmolStr, T>,
    /// Changes after `floor`, each with the version up to which it brings its reader.
    changes: VecDeque<(ObjectVersion, RelayChange<T>)>,
    /// Version after which all changes are kept.
    floor: ObjectVersion,
    /// Version of the store up to which `objects` holds; absent if it was not read from the store last.
    position: Option<ObjectVersion>,
}

/// A change of one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayChange<T> {
    /// Name of the object.
    pub name: SmolStr,
    /// The object as it is, or was when it was deleted.
    pub object: T,
    /// Whether it was deleted.
    pub deleted: bool,
}

/// What another instance lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayView<T> {
    /// This instance cannot tell: it does not read from the store, or the store does not answer.
    Unknown,
    /// Nothing.
    Unchanged,
    /// All objects at a version of the store.
    All(ObjectVersion, Vec<(SmolStr, T)>),
    /// The changes up to a version of the store.
    Changes(ObjectVersion, Vec<RelayChange<T>>),
}

impl<T> Default for RelayLog<T> {
    fn default() -> Self {
        Self {
            objects: IndexMap::new(),
            changes: VecDeque::new(),
            floor: 0,
            position: None,
        }
    }
}

impl<T: Clone> RelayLog<T> {
    /// Takes over a complete list that the store gave at `position`.
    pub fn on_list(&mut self, position: ObjectVersion, objects: Vec<(SmolStr, T)>) {
        self.objects = objects.into_iter().collect();
        self.changes.clear();
        self.floor = position;
        self.position = Some(position);
    }

    /// Takes over changes that the store gave up to `position`.
    pub fn on_changes(&mut self, position: ObjectVersion, changes: Vec<RelayChange<T>>) {
        for change in changes {
            match change.deleted {
                true => self.objects.shift_remove(&change.name),
                false => self
                    .objects
                    .insert(change.name.clone(), change.object.clone()),
            };
            self.changes.push_back((position, change));
        }
        while self.changes.len() > MAX_CHANGES {
            self.floor = self.changes.pop_front().map_or(position, |(at, _)| at);
        }
        self.position = Some(position);
    }

    /// Notes that the store does not answer, or that another instance is asked in its place.
    pub fn on_store_lost(&mut self) {
        self.position = None;
    }

    /// Returns what an instance lacks that has everything up to `have`.
    pub fn view(&self, have: Option<ObjectVersion>) -> RelayView<T> {
        let Some(position) = self.position else {
            return RelayView::Unknown;
        };
        let Some(have) = have.filter(|have| *have >= self.floor) else {
            let objects = self.objects.iter();
            let objects = objects.map(|(name, object)| (name.clone(), object.clone()));
            return RelayView::All(position, objects.collect());
        };
        let later = self.changes.iter().filter(|(at, _)| *at > have);
        let later: Vec<_> = later.map(|(_, change)| change.clone()).collect();
        match later.is_empty() {
            true => RelayView::Unchanged,
            false => RelayView::Changes(position, later),
        }
    }
}
