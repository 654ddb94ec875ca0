//! Case 2: after a reload, requests over SCGI are run as another class.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::scgi::{self, Application};
use crate::world::{control_plane, free_address, Server, Terms, World};
use crate::Verdict;

/// Seoul's classes. The file that replaces the first one has one class more: a partner's climb summaries.
const CLASSES: [&str; 3] = ["route-profile", "climb-summary", "save-ride"];
const LATER_CLASSES: [&str; 4] = ["route-profile", "climb-summary-hangang", "climb-summary", "save-ride"];

const PLAY: Duration = Duration::from_secs(16);
const RELOAD_AT: Duration = Duration::from_secs(6);
const LIMIT: Duration = Duration::from_secs(13);

fn settings(classes: &[&str]) -> String {
    let class = |name: &&str| {
        let (idempotency, promise, deadline, worth) = match *name {
            "save-ride" => ("once", 2_900, 12_000, 3),
            "route-profile" => ("repeatable", 2_300, 8_700, 1),
            _ => ("repeatable", 2_200, 7_200, 1),
        };
        format!(
            r#"{{"name":"{name}","idempotency":"{idempotency}","promise":{promise}000000,"deadline":{deadline}000000,"late_worth":0.2,"window":5000000000,"worth":{worth}.0}}"#
        )
    };
    let classes: Vec<String> = classes.iter().map(class).collect();
    format!(
        r#"{{"az":"gasan","classes":[{}],"clients":{{"marks_retry":true}},
"domain":{{"advert":"weight","caller_idle":30000000000,"callers":3,"cores":6,"depends_on":"off","fresh_start":false,
"gauges":["cpu_busy","runnable","mem_used","sockets"],"memory_kb":26622.0,"run_factor":8.0,"preemption":"drop","key_kb":133.24}},
"goal":{{"whole":1.0}},"group_size":1,"over_share_worth":0.1,
"realms":[{{"name":"georeum-app","portion":0.6,"quota_rps":65.0}},{{"name":"jeju-tours","portion":0.4,"quota_rps":48.0}}],
"safety":{{"answer_slack":100000000,"cold_from":0.22,"drain_grace":2000000000,"fall_multiple":8.0,"tip_after":3000000000,"warm_after":18000000000}},
"worth_by":"request"}}"#,
        classes.join(",")
    )
}

#[derive(Default)]
struct Tally {
    answers: BTreeMap<String, u32>,
    wrong_answers: Vec<String>,
    unanswered: Vec<String>,
}

pub fn play(world: &Arc<World>, trouble: bool) -> Result<Verdict, String> {
    let applications = [
        Application::start(world, "application-0", Duration::from_millis(40)),
        Application::start(world, "application-1", Duration::from_millis(40)),
    ];
    let front = free_address();
    let site = format!(
        r#"{{"scgi":{{"listen":["{front}"],"trusted":["127.0.0.0/8"],"routes":[
{{"verb":"GET","path":"/route","method":"route-profile"}},{{"verb":"GET","path":"/climb","method":"climb-summary"}},
{{"verb":"POST","path":"/save","method":"save-ride"}}]}},
"applications":{{"addresses":["{}","{}"]}}}}"#,
        applications[0].address, applications[1].address
    );
    let (first, later) = (settings(&CLASSES), settings(&LATER_CLASSES));
    let terms = |settings| Terms {
        name: "n0",
        engine: free_address(),
        store: free_address(),
        control: control_plane(),
        stop_ms: 3200,
        memory_mb: 192,
        sockets: 1024,
        settings,
    };
    let mut server = Server::start_with_site(world, &terms(&first), &site)?;
    let tally: Arc<Mutex<Tally>> = Arc::default();
    let begun = Instant::now();
    let (mut callers, mut number, mut reloaded) = (Vec::new(), 0, !trouble);
    while begun.elapsed() < PLAY {
        if !reloaded && begun.elapsed() >= RELOAD_AT {
            reloaded = true;
            // New addresses below, and one class more.
            server.replace_configuration(world, &terms(&later));
        }
        number += 1;
        let (world, tally) = (world.clone(), tally.clone());
        callers.push(std::thread::spawn(move || call(&world, front, number, &tally)));
        std::thread::sleep(Duration::from_millis(50));
    }
    for caller in callers {
        caller.join().map_err(|_| "a caller failed".to_owned())?;
    }
    if let Ok(Some(status)) = server.child.try_wait() {
        return Err(format!("the server ended in the play: {status}"));
    }
    for line in server
        .log()
        .lines()
        .filter(|line| line.contains("reload") || line.contains("panicked"))
        .take(12)
    {
        world.note(&format!("log of n0: {line}"));
    }
    let mut changed: BTreeMap<String, u32> = BTreeMap::new();
    let mut runs = 0;
    for application in &applications {
        for asked in application.asked.lock().unwrap().iter() {
            runs += 1;
            let wanted = asked.body.split(' ').next().unwrap_or_default();
            if asked.path != format!("/{wanted}") {
                *changed
                    .entry(format!("{wanted} run as {}", &asked.path[1..]))
                    .or_default() += 1;
            }
        }
    }
    let tally = tally.lock().unwrap();
    let summary = format!(
        "{number} requests, {runs} runs, answers {:?}, without an answer {}, served with the result of another class {}, changed on the way to an application: {changed:?}",
        tally.answers, tally.unanswered.len(), tally.wrong_answers.len()
    );
    let holds = changed.is_empty() && tally.wrong_answers.is_empty() && tally.unanswered.is_empty();
    Ok(if holds {
        Verdict::Held(summary)
    } else {
        Verdict::Broken(summary)
    })
}

fn call(world: &World, front: SocketAddr, number: u32, tally: &Mutex<Tally>) {
    let (class, verb, path) = match number % 4 {
        0 => ("save-ride", "POST", "/save"),
        1 => ("climb-summary", "GET", "/climb"),
        _ => ("route-profile", "GET", "/route"),
    };
    let id = world.new_id();
    let body = format!("{class} {number}");
    let headers = [("HTTP_X_REQUEST_ID", id.as_str()), ("HTTP_X_TENANT", "georeum-app")];
    let answer = scgi::call(front, verb, path, &headers, body.as_bytes(), LIMIT);
    let mut tally = tally.lock().unwrap();
    match answer {
        Ok(Some((200, result))) => {
            *tally.answers.entry(format!("{class} 200")).or_default() += 1;
            let result = String::from_utf8_lossy(&result).into_owned();
            world.note(&format!("{verb} {path} {id} \"{body}\": 200 {result}"));
            if result != format!("/{class} did \"{body}\"") {
                tally.wrong_answers.push(id);
            }
        }
        Ok(Some((status, _))) => {
            *tally.answers.entry(format!("{class} {status}")).or_default() += 1;
            world.note(&format!("{verb} {path} {id} \"{body}\": {status}"));
        }
        other => {
            world.note(&format!("{verb} {path} {id} \"{body}\": no answer, {other:?}"));
            tally.unanswered.push(id);
        }
    }
}
