//! Lists of all objects of a kind in the store.

use std::time::Duration;

use slog::warn;
use wagtailarch_adapter::{ObjectKind, StoreObject, decode_list, list_request};
use wagtailarch_dispatch::{NextPage, PagedList};
use wagtailarch_types::ObjectVersion;

use crate::{
    control::{ControlContext, store_error::StoreError},
    http_client::HttpClient,
    metrics::StoreCall,
};

/// All objects of a kind that calls can reach.
#[derive(Debug)]
pub struct ObjectList {
    /// Objects in the order of the store.
    pub objects: Vec<StoreObject>,
    /// Oldest version of a page; a watch from it misses no change between two pages.
    pub oldest_version: ObjectVersion,
    /// Newest version of a page.
    pub newest_version: ObjectVersion,
    /// Whether these are all objects of the kind.
    pub is_complete: bool,
}

/// Lists the objects of a kind, with `limit` as the time for each page; a stale list may be seconds
/// old.
pub async fn list_objects(
    context: &ControlContext,
    client: &mut HttpClient,
    kind: ObjectKind,
    stale: bool,
    limit: Duration,
) -> Result<ObjectList, StoreError> {
    let call = match stale {
        true => StoreCall::StaleList,
        false => StoreCall::List,
    };
    let mut list = PagedList::default();
    let mut oldest_version = ObjectVersion::MAX;
    let mut newest_version = 0;
    let mut after = None;
    loop {
        let request = list_request(kind, after.as_deref(), stale)?;
        context.metrics.count_store_call(call);
        let (status, body) = client.call(request, limit).await?;
        let page = decode_list(kind, status, &body)?;
        // A stale page may be older than the page before.
        oldest_version = page.store_version.min(oldest_version);
        newest_version = page.store_version.max(newest_version);
        let objects = page.objects.into_iter();
        let objects = objects.map(|object| (object.name.clone(), object));
        let is_complete = match list.on_page(objects, page.has_more, page.next_after) {
            NextPage::After(name) => {
                after = Some(name);
                continue;
            }
            NextPage::None => true,
            NextPage::Unreachable => {
                warn!(context.log, "list incomplete"; "kind" => kind.as_str(),
                    "after" => after.as_deref(), "cause" => "no usable name on the page");
                false
            }
        };
        return Ok(ObjectList {
            objects: list.into_objects().collect(),
            oldest_version,
            newest_version,
            is_complete,
        });
    }
}
