//! Lists that the store returns in pages.

use indexmap::IndexMap;
use smol_str::SmolStr;

/// The objects of a list that is read page by page, by name.
///
/// A page continues after a name that a call can carry, which need not be the last name of the page
/// before. Pages may therefore overlap; the later state of an object replaces the earlier one.
#[derive(Debug, Clone)]
pub struct PagedList<T> {
    objects: IndexMap<SmolStr, T>,
}

/// What follows a page of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextPage {
    /// The next page begins after this name.
    After(SmolStr),
    /// Nothing; the list is complete.
    None,
    /// More objects that no call can reach, so that the list stays incomplete.
    Unreachable,
}

impl<T> Default for PagedList<T> {
    fn default() -> Self {
        Self {
            objects: IndexMap::new(),
        }
    }
}

impl<T> PagedList<T> {
    /// Adds the objects of a page; `has_more` states whether more follow, and `after` is the last name
    /// on the page that a call can carry.
    ///
    /// A page without any new object would be followed by itself.
    pub fn on_page(
        &mut self,
        objects: impl IntoIterator<Item = (SmolStr, T)>,
        has_more: bool,
        after: Option<SmolStr>,
    ) -> NextPage {
        let known = self.objects.len();
        self.objects.extend(objects);
        if !has_more {
            return NextPage::None;
        }
        match after {
            Some(after) if self.objects.len() > known => NextPage::After(after),
            _ => NextPage::Unreachable,
        }
    }

    /// Returns the objects of all pages.
    pub fn into_objects(self) -> impl Iterator<Item = T> {
        self.objects.into_values()
    }
}
