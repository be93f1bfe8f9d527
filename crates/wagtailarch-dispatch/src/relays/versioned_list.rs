//! The newest list of objects, with the version under which it is relayed.

use wagtailarch_types::ObjectVersion;

/// The newest list of objects, with the version under which it is relayed.
///
/// The version of the store grows with changes of any kind. A list without differences keeps its
/// version, so that readers that have it do not receive it again.
#[derive(Debug, Clone)]
pub struct VersionedList<T> {
    /// Version at which the store held `objects`; absent until a list has been read.
    version: Option<ObjectVersion>,
    objects: Vec<T>,
}

impl<T> Default for VersionedList<T> {
    fn default() -> Self {
        Self {
            version: None,
            objects: Vec::new(),
        }
    }
}

impl<T: PartialEq> VersionedList<T> {
    /// Records a list from the store; returns the version under which it is relayed.
    pub fn on_stored(&mut self, version: ObjectVersion, objects: Vec<T>) -> ObjectVersion {
        match self.version {
            Some(known_version) if self.objects == objects => known_version,
            _ => {
                self.on_relayed(version, objects);
                version
            }
        }
    }

    /// Records a list that a relay passed on with its version.
    pub fn on_relayed(&mut self, version: ObjectVersion, objects: Vec<T>) {
        self.version = Some(version);
        self.objects = objects;
    }

    /// Returns the version of the newest list.
    pub fn version(&self) -> Option<ObjectVersion> {
        self.version
    }

    /// Returns the objects of the newest list.
    pub fn objects(&self) -> &[T] {
        &self.objects
    }
}
