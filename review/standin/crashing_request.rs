//! A request that crashes its servers is let through again by each instance that a rolling restart
//! has started anew.

use std::{
    collections::HashMap,
    fs,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    deployment::{Gateway, Record, Server, TERM, TempFolder, repeat, request},
    missed_change::{HOST, configuration},
    store::Store,
};

/// Path of the request that crashes servers.
const GUILTY: &str = "/book/7f";
/// `stable_window_ms` of the site.
const STABLE_S: f64 = 3.0;
/// Time for which a server is down after a crash.
const DOWN: Duration = Duration::from_millis(2_000);

pub fn run(folder: &str, trouble: bool) -> Option<bool> {
    let record = Record::new();
    let temp = TempFolder::new();
    let store = Store::start();
    let servers: Vec<Server> = ["i-1", "i-2", "i-3"]
        .map(|id| Server::start(&record, id, 20))
        .into();
    let servers = Arc::new(servers);
    for server in servers.iter() {
        server.set_crashed_by(GUILTY, "");
        store.put(
            "servers",
            &server.id,
            &server.registration("app", "lisse", "ready", 1_000),
        );
    }
    store.put("config", "main", &configuration(3, &["/one/", "/book/"]));
    let names = [
        ("front-lisse-1", "lisse"),
        ("front-lisse-2", "lisse"),
        ("front-lisse-3", "lisse"),
        ("front-hillegom-1", "hillegom"),
        ("front-hillegom-2", "hillegom"),
        ("front-noordwijk-1", "noordwijk"),
    ];
    let mut gateways: Vec<Gateway> = names
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
    // Since when each instance has been undisturbed.
    let calm = Arc::new(Mutex::new(vec![Some(0.0); gateways.len()]));
    // The caller sends the request again and again, to one machine after the other.
    let sent: Arc<Mutex<HashMap<usize, f64>>> = Arc::default();
    let addresses: Vec<_> = gateways
        .iter()
        .map(|g| (g.name.clone(), g.client))
        .collect();
    let mut clients = Vec::new();
    for (name, address) in addresses.clone() {
        let record = record.clone();
        clients.push(repeat(&stop, Duration::from_millis(100), move || {
            request(&record, (&name, address), "GET", HOST, "/one/2f", 1_500);
        }));
    }
    let caller = {
        let (record, addresses, calm, sent) = (
            record.clone(),
            addresses,
            Arc::clone(&calm),
            Arc::clone(&sent),
        );
        let mut next = 0;
        repeat(&stop, Duration::from_millis(500), move || {
            let (name, address) = &addresses[next];
            let since = calm.lock().expect("no panic")[next];
            let is_in_touch = since.is_some_and(|since| record.now() - since >= STABLE_S);
            record.add(format!("guilty gateway={name} in_touch={is_in_touch}"));
            request(&record, (name, *address), "POST", HOST, GUILTY, 1_500);
            sent.lock().expect("no panic").insert(next, record.now());
            next = (next + 1) % addresses.len();
        })
    };
    sleep(Duration::from_secs(10));
    for index in 0..gateways.len() {
        let begun = Instant::now();
        if trouble {
            let name = gateways[index].name.clone();
            calm.lock().expect("no panic")[index] = None;
            record.tell(&format!("{name} gets SIGTERM"));
            gateways[index].signal(TERM);
            gateways[index].restart(&temp);
            let started = record.now();
            if !gateways[index].until_ready(Duration::from_secs(10)) {
                record.tell(&format!("{name} is not ready"));
                record.write(folder);
                return None;
            }
            calm.lock().expect("no panic")[index] = Some(started);
            record.tell(&format!("{name} is ready again"));
        }
        sleep(Duration::from_millis(12_500).saturating_sub(begun.elapsed()));
    }
    stop.store(true, Ordering::SeqCst);
    let _ = caller.join();
    for thread in clients.into_iter().chain(watchers) {
        let _ = thread.join();
    }
    record.write(folder);
    Some(judge(&record, folder))
}

/// Counts the runs of the request by machines in touch, sent later than the stable window after the
/// third crash.
fn judge(record: &Record, folder: &str) -> bool {
    let text = fs::read_to_string(format!("{folder}/record.txt")).unwrap_or_default();
    let mut in_touch = HashMap::new();
    let mut last_note = false;
    let mut sent_at = HashMap::new();
    let mut crashes = Vec::new();
    for line in text.lines() {
        let time: f64 = line[..9].trim().parse().unwrap_or(0.0);
        let fields: Vec<&str> = line[9..].split(' ').collect();
        let field = |name: &str| {
            let found = fields.iter().find_map(|field| field.strip_prefix(name));
            found.unwrap_or("").to_owned()
        };
        match fields[0] {
            "guilty" => last_note = field("in_touch=") == "true",
            "sent" if line.contains(GUILTY) => {
                in_touch.insert(field("request="), last_note);
                sent_at.insert(field("request="), time);
            }
            "crash" => crashes.push((time, field("request="))),
            _ => {}
        }
    }
    let third = crashes.get(2).map(|(time, _)| *time);
    record.tell(&format!(
        "{} crashes, the third at {third:?}",
        crashes.len()
    ));
    let Some(third) = third else {
        return false;
    };
    let counted = crashes
        .iter()
        .filter(|(_, id)| in_touch[id] && sent_at[id] > third + STABLE_S);
    let counted = counted.count();
    record.tell(&format!(
        "{counted} of them later than 3 s after it, by machines in touch; 3 allowed"
    ));
    record.write(folder);
    counted > 3
}
