//! Case 3: requests that are written to an open connection behind one that was written slowly are never answered.
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::engine::{Engine, Store, Work};
use crate::gateway::{Connection, Extra, Sent};
use crate::world::{control_plane, Server, Terms, World};
use crate::Verdict;

/// Seoul's site: its classes, targets and deadlines.
const SETTINGS: &str = r#"{"az":"gasan","classes":[
{"name":"route-profile","idempotency":"repeatable","promise":2300000000,"deadline":8700000000,"late_worth":0.2,"window":5000000000,"worth":1.0},
{"name":"climb-summary","idempotency":"repeatable","promise":2200000000,"deadline":7200000000,"late_worth":0.2,"window":5000000000,"worth":1.0},
{"name":"save-ride","idempotency":"once","promise":2900000000,"deadline":12000000000,"late_worth":0.2,"window":5000000000,"worth":3.0}],
"clients":{"marks_retry":true},
"domain":{"advert":"weight","call_share":5.41,"caller_idle":30000000000,"callers":3,"calls_by_class":[true,false,true],"calls_over":5000000000,
"class_skip_worth":[0.0,0.0,0.0],"cores":6,"depends_on":"shared","fresh_start":false,"gauges":["cpu_busy","runnable","mem_used","sockets"],
"heeded":1000000000,"key_kb":133.24,"linger":200000000,"memory_kb":26622.0,"passes_deadline":false,"preemption":"drop","readiness":false,
"real_checks":false,"run_factor":8.0,"share_for":0,"tells_gone":false},
"goal":{"whole":0.4,"worst_class":0.35,"worst_tenant":0.1,"worst_window":0.15},"group_size":1,"over_share_worth":0.1,
"realms":[{"name":"georeum-app","portion":0.6,"quota_rps":65.0},{"name":"jeju-tours","portion":0.4,"quota_rps":48.0}],
"safety":{"answer_slack":100000000,"cold_from":0.22,"drain_grace":2000000000,"fall_multiple":8.0,"tip_after":3000000000,"warm_after":18000000000},
"worth_by":"request"}"#;

/// The slack of the settings and the 50 ms of the sockets.
const SLACK: Duration = Duration::from_millis(150);
const ROUNDS: u32 = 4;
/// How long the slow message takes to be written.
const SLOW_WRITE: Duration = Duration::from_millis(1_800);

pub fn play(world: &Arc<World>, trouble: bool) -> Result<Verdict, String> {
    let work = [
        (
            "route-profile",
            Work {
                step: Duration::from_millis(150),
                calls: 1,
            },
        ),
        (
            "climb-summary",
            Work {
                step: Duration::from_millis(300),
                calls: 0,
            },
        ),
        (
            "save-ride",
            Work {
                step: Duration::from_millis(1_050),
                calls: 1,
            },
        ),
    ];
    let store = Store::start(world, Duration::from_millis(200));
    let engine = Engine::start(world, "engine-0", 6, &work);
    let terms = Terms {
        name: "n0",
        engine: engine.address,
        store: store.address,
        control: control_plane(),
        stop_ms: 3200,
        memory_mb: 192,
        sockets: 1024,
        settings: SETTINGS,
    };
    let mut server = Server::start(world, &terms)?;
    std::thread::sleep(Duration::from_millis(500));
    // The gateways' first requests show that both connections are good ones.
    let rounds: Vec<_> = (0..ROUNDS)
        .map(|round| {
            let (world, address) = (world.clone(), server.address);
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(300) * round);
                play_round(&world, address, round, trouble)
            })
        })
        .collect();
    let (mut answered, mut lost) = (0, Vec::new());
    for round in rounds {
        let (of_round, lost_of_round) = round.join().map_err(|_| "a gateway failed".to_owned())??;
        answered += of_round;
        lost.extend(lost_of_round);
    }
    if let Ok(Some(status)) = server.child.try_wait() {
        return Err(format!("the server ended in the play: {status}"));
    }
    let timed_out = server
        .log()
        .lines()
        .filter(|line| line.contains("connection failed") && line.contains("timed out"))
        .count();
    let summary = format!(
        "{answered} requests answered, {} without an answer, {timed_out} log lines of connections timed out",
        lost.len()
    );
    Ok(if lost.is_empty() {
        Verdict::Held(summary)
    } else {
        Verdict::Broken(format!("{summary}: {}", lost.join(", ")))
    })
}

/// One connection: a save that runs for two seconds, a request that is written slowly behind it, and then three more.
fn play_round(
    world: &Arc<World>,
    address: std::net::SocketAddr,
    round: u32,
    trouble: bool,
) -> Result<(u32, Vec<String>), String> {
    let failed = |error: std::io::Error| error.to_string();
    let mut connection = Connection::open(world, address).map_err(failed)?;
    let mut sent: Vec<(&str, Sent, Duration)> = Vec::new();
    let deadline = |class: &str| {
        Duration::from_millis(match class {
            "route-profile" => 8_700,
            "climb-summary" => 7_200,
            _ => 12_000,
        })
    };
    let none = Extra::default();
    let first = connection
        .send(world, "climb-summary", "georeum-app", b"first", &none, false)
        .map_err(failed)?;
    first
        .answer
        .recv_timeout(Duration::from_secs(7))
        .map_err(|_| "the first request had no answer".to_owned())?;
    let save = connection
        .send(
            world,
            "save-ride",
            "georeum-app",
            format!("ride {round}").as_bytes(),
            &none,
            false,
        )
        .map_err(failed)?;
    sent.push(("save-ride", save, deadline("save-ride")));
    std::thread::sleep(Duration::from_millis(100));
    let over = if trouble { SLOW_WRITE } else { Duration::ZERO };
    let slow = connection
        .send_slowly(
            world,
            "climb-summary",
            "georeum-app",
            format!("slow {round}").as_bytes(),
            &none,
            over,
        )
        .map_err(failed)?;
    sent.push(("climb-summary (written slowly)", slow, deadline("climb-summary")));
    for number in 0..3 {
        std::thread::sleep(Duration::from_millis(50));
        let open = !connection.closed.load(Ordering::SeqCst);
        let asked = connection.closing.load(Ordering::SeqCst);
        if !open || asked {
            return Err(format!(
                "round {round}: the server closed the connection or asked to (open {open}, asked {asked})"
            ));
        }
        let body = format!("route {round} {number}");
        let request = connection
            .send(world, "route-profile", "jeju-tours", body.as_bytes(), &none, false)
            .map_err(failed)?;
        sent.push(("route-profile", request, deadline("route-profile")));
    }
    let (mut answered, mut lost) = (0, Vec::new());
    for (what, request, deadline) in sent {
        let due = request.at + deadline + SLACK;
        let left = due.saturating_duration_since(Instant::now());
        match request.answer.recv_timeout(left) {
            Ok((at, answer)) => {
                answered += 1;
                world.note(&format!(
                    "round {round}: {what} {}: {} after {} ms",
                    request.id,
                    answer.name(),
                    (at - request.at).as_millis()
                ));
            }
            Err(error) => {
                let closed = connection.closed.load(Ordering::SeqCst);
                world.note(&format!("round {round}: {what} {}: no answer by {} ms after it was written ({error}); connection closed by the server: {closed}", request.id, (deadline + SLACK).as_millis()));
                lost.push(format!("round {round} {what} {}", request.id));
            }
        }
    }
    Ok((answered, lost))
}
