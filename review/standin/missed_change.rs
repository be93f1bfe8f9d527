//! An instance misses a configuration for good, because a relay that reads from the store only since
//! a moment ago answers from a log that lacks what came before.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::Duration,
};

use crate::{
    deployment::{CONTINUE, Gateway, KILL, Record, STOP, Server, TempFolder, repeat, request},
    store::Store,
};

pub const HOST: &str = "ficu95.example";

pub fn configuration(version: u64, prefixes: &[&str]) -> String {
    let routes: Vec<String> = prefixes
        .iter()
        .map(|prefix| {
            let kind = if *prefix == "/book/" { "unsafe" } else { "safe" };
            format!(
                "{{\"name\":\"r-{}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
                 \"service\":\"app\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\
                 \"max_attempts\":2,\"sticky\":false}}",
                prefix.trim_matches('/')
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"app\",\"health_path\":\"/health\",\
         \"max_conns\":96}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

pub fn run(folder: &str, trouble: bool) -> Option<bool> {
    let record = Record::new();
    let temp = TempFolder::new();
    let store = Store::start();
    let servers: Vec<Server> = ["i-1", "i-2", "i-3"]
        .map(|id| Server::start(&record, id, 20))
        .into();
    for server in &servers {
        store.put(
            "servers",
            &server.id,
            &server.registration("app", "lisse", "ready", 1_000),
        );
    }
    store.put("config", "main", &configuration(3, &["/one/"]));
    // Three machines and the added one in the first zone, two in the second.
    let names = [
        ("front-lisse-1", "lisse"),
        ("front-lisse-2", "lisse"),
        ("front-lisse-3", "lisse"),
        ("front-lisse-4", "lisse"),
        ("front-hillegom-1", "hillegom"),
        ("front-hillegom-2", "hillegom"),
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
    for gateway in &gateways {
        let (record, name, address) = (record.clone(), gateway.name.clone(), gateway.client);
        clients.push(repeat(&stop, Duration::from_millis(60), move || {
            request(&record, (&name, address), "GET", HOST, "/one/2f", 1_500);
        }));
    }
    sleep(Duration::from_secs(8));
    let (gone, frozen) = (&gateways[2], &gateways[3]);
    if trouble {
        record.tell(&format!("{} is gone for good (SIGKILL)", gone.name));
        gone.signal(KILL);
    }
    sleep(Duration::from_millis(2_300));
    if trouble {
        record.tell(&format!("{} stands still (SIGSTOP)", frozen.name));
        frozen.signal(STOP);
    }
    sleep(Duration::from_millis(600));
    store.put("config", "main", &configuration(7, &["/one/", "/two/"]));
    record.tell("the store has acknowledged version 7, which adds the route /two/");
    sleep(Duration::from_millis(1_800));
    if trouble {
        record.tell(&format!("{} goes on (SIGCONT)", frozen.name));
        frozen.signal(CONTINUE);
    }
    // In touch again 3 s after the thaw; the bound of the configuration has passed long before.
    sleep(Duration::from_secs(6));
    record.tell("all machines are in touch");
    let mut broken = 0;
    for _ in 0..20 {
        for (index, gateway) in gateways.iter().enumerate() {
            if trouble && index == 2 {
                continue;
            }
            let status = request(
                &record,
                (&gateway.name, gateway.client),
                "GET",
                HOST,
                "/two/2f",
                1_500,
            );
            if status == 404 {
                broken += 1;
            } else if status != 200 {
                record.tell(&format!("{}: status {status}", gateway.name));
            }
        }
        sleep(Duration::from_millis(500));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    record.tell(&format!(
        "{broken} requests to /two/ were refused with 404 by machines in touch"
    ));
    record.write(folder);
    Some(broken > 0)
}
