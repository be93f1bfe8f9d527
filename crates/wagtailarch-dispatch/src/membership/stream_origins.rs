//! Software versions at which streams began, by the client attempt that received the first event.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use wagtailarch_types::VersionKey;
use wagtailarch_wire::origin::{Origin, OriginKey};

/// Time for which the clients of a stream may take it up.
///
/// Clients give up at their deadline; the longest one of the measured deployments is 15 s.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(120);
/// Maximum number of records, about 5 MB.
const MAX_RECORDS: usize = 65_536;

/// Software versions at which streams began, of this instance and of those for which it keeps
/// records.
///
/// Streams are identified by what clients send, so that the records are bounded in number: the
/// oldest ones are dropped, and their streams have an unknown origin then.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    records: HashMap<OriginKey, Record>,
    /// Keys with the time of their record, oldest first; outdated if the record has another time.
    by_age: VecDeque<(Duration, OriginKey)>,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    /// Absent if streams of several versions have the same key.
    version: Option<VersionKey>,
    at: Duration,
    /// `server_key` of the server of a stream that this instance serves or has broken off.
    own_server: Option<u32>,
}

impl StreamOrigins {
    /// Records a stream of this instance whose first event was sent by a server.
    pub fn on_begun(&mut self, now: Duration, key: OriginKey, version: VersionKey, server: u32) {
        self.insert(now, key, Some(version), Some(server));
    }

    /// Applies the record of a peer; a stream without a version has an unknown origin.
    pub fn on_record(&mut self, now: Duration, key: OriginKey, version: Option<VersionKey>) {
        self.insert(now, key, version, None);
    }

    /// Records that a client received a whole stream of this instance.
    pub fn on_completed(&mut self, key: OriginKey) {
        if let Some(record) = self.records.get_mut(&key) {
            record.own_server = None;
        }
    }

    /// Records that a server was started again with another software version, and returns the
    /// streams of this instance whose origin is unknown therefore.
    pub fn on_version_changed(&mut self, server: u32) -> Vec<OriginKey> {
        let records = self.records.iter_mut();
        let affected = records.filter(|(_, record)| record.own_server == Some(server));
        let affected = affected.map(|(key, record)| {
            record.version = None;
            *key
        });
        affected.collect()
    }

    /// Returns the version at which a stream began.
    pub fn origin(&self, now: Duration, key: OriginKey) -> Origin {
        let record = self.records.get(&key);
        match record.filter(|record| now.saturating_sub(record.at) < STREAM_LIFETIME) {
            None => Origin::Unknown,
            Some(record) => record.version.map_or(Origin::Ambiguous, Origin::Version),
        }
    }

    /// Returns the streams of this instance that are open or broke off.
    pub fn unfinished(&self) -> impl Iterator<Item = (OriginKey, VersionKey)> {
        let own = self.records.iter().filter(|(_, r)| r.own_server.is_some());
        own.filter_map(|(key, record)| Some((*key, record.version?)))
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn insert(
        &mut self,
        now: Duration,
        key: OriginKey,
        version: Option<VersionKey>,
        own_server: Option<u32>,
    ) {
        self.drop_old(now);
        let before = self.records.get(&key);
        let record = Record {
            version: version.filter(|_| before.is_none_or(|before| before.version == version)),
            at: now,
            own_server: own_server.or(before.and_then(|before| before.own_server)),
        };
        self.records.insert(key, record);
        self.by_age.push_back((now, key));
    }

    /// Drops records that are too old or too many.
    fn drop_old(&mut self, now: Duration) {
        while let Some(&(at, key)) = self.by_age.front() {
            let is_expired = now.saturating_sub(at) >= STREAM_LIFETIME;
            if !is_expired && self.by_age.len() < MAX_RECORDS {
                break;
            }
            self.by_age.pop_front();
            if self.records.get(&key).is_some_and(|record| record.at == at) {
                self.records.remove(&key);
            }
        }
    }
}
