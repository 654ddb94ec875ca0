//! Case 3: a request that states how long its caller waits is answered only by its class's deadline.
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::{Engine, Store, Work};
use crate::gateway::{Connection, Extra};
use crate::world::{control_plane, Server, Terms, World};
use crate::Verdict;

/// The applicant checks: two cores, requests state how long their callers wait.
const SETTINGS: &str = r#"{"az":"malaga","classes":[
{"name":"credit-lookup","idempotency":"repeatable","promise":1800000000,"deadline":4500000000,"late_worth":0.0,"window":5000000000,"worth":1.0},
{"name":"tenancy-history","idempotency":"repeatable","promise":1800000000,"deadline":4500000000,"late_worth":0.0,"window":5000000000,"worth":1.0},
{"name":"approval-result","idempotency":"repeatable","promise":1800000000,"deadline":4500000000,"late_worth":0.0,"window":5000000000,"worth":10.0}],
"clients":{"marks_retry":false},
"domain":{"advert":"level","call_share":5.0,"caller_idle":30000000000,"callers":12,"calls_by_class":[true,true,true],"calls_over":5000000000,
"class_skip_worth":[0.0,0.0,0.0],"cores":2,"depends_on":"shared","fresh_start":false,"gauges":["cpu_busy","runnable","mem_used","sockets"],
"heeded":1000000000,"key_kb":0.0,"linger":200000000,"memory_kb":12000.0,"passes_deadline":true,"preemption":"drop","readiness":false,
"real_checks":false,"run_factor":8.0,"share_for":0,"tells_gone":false},
"goal":{"whole":0.35,"worst_class":0.2,"worst_tenant":0.35,"worst_window":0.1},"group_size":12,"over_share_worth":0.1,
"realms":[{"name":"harbour-realty","portion":0.5,"quota_rps":30.0},{"name":"southern-lets","portion":0.5,"quota_rps":27.0}],
"safety":{"answer_slack":80000000,"cold_from":0.2,"drain_grace":2000000000,"fall_multiple":8.0,"tip_after":2000000000,"warm_after":18000000000},
"worth_by":"request"}"#;

/// The slack of the settings and the 50 ms of the sockets.
const SLACK: Duration = Duration::from_millis(130);
const PLAY: Duration = Duration::from_secs(30);
/// Between six and seven requests a second.
const EVERY: Duration = Duration::from_millis(150);
/// One in 39 lookups, or 2.6%, is heavy.
const HEAVY_EVERY: u32 = 39;
/// How long each try's caller waits: a share of 0.34 of the deadline.
const LEFT_MS: u64 = 1_530;

pub fn play(world: &Arc<World>, trouble: bool) -> Result<Verdict, String> {
    let usual = Work { step: Duration::from_millis(130), calls: 1 };
    let work = [("credit-lookup", usual), ("tenancy-history", usual), ("approval-result", usual)];
    let store = Store::start(world, Duration::from_millis(20));
    let engine = Engine::start(world, "engine-0", 2, &work);
    let terms = Terms { name: "w0", engine: engine.address, store: store.address, control: control_plane(), stop_ms: 3200, memory_mb: 192, sockets: 1024, settings: SETTINGS };
    let mut server = Server::start(world, &terms)?;
    std::thread::sleep(Duration::from_millis(500));
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let answered: Arc<Mutex<u32>> = Arc::default();
    let begun = Instant::now();
    let mut requests = Vec::new();
    let mut number = 0;
    while begun.elapsed() < PLAY {
        number += 1;
        let (world, address, lost, answered) = (world.clone(), server.address, lost.clone(), answered.clone());
        requests.push(std::thread::spawn(move || request(&world, address, number, trouble, &lost, &answered)));
        std::thread::sleep(EVERY);
    }
    for request in requests {
        request.join().map_err(|_| "a gateway failed".to_owned())??;
    }
    if let Ok(Some(status)) = server.child.try_wait() {
        return Err(format!("the server ended in the play: {status}"));
    }
    let (lost, answered) = (lost.lock().unwrap(), answered.lock().unwrap());
    let summary = format!("{answered} requests answered in their time, {} not", lost.len());
    Ok(if lost.is_empty() { Verdict::Held(summary) } else { Verdict::Broken(format!("{summary}: {}", lost.join(", "))) })
}

fn request(world: &Arc<World>, address: std::net::SocketAddr, number: u32, trouble: bool, lost: &Mutex<Vec<String>>, answered: &Mutex<u32>) -> Result<(), String> {
    let class = ["credit-lookup", "tenancy-history", "approval-result"][number as usize % 3];
    let heavy = trouble && class == "credit-lookup" && (number / 3) % HEAVY_EVERY == 2;
    let body = format!("{} {number}", if heavy { "heavy applicant" } else { "applicant" });
    let extra = Extra { left_ms: Some(LEFT_MS), ..Extra::default() };
    let mut connection = Connection::open(world, address).map_err(|error| error.to_string())?;
    let sent = connection.send(world, class, "harbour-realty", body.as_bytes(), &extra, false).map_err(|error| error.to_string())?;
    let due = Duration::from_millis(LEFT_MS) + SLACK;
    let what = format!("{class} {} (\"{body}\", caller waits {LEFT_MS} ms)", sent.id);
    match sent.answer.recv_timeout((sent.at + due).saturating_duration_since(Instant::now())) {
        Ok((at, answer)) => {
            *answered.lock().unwrap() += 1;
            world.note(&format!("{what}: {} after {} ms", answer.name(), (at - sent.at).as_millis()));
        }
        Err(_) => {
            lost.lock().unwrap().push(sent.id.clone());
            world.note(&format!("{what}: no answer by {} ms", due.as_millis()));
            // Only for the record; the caller has given up.
            match sent.answer.recv_timeout(Duration::from_secs(6)) {
                Ok((at, answer)) => world.note(&format!("{what}: {} after {} ms, too late", answer.name(), (at - sent.at).as_millis())),
                Err(_) => world.note(&format!("{what}: no answer at all")),
            }
        }
    }
    Ok(())
}
