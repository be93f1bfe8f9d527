//! The platform's store: objects with revisions, lists, watches and conditional writes.

use std::{
    collections::{BTreeMap, VecDeque},
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message, Reader},
    json::Json,
};

/// Time that the store takes for a response, as the pages state.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Key = (String, String);

/// Time for which the store keeps its history, as the pages state.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    /// JSON text.
    spec: Arc<str>,
}

/// A change of an object.
struct Change {
    at: Instant,
    revision: u64,
    kind: String,
    /// The object after the change or before its deletion, as JSON text.
    object: Arc<str>,
    deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<Key, Object>,
    /// Changes, oldest first.
    history: VecDeque<Change>,
    /// Revision up to which the history is gone.
    expired: u64,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let shared = Arc::clone(&store);
        http::serve(listener, move |stream| shared.connection(stream));
        store
    }

    /// Writes an object as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(kind, name, Some(spec));
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    fn change(&self, kind: &str, name: &str, spec: Option<&str>) {
        self.state
            .lock()
            .expect("no panic")
            .change(kind, name, spec);
        self.changed.notify_all();
    }

    fn connection(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("a socket");
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message(false) {
            let (status, body) = self.respond(&request);
            thread::sleep(ANSWER_TIME);
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return (404, "null".into());
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let parameter = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(name, _)| *name == key)
                .map(|(_, value)| value.to_owned())
        };
        let number = |key: &str| parameter(key).and_then(|value| value.parse::<u64>().ok());
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let metadata = body.get("metadata");
        let condition = metadata
            .and_then(|m| m.get("revision"))
            .and_then(Json::number);
        let condition = condition.or_else(|| number("revision"));
        let spec = body.get("spec").unwrap_or(&Json::Null).to_string();
        match request.method() {
            "GET" if name.is_empty() && query.contains("watch=") => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                self.watch(kind, number("watch").unwrap_or(0), wait)
            }
            "GET" if name.is_empty() => self.list(kind, &parameter("after").unwrap_or_default()),
            "GET" => {
                let state = self.state.lock().expect("no panic");
                match state.object(kind, name) {
                    Some(object) => (200, object),
                    None => (404, "null".into()),
                }
            }
            "POST" => {
                let name = metadata.and_then(|m| m.get("name")).and_then(Json::text);
                self.write(kind, name.unwrap_or_default(), &spec, condition, true)
            }
            "PUT" => self.write(kind, name, &spec, condition, false),
            "DELETE" => {
                let exists = self
                    .state
                    .lock()
                    .expect("no panic")
                    .object(kind, name)
                    .is_some();
                if !exists {
                    return (404, "null".into());
                }
                self.delete(kind, name);
                (200, "null".into())
            }
            _ => (405, "null".into()),
        }
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        spec: &str,
        condition: Option<u64>,
        create: bool,
    ) -> (u16, String) {
        let mut state = self.state.lock().expect("no panic");
        let found = state
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned();
        match found {
            None if !create => return (404, "null".into()),
            Some(_) if create => {
                return (409, state.object(kind, name).expect("found"));
            }
            Some(found) if condition.is_some_and(|condition| condition != found.revision) => {
                return (409, state.object(kind, name).expect("found"));
            }
            Some(found) if *found.spec == *spec => {
                return (200, state.object(kind, name).expect("found"));
            }
            _ => {}
        }
        let object = state.change(kind, name, Some(spec));
        drop(state);
        self.changed.notify_all();
        (if create { 201 } else { 200 }, object)
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().expect("no panic");
        let keys = state
            .objects
            .keys()
            .filter(|(k, name)| k == kind && name.as_str() > after);
        let items: Vec<_> = keys.filter_map(|(k, name)| state.object(k, name)).collect();
        let items = items.join(",");
        let revision = state.revision;
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{revision}}}"),
        )
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().expect("no panic");
        loop {
            if after < state.expired {
                return (410, "null".into());
            }
            let newer = state
                .history
                .iter()
                .filter(|c| c.revision > after && c.kind == kind);
            let events: Vec<String> = newer
                .map(|c| format!("{{\"object\":{},\"deleted\":{}}}", c.object, c.deleted))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let revision = state.revision;
                return (
                    200,
                    format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"),
                );
            }
            state = self.changed.wait_timeout(state, left).expect("no panic").0;
        }
    }
}

impl State {
    fn object(&self, kind: &str, name: &str) -> Option<String> {
        let object = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(encode(name, object))
    }

    fn change(&mut self, kind: &str, name: &str, spec: Option<&str>) -> String {
        self.revision += 1;
        let revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        let before = self.objects.get(&key).cloned();
        let object = Object {
            revision,
            created: before.as_ref().map_or(revision, |before| before.created),
            spec: match (spec, before) {
                (Some(spec), _) => spec.into(),
                (None, Some(before)) => before.spec,
                (None, None) => "null".into(),
            },
        };
        let encoded = encode(name, &object);
        match spec {
            Some(_) => self.objects.insert(key, object),
            None => self.objects.remove(&key),
        };
        self.history.push_back(Change {
            at: Instant::now(),
            revision,
            kind: kind.to_owned(),
            object: encoded.as_str().into(),
            deleted: spec.is_none(),
        });
        while self
            .history
            .front()
            .is_some_and(|oldest| oldest.at.elapsed() > HISTORY)
        {
            self.expired = self.history.pop_front().map_or(0, |oldest| oldest.revision);
        }
        encoded
    }
}

fn encode(name: &str, object: &Object) -> String {
    let Object {
        revision,
        created,
        spec,
    } = object;
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"create_rev\":{created},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}
