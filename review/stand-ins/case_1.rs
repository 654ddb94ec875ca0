//! Case 1: a repeat of a tokened request that has run is refused while the table of requests is full.
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::{Engine, Store, Work};
use crate::gateway::{Connection, Extra};
use crate::thrift::Answer;
use crate::world::{control_plane, Server, Terms, World};
use crate::Verdict;

/// Seoul's site with the save as a tokened class; times and memory as on a day of real servers.
const SETTINGS: &str = r#"{"az":"gasan","classes":[
{"name":"route-profile","idempotency":"repeatable","promise":580000000,"deadline":2900000000,"late_worth":0.2,"window":5000000000,"worth":1.0},
{"name":"save-ride","idempotency":"by_key","promise":730000000,"deadline":4000000000,"late_worth":0.2,"window":5000000000,"worth":3.0}],
"clients":{"marks_retry":true},
"domain":{"advert":"weight","call_share":11.25,"caller_idle":8000000000,"callers":8,"calls_by_class":[true,true],"calls_over":5000000000,
"class_skip_worth":[0.0,0.0],"cores":12,"depends_on":"shared","fresh_start":false,"gauges":["cpu_busy","runnable","mem_used","sockets"],
"heeded":1000000000,"key_kb":21.27,"linger":200000000,"memory_kb":63456.0,"passes_deadline":false,"preemption":"drop","readiness":false,
"real_checks":false,"run_factor":8.0,"share_for":0,"tells_gone":false},
"goal":{"whole":0.4,"worst_class":0.35,"worst_tenant":0.1,"worst_window":0.15},"group_size":2,"over_share_worth":0.1,
"realms":[{"name":"georeum-app","portion":0.6,"quota_rps":173.0},{"name":"jeju-tours","portion":0.4,"quota_rps":127.0}],
"safety":{"answer_slack":100000000,"cold_from":0.22,"drain_grace":2000000000,"fall_multiple":8.0,"tip_after":3000000000,"warm_after":18000000000},
"worth_by":"request"}"#;

const WINDOW: Duration = Duration::from_millis(5_000);
/// Between a try and its repeat; well inside the window.
const REPEAT_AFTER: Duration = Duration::from_millis(2_500);
const SAVE_EVERY: Duration = Duration::from_millis(50);
const PLAY: Duration = Duration::from_secs(24);
/// When the bad clients come: 28 connections with 32 requests each.
const BURSTS: [Duration; 2] = [Duration::from_secs(8), Duration::from_secs(16)];
const BAD_CONNECTIONS: usize = 28;
const BAD_REQUESTS: usize = 32;
/// For how long they send again what is turned away.
const BAD_FOR: Duration = Duration::from_secs(2);
const ANSWER_LIMIT: Duration = Duration::from_millis(4_150);

#[derive(Default)]
struct Tally {
    first: HashMap<&'static str, u32>,
    repeats: HashMap<&'static str, u32>,
    bad: HashMap<&'static str, u32>,
    safe: HashMap<&'static str, u32>,
    /// Keys whose repeat was refused by the server on which they had run.
    refused_after_run: Vec<String>,
    /// Keys that ran on both servers.
    ran_twice: u32,
}

