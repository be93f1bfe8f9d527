//! The platform's store: objects with revisions, lists, watches and conditional writes.

use std::{
    collections::BTreeMap,
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

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<Key, Object>,
    /// Changes: revision, kind, the object after it or before its deletion, and whether it was deleted.
    history: Vec<(u64, String, Json, bool)>,
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
        let spec = Json::parse(spec).expect("valid JSON");
        self.change(kind, name, Some(spec));
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }


    fn change(&self, kind: &str, name: &str, spec: Option<Json>) -> Json {
        let mut state = self.state.lock().expect("no panic");
        let changed = state.change(kind, name, spec);
        drop(state);
        self.changed.notify_all();
        changed
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
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return (404, "null".into());
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let parameter = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| *name == key).map(|(_, value)| value.to_owned())
        };
        let number = |key: &str| parameter(key).and_then(|value| value.parse::<u64>().ok());
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let metadata = body.get("metadata");
        let condition = metadata.and_then(|m| m.get("revision")).and_then(Json::number);
        let condition = condition.or_else(|| number("revision"));
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        match request.method() {
            "GET" if name.is_empty() && query.contains("watch=") => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                self.watch(kind, number("watch").unwrap_or(0), wait)
            }
            "GET" if name.is_empty() => self.list(kind, &parameter("after").unwrap_or_default()),
            "GET" => {
                let state = self.state.lock().expect("no panic");
                match state.object(kind, name) {
                    Some(object) => (200, object.to_string()),
                    None => (404, "null".into()),
                }
            }
            "POST" => {
                let name = metadata.and_then(|m| m.get("name")).and_then(Json::text);
                self.write(kind, name.unwrap_or_default(), spec, condition, true)
            }
            "PUT" => self.write(kind, name, spec, condition, false),
            "DELETE" => {
                let exists = self.state.lock().expect("no panic").object(kind, name).is_some();
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
        spec: Json,
        condition: Option<u64>,
        create: bool,
    ) -> (u16, String) {
        let mut state = self.state.lock().expect("no panic");
        let found = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        match found {
            None if !create => return (404, "null".into()),
            Some(_) if create => {
                return (409, state.object(kind, name).expect("found").to_string());
            }
            Some(found) if condition.is_some_and(|condition| condition != found.revision) => {
                return (409, state.object(kind, name).expect("found").to_string());
            }
            Some(found) if found.spec == spec => {
                return (200, state.object(kind, name).expect("found").to_string());
            }
            _ => {}
        }
        let object = state.change(kind, name, Some(spec));
        drop(state);
        self.changed.notify_all();
        (if create { 201 } else { 200 }, object.to_string())
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().expect("no panic");
        let keys = state.objects.keys().filter(|(k, name)| k == kind && name.as_str() > after);
        let items: Vec<Json> = keys.filter_map(|(k, name)| state.object(k, name)).collect();
        let items = Json::List(items);
        let revision = state.revision;
        (200, format!("{{\"items\":{items},\"has_more\":false,\"current_rev\":{revision}}}"))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().expect("no panic");
        loop {
            let events = state.history.iter().filter(|(revision, k, _, _)| *revision > after && k == kind);
            let events: Vec<String> = events
                .map(|(_, _, object, deleted)| format!("{{\"object\":{object},\"deleted\":{deleted}}}"))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let revision = state.revision;
                return (200, format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"));
            }
            state = self.changed.wait_timeout(state, left).expect("no panic").0;
        }
    }
}

impl State {
    fn object(&self, kind: &str, name: &str) -> Option<Json> {
        let object = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(encode(name, object))
    }

    fn change(&mut self, kind: &str, name: &str, spec: Option<Json>) -> Json {
        self.revision += 1;
        let revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        let before = self.objects.get(&key).cloned();
        let object = Object {
            revision,
            created: before.as_ref().map_or(revision, |before| before.created),
            spec: spec.clone().or(before.map(|before| before.spec)).unwrap_or(Json::Null),
        };
        let encoded = encode(name, &object);
        match spec {
            Some(_) => self.objects.insert(key, object),
            None => self.objects.remove(&key),
        };
        let deleted = !self.objects.contains_key(&(kind.to_owned(), name.to_owned()));
        self.history.push((revision, kind.to_owned(), encoded.clone(), deleted));
        encoded
    }
}

fn encode(name: &str, object: &Object) -> Json {
    let number = |value: u64| Json::Number(value as f64);
    let metadata = [
        ("name", Json::Text(name.to_owned())),
        ("revision", number(object.revision)),
        ("create_rev", number(object.created)),
        ("finalizers", Json::List(Vec::new())),
        ("deleting", Json::Bool(false)),
    ];
    let metadata = metadata.map(|(name, value)| (name.to_owned(), value));
    let members = [
        ("metadata".to_owned(), Json::Object(metadata.into())),
        ("spec".to_owned(), object.spec.clone()),
        ("status".to_owned(), Json::Null),
    ];
    Json::Object(members.into())
}
