//! A request crashes servers again and again: because alike requests of other callers, which are
//! sound, clear the suspicion, or because a crash in the middle of an answer raises none.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    deployment::{Gateway, Record, Server, TempFolder, repeat, request_of},
    missed_change::{HOST, configuration},
    store::Store,
};

/// What the guilty request looks like.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Guilt {
    /// Like the requests of other callers; it crashes servers before they answer.
    AlikeOthers,
    /// It has a path of its own and crashes servers in the middle of their answer.
    InAnswer,
}

/// Target to which the sound callers post, on a route of kind `unsafe`.
const TARGET: &str = "/book/2f";
/// The caller whose requests crash servers.
const GUILTY: &str = "Bearer c-13";
/// `stable_window_ms` of the site.
const STABLE_S: f64 = 3.0;
/// Time for which a server is down after a crash.
const DOWN: Duration = Duration::from_millis(2_000);

pub fn run(folder: &str, trouble: bool, guilt: Guilt) -> Option<bool> {
    let guilty_target = if guilt == Guilt::AlikeOthers {
        TARGET
    } else {
        "/book/7f"
    };
    let record = Record::new();
    let temp = TempFolder::new();
    let store = Store::start();
    let servers: Vec<Server> = ["i-1", "i-2", "i-3"]
        .map(|id| Server::start(&record, id, 60))
        .into();
    let servers = Arc::new(servers);
    for server in servers.iter() {
        server.set_crashed_by(guilty_target, GUILTY);
        if guilt == Guilt::InAnswer {
            server.crash_in_answer();
        }
        store.put(
            "servers",
            &server.id,
            &server.registration("app", "lisse", "ready", 1_000),
        );
    }
    store.put("config", "main", &configuration(3, &["/book/"]));
    let names = [
        ("front-lisse-1", "lisse"),
        ("front-lisse-2", "lisse"),
        ("front-lisse-3", "lisse"),
        ("front-hillegom-1", "hillegom"),
        ("front-hillegom-2", "hillegom"),
        ("front-noordwijk-1", "noordwijk"),
    ];
    let gateways: Vec<Gateway> = names
        .iter()
        .map(|(name, zone)| Gateway::start(&temp, &store, name, zone))
        .collect();
    for gateway in &gateways {
        if !gateway.until_ready(Duration::from_secs(15)) {
            record.tell(&format!("{} is not ready", gateway.name));
            record.write(folder);
            return None;
        }
    }
    record.tell("all instances are ready");
    let stop = Arc::new(AtomicBool::new(false));
    // Servers that have crashed are back after some seconds, as a new process under their id.
    let watchers: Vec<_> = (0..servers.len())
        .map(|index| {
            let (servers, store, record, stop) = (
                Arc::clone(&servers),
                Arc::clone(&store),
                record.clone(),
                Arc::clone(&stop),
            );
            thread::spawn(move || {
                let server = &servers[index];
                let mut seen = 0;
                while !stop.load(Ordering::SeqCst) {
                    let crashes = server.crashes.load(Ordering::SeqCst);
                    if crashes > seen {
                        server.crash();
                        sleep(DOWN);
                        server.start_again(&record);
                        seen = server.crashes.load(Ordering::SeqCst);
                        let state = server.registration("app", "lisse", "ready", 1_000 + seen);
                        store.put("servers", &server.id, &state);
                    }
                    sleep(Duration::from_millis(1));
                }
            })
        })
        .collect();
    let mut clients = Vec::new();
    for (index, gateway) in gateways.iter().enumerate() {
        let (record, name, address) = (record.clone(), gateway.name.clone(), gateway.client);
        let caller = format!("Bearer c-{index}");
        clients.push(repeat(&stop, Duration::from_millis(100), move || {
            request_of(
                &record,
                (&name, address),
                "POST",
                HOST,
                TARGET,
                1_500,
                &caller,
            );
        }));
    }
    // No machine is disturbed: all are in touch from here on.
    sleep(Duration::from_secs(6));
    if trouble {
        let addresses: Vec<_> = gateways
            .iter()
            .map(|g| (g.name.clone(), g.client))
            .collect();
        let record = record.clone();
        let mut next = 0;
        clients.push(repeat(&stop, Duration::from_millis(2_500), move || {
            let (name, address) = &addresses[next];
            request_of(
                &record,
                (name, *address),
                "POST",
                HOST,
                guilty_target,
                1_500,
                GUILTY,
            );
            next = (next + 1) % addresses.len();
        }));
    }
    sleep(Duration::from_secs(60));
    stop.store(true, Ordering::SeqCst);
    for thread in clients.into_iter().chain(watchers) {
        let _ = thread.join();
    }
    record.write(folder);
    Some(judge(&record, folder))
}

/// Counts the requests of the caller that crashed a server and were sent later than the stable window
/// after the third crash.
fn judge(record: &Record, folder: &str) -> bool {
    let text = fs::read_to_string(format!("{folder}/record.txt")).unwrap_or_default();
    let time = |line: &str| line[..9].trim().parse::<f64>().unwrap_or(0.0);
    let crashes: Vec<&str> = text
        .lines()
        .filter(|line| line[9..].starts_with("crash "))
        .collect();
    let third = crashes.get(2).map(|line| time(line));
    record.tell(&format!(
        "{} crashes, the third at {third:?}",
        crashes.len()
    ));
    let Some(third) = third else {
        record.write(folder);
        return false;
    };
    let later = text.lines().filter(|line| {
        let id = line
            .split("request=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next());
        line[9..].starts_with("sent ")
            && line.ends_with(GUILTY)
            && time(line) > third + STABLE_S
            && id.is_some_and(|id| crashes.iter().any(|crash| crash.ends_with(id)))
    });
    let later = later.count();
    record.tell(&format!(
        "{later} requests sent later than 3 s after it reached a server; 3 allowed"
    ));
    record.write(folder);
    later > 3
}