pub fn play(world: &Arc<World>, trouble: bool) -> Result<Verdict, String> {
    let work = [
        (
            "route-profile",
            Work {
                step: Duration::from_millis(20),
                calls: 1,
            },
        ),
        (
            "save-ride",
            Work {
                step: Duration::from_millis(20),
                calls: 1,
            },
        ),
    ];
    let store = Store::start(world, Duration::from_millis(5));
    let control = control_plane();
    let engines: Vec<Arc<Engine>> = ["engine-0", "engine-1"]
        .iter()
        .map(|name| Engine::start(world, name, 12, &work))
        .collect();
    let mut servers = Vec::new();
    for (name, engine) in ["n0", "n1"].into_iter().zip(&engines) {
        let terms = Terms {
            name,
            engine: engine.address,
            store: store.address,
            control,
            stop_ms: 4000,
            memory_mb: 32,
            sockets: 512,
            settings: SETTINGS,
        };
        servers.push(Server::start(world, &terms)?);
    }
    let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
    std::thread::sleep(Duration::from_millis(500));

    let tally: Arc<Mutex<Tally>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let begun = Instant::now();
    let mut threads = Vec::new();
    for client in 0..4 {
        let (world, addresses, tally, stop) = (world.clone(), addresses.clone(), tally.clone(), stop.clone());
        threads.push(std::thread::spawn(move || {
            safe_requests(&world, addresses[0], &tally, &stop, client)
        }));
    }
    let mut bursts = BURSTS.iter().peekable();
    let mut saves = Vec::new();
    let mut number = 0;
    while begun.elapsed() < PLAY {
        if trouble && bursts.next_if(|at| begun.elapsed() >= **at).is_some() {
            let (world, address, tally) = (world.clone(), addresses[0], tally.clone());
            saves.push(std::thread::spawn(move || bad_clients(&world, address, &tally)));
        }
        number += 1;
        let (world, engines, addresses, tally) = (world.clone(), engines.clone(), addresses.clone(), tally.clone());
        let key = format!("{:016x}", 0xa11c_e000_0000_0000_u64 + number);
        saves.push(std::thread::spawn(move || {
            save(&world, &engines, &addresses, &tally, &key);
        }));
        std::thread::sleep(SAVE_EVERY);
    }
    for save in saves {
        let _ = save.join();
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for server in &mut servers {
        if let Ok(Some(status)) = server.child.try_wait() {
            return Err(format!("{} ended in the play: {status}", server.name));
        }
    }
    for (server, name) in servers.iter().zip(["n0", "n1"]) {
        let full = server
            .log()
            .lines()
            .filter(|line| line.contains("request table full"))
            .count();
        world.note(&format!("log of {name}: {full} lines 'request table full'"));
    }
    let tally = tally.lock().unwrap();
    let summary = format!(
        "first tries {:?}, repeats {:?}, safe {:?}, bad clients {:?}; refused after the run: {}, of these run a second time on the other server: {}",
        tally.first, tally.repeats, tally.safe, tally.bad, tally.refused_after_run.len(), tally.ran_twice
    );
    if tally.repeats.values().sum::<u32>() < 50 {
        return Err(format!("too few repeats: {summary}"));
    }
    Ok(if tally.refused_after_run.is_empty() {
        Verdict::Held(summary)
    } else {
        Verdict::Broken(summary)
    })
}

/// A client's save: one try at the first server, and within the window a repeat there, as the client has lost the answer.
/// A refused repeat is taken to the other server, for the refusal says that it never ran.
fn save(
    world: &Arc<World>,
    engines: &[Arc<Engine>],
    addresses: &[SocketAddr],
    tally: &Mutex<Tally>,
    key: &str,
) -> Option<()> {
    let body = format!("ride of {key}").into_bytes();
    let mut extra = Extra {
        key: Some(key.to_owned()),
        ..Extra::default()
    };
    let mut connection = Connection::open(world, addresses[0]).ok()?;
    let sent = connection
        .send(world, "save-ride", "georeum-app", &body, &extra, false)
        .ok()?;
    let answer = sent.answer.recv_timeout(ANSWER_LIMIT).ok().map(|(_, answer)| answer);
    let name = answer.as_ref().map_or("none", Answer::name);
    world.note(&format!("key {key}: first try {} at n0: {name}", sent.id));
    *tally.lock().unwrap().first.entry(name).or_default() += 1;
    if !matches!(answer, Some(Answer::Served(_))) || engines[0].runs_of_key(key) == 0 {
        return None;
    }
    std::thread::sleep((sent.at + REPEAT_AFTER).saturating_duration_since(Instant::now()));
    extra.again = true;
    if connection.closing.load(Ordering::SeqCst) || connection.closed.load(Ordering::SeqCst) {
        connection = Connection::open(world, addresses[0]).ok()?;
    }
    let again = connection
        .send(world, "save-ride", "georeum-app", &body, &extra, false)
        .ok()?;
    let in_window = again.at < sent.at + WINDOW;
    let answer = again.answer.recv_timeout(ANSWER_LIMIT).ok().map(|(_, answer)| answer);
    let name = answer.as_ref().map_or("none", Answer::name);
    world.note(&format!(
        "key {key}: repeat {} at n0, {} ms after the first: {name}",
        again.id,
        (again.at - sent.at).as_millis()
    ));
    *tally.lock().unwrap().repeats.entry(name).or_default() += 1;
    if !in_window || !matches!(answer, Some(Answer::Refused(_))) {
        return None;
    }
    tally.lock().unwrap().refused_after_run.push(key.to_owned());
    let mut other = Connection::open(world, addresses[1]).ok()?;
    let elsewhere = other
        .send(world, "save-ride", "georeum-app", &body, &extra, false)
        .ok()?;
    let answer = elsewhere
        .answer
        .recv_timeout(ANSWER_LIMIT)
        .ok()
        .map(|(_, answer)| answer);
    let name = answer.as_ref().map_or("none", Answer::name);
    world.note(&format!("key {key}: taken to n1 as {}: {name}", elsewhere.id));
    if engines[1].runs_of_key(key) > 0 {
        tally.lock().unwrap().ran_twice += 1;
    }
    Some(())
}

fn safe_requests(world: &Arc<World>, address: SocketAddr, tally: &Mutex<Tally>, stop: &AtomicBool, client: u32) {
    let mut connection = None;
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(100));
        let usable = |open: &Connection| !open.closing.load(Ordering::SeqCst) && !open.closed.load(Ordering::SeqCst);
        if !connection.as_ref().is_some_and(usable) {
            connection = Connection::open(world, address).ok();
        }
        let Some(open) = &mut connection else { continue };
        number += 1;
        let body = format!("route {client} {number}").into_bytes();
        let Ok(sent) = open.send(world, "route-profile", "jeju-tours", &body, &Extra::default(), false) else {
            connection = None;
            continue;
        };
        let name = match sent.answer.recv_timeout(ANSWER_LIMIT) {
            Ok((_, answer)) => answer.name(),
            Err(_) => "none",
        };
        *tally.lock().unwrap().safe.entry(name).or_default() += 1;
    }
}

