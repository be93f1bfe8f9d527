//! Load notes waiting to be forwarded.

use std::cell::RefCell;

use indexmap::IndexMap;
use tokio::sync::Notify;
use wagtailarch_types::InstanceId;
use wagtailarch_wire::load_note::{LoadNote, NoteBundle};

/// Size from which a new bundle is started; a lost datagram then loses few notes.
const BUNDLE_BYTES: usize = 6 * 1024;

/// Load notes waiting to be forwarded, the newest of each instance.
#[derive(Debug, Default)]
pub struct PendingNotes {
    notes: RefCell<IndexMap<InstanceId, LoadNote>>,
    added: Notify,
}

impl PendingNotes {
    /// Adds a note, which replaces an older one of the same instance.
    pub fn add(&self, mut note: LoadNote) {
        let mut notes = self.notes.borrow_mut();
        if let Some(older) = notes.swap_remove(&note.sender) {
            note.merge_older(older);
        }
        notes.insert(note.sender.clone(), note);
        self.added.notify_one();
    }

    /// Waits until a note is added, so that an instance without notes to forward does not wake up.
    pub async fn added(&self) {
        self.added.notified().await;
    }

    /// Takes all notes, in bundles that fit into one datagram each.
    pub fn take(&self) -> Vec<NoteBundle> {
        let notes = std::mem::take(&mut *self.notes.borrow_mut());
        let mut bundles = Vec::new();
        let mut bundle = Vec::new();
        let mut bytes = 0;
        for note in notes.into_values() {
            let size = note.estimated_bytes();
            if bytes + size > BUNDLE_BYTES && !bundle.is_empty() {
                bundles.push(NoteBundle::new(std::mem::take(&mut bundle)));
                bytes = 0;
            }
            bytes += size;
            bundle.push(note);
        }
        if !bundle.is_empty() {
            bundles.push(NoteBundle::new(bundle));
        }
        bundles
    }
}
