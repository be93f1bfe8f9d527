//! The relays keep the last 512 configurations whole, so that a long configuration that changes often
//! takes them over their memory limit.

use std::{
    collections::HashSet,
    fs,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    deployment::{Gateway, KILL, Record, Server, TempFolder, repeat, request},
    missed_change::{HOST, configuration},
    store::Store,
};

/// `memory_mb` of the site's machines.
const MEMORY_KB: u64 = 260 * 1024;
/// Routes that one `big_config` adds, and number of these.
const ROUTES_MORE: usize = 350;
const GROWTHS: usize = 8;
/// A `config_storm`: a change each 0.08 s for 2 s.
const STORM_CHANGES: usize = 25;
const STORM_GAP: Duration = Duration::from_millis(80);
const STORMS: usize = 11;
/// `config_apply_ms` of the site and a second more.
const CONFIG_WINDOW_S: f64 = 3.0;

pub fn run(folder: &str, trouble: bool) -> Option<bool> {
    let record = Record::new();
    let temp = TempFolder::new();
    let store = Store::start();
    let servers: Vec<Server> = ["i-1", "i-2", "i-3"]
        .map(|id| Server::start(&record, id, 60))
        .into();
    for server in &servers {
        store.put(
            "servers",
            &server.id,
            &server.registration("app", "buda-a", "ready", 1_000),
        );
    }
    let mut prefixes = vec!["/book/".to_owned()];
    let mut version = 3;
    let put = |version: u64, prefixes: &[String]| {
        let prefixes: Vec<&str> = prefixes.iter().map(String::as_str).collect();
        let text = configuration(version, &prefixes);
        record.add(format!("config version={version}"));
        store.put("config", "main", &text);
        text.len()
    };
    put(version, &prefixes);
    let names = [
        ("front-buda-a-1", "buda-a"),
        ("front-buda-a-2", "buda-a"),
        ("front-buda-a-3", "buda-a"),
        ("front-pest-b-1", "pest-b"),
        ("front-pest-b-2", "pest-b"),
        ("front-obuda-c-1", "obuda-c"),
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
    let mut clients = Vec::new();
    for gateway in gateways.iter().chain(&gateways) {
        let (record, name, address) = (record.clone(), gateway.name.clone(), gateway.client);
        clients.push(repeat(&stop, Duration::from_millis(50), move || {
            request(&record, (&name, address), "POST", HOST, "/book/2f", 1_500);
        }));
    }
    // The platform ends a process that exceeds its memory, and starts it again.
    let kills = Arc::new(Mutex::new(vec![0_u32; gateways.len()]));
    let platform = {
        let (record, stop, kills, folder) = (
            record.clone(),
            Arc::clone(&stop),
            Arc::clone(&kills),
            temp.path.clone(),
        );
        let mut gateways = gateways;
        thread::spawn(move || {
            let mut rounds = 0;
            while !stop.load(Ordering::SeqCst) {
                let mut sizes = Vec::new();
                for (index, gateway) in gateways.iter_mut().enumerate() {
                    let size = resident_kb(gateway.pid());
                    sizes.push((size / 1024).to_string());
                    if size > MEMORY_KB {
                        gateway.signal(KILL);
                        record.tell(&format!(
                            "{} has {} MB, over the limit of 260, and is killed",
                            gateway.name,
                            size / 1024
                        ));
                        kills.lock().expect("no panic")[index] += 1;
                        gateway.restart_in(&folder);
                    }
                }
                if rounds % 50 == 0 {
                    record.tell(&format!("memory in MB: {}", sizes.join(" ")));
                }
                rounds += 1;
                sleep(Duration::from_millis(100));
            }
            gateways
        })
    };
    sleep(Duration::from_secs(3));
    if trouble {
        for growth in 0..GROWTHS {
            let more = (0..ROUTES_MORE).map(|number| format!("/g{growth}/{number}/"));
            prefixes.extend(more);
            version += 2;
            let bytes = put(version, &prefixes);
            record.tell(&format!(
                "the configuration has {} routes, {bytes} bytes",
                prefixes.len()
            ));
            sleep(Duration::from_millis(500));
        }
    }
    for storm in 0..STORMS {
        record.tell(&format!("storm {storm}: {STORM_CHANGES} changes"));
        for _ in 0..STORM_CHANGES {
            version += 2;
            put(version, &prefixes);
            sleep(STORM_GAP);
        }
        sleep(Duration::from_secs(6));
    }
    stop.store(true, Ordering::SeqCst);
    // The gateways run until the last client has its answer.
    let gateways = platform.join();
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    let kills = kills.lock().expect("no panic").clone();
    let machines = kills.iter().filter(|kills| **kills >= 3).count();
    record.tell(&format!(
        "ends by memory: {kills:?}; {machines} of {} machines with three or more",
        kills.len()
    ));
    record.write(folder);
    Some(judge(&record, folder))
}

/// Counts the requests that a server ran and whose connection ended without an answer, beside
/// configurations and at other times, and compares how often that was the case.
fn judge(record: &Record, folder: &str) -> bool {
    let text = fs::read_to_string(format!("{folder}/record.txt")).unwrap_or_default();
    let mut configured_at = f64::NEG_INFINITY;
    let mut ran = HashSet::new();
    // Requests and lost requests, beside configurations and at other times.
    let mut counts = [[0_u32; 2]; 2];
    for line in text.lines() {
        let time: f64 = line[..9].trim().parse().unwrap_or(0.0);
        let id = line
            .split("request=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next());
        match line[9..].split(' ').next() {
            Some("config") => configured_at = time,
            Some("run") => {
                ran.insert(id.unwrap_or_default().to_owned());
            }
            Some("answered") => {
                let beside = usize::from(time - configured_at <= CONFIG_WINDOW_S);
                counts[beside][0] += 1;
                let is_lost = line.contains(" status=0 ") && ran.contains(id.unwrap_or_default());
                counts[beside][1] += u32::from(is_lost);
            }
            _ => {}
        }
    }
    let [[other, other_lost], [beside, beside_lost]] = counts;
    record.tell(&format!(
        "run by a server and ended without an answer: {beside_lost} of {beside} requests beside a \
         configuration, {other_lost} of {other} at other times"
    ));
    record.write(folder);
    let often = |lost: u32, all: u32| f64::from(lost) / f64::from(all.max(1));
    beside_lost > 0 && often(beside_lost, beside) > 3.0 * often(other_lost, other)
}

/// Returns the resident memory of a process.
fn resident_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}