/// Clients that send hundreds of requests at once, under ids unknown to the engine, and the same thing again as soon as it is
/// turned away. They read what they are sent.
fn bad_clients(world: &Arc<World>, address: SocketAddr, tally: &Arc<Mutex<Tally>>) {
    world.note("bad clients come");
    let until = Instant::now() + BAD_FOR;
    let clients: Vec<_> = (0..BAD_CONNECTIONS)
        .map(|client| {
            let (world, tally) = (world.clone(), tally.clone());
            std::thread::spawn(move || bad_client(&world, address, &tally, client, until))
        })
        .collect();
    let sent: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    world.note(&format!("bad clients go; they sent {sent} requests"));
}

fn bad_client(world: &Arc<World>, address: SocketAddr, tally: &Mutex<Tally>, client: usize, until: Instant) -> usize {
    // The connections come at once, but as far apart as a listener's queue wants them.
    std::thread::sleep(Duration::from_millis(client as u64));
    let Ok(mut connection) = Connection::open(world, address) else {
        return 0;
    };
    let mut count = 0;
    let mut keys: Vec<String> = (0..BAD_REQUESTS)
        .map(|request| format!("{:08x}{client:04x}{request:04x}", world.start.elapsed().as_millis()))
        .collect();
    while !keys.is_empty() {
        let mut sent = Vec::new();
        for key in std::mem::take(&mut keys) {
            let extra = Extra {
                key: Some(key.clone()),
                ..Extra::default()
            };
            if let Ok(request) = connection.send(world, "save-ride", "jeju-tours", b"no ride", &extra, true) {
                count += 1;
                sent.push((key, request));
            }
        }
        for (key, request) in sent {
            let answer = request.answer.recv_timeout(ANSWER_LIMIT).ok().map(|(_, answer)| answer);
            *tally
                .lock()
                .unwrap()
                .bad
                .entry(answer.as_ref().map_or("none", Answer::name))
                .or_default() += 1;
            if matches!(answer, Some(Answer::Refused(_))) && Instant::now() < until {
                keys.push(key);
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    count
}
