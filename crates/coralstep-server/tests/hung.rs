//! Guards against a hung store that blocks RPCs without calls: the store hangs from the start, and the engine
//! never ends a run that waits for it. The figures over 30 s are taken manually:
//!
//!     cargo test --release -p coralstep-server --test hung -- --ignored --nocapture
mod stand_ins;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use coralstep_lab::emulate::engine::EngineConfig;
use stand_ins::engine::RecordingEngine;
use stand_ins::{Reply, SETTINGS, TestServer, id};

/// Seconds of work per run; the engine has four cores.
const WORK_SECONDS: f64 = 0.08;
const LOAD_FRACTION: f64 = 0.4;

/// Accepts calls and never answers.
fn hang(listener: TcpListener) {
    std::thread::spawn(move || {
        let kept: Vec<_> = listener.incoming().map_while(Result::ok).collect();
        drop(kept);
    });
}

/// Returns how many RPCs of `pay`, which has an idempotency key and calls nothing, succeeded, were rejected and
/// failed. Every second RPC is one of them; the others call the store.
fn run_load(call_share: f64, seconds: f64) -> [usize; 3] {
    let settings = SETTINGS.replace("\"cores\":2", "\"cores\":4").replace(
        "\"call_share\":20.0",
        &format!("\"call_share\":{call_share:.1}"),
    );
    let server = TestServer::with_settings(&settings);
    let terms = EngineConfig {
        never_ends: true,
        ..RecordingEngine::terms(4)
    };
    let _engine = RecordingEngine::with(server.engine_listener(), terms, WORK_SECONDS);
    hang(server.store_listener());
    // The server is up once a run succeeds.
    let skip_closing = |gateway: &mut stand_ins::Gateway| loop {
        match gateway.read_reply() {
            Reply::Closing => {}
            reply => return reply,
        }
    };
    let mut gateway = server.gateway();
    gateway.invoke("pay", &id(1 << 32), b"x", &[("replay", "first")]);
    assert!(matches!(
        skip_closing(&mut gateway),
        Reply::Answer { good: true, .. }
    ));
    let gap = Duration::from_secs_f64(WORK_SECONDS / (LOAD_FRACTION * 4.0));
    let (start, count) = (Instant::now(), (seconds / gap.as_secs_f64()) as u32);
    std::thread::scope(|scope| {
        let mut threads = Vec::new();
        for number in 0..count {
            std::thread::sleep((start + gap * number).saturating_duration_since(Instant::now()));
            let mut gateway = server.gateway();
            let (id, idempotency_key) = (id(u64::from(number)), format!("token {number}"));
            let method = ["read", "pay", "book", "pay"][number as usize % 4];
            threads.push(scope.spawn(move || {
                let more = [("replay", idempotency_key.as_str())];
                gateway.invoke(method, &id, b"x", if method == "pay" { &more } else { &[] });
                (method == "pay", skip_closing(&mut gateway))
            }));
        }
        threads.into_iter().fold([0; 3], |mut ends, thread| {
            let (is_pay, reply) = thread.join().unwrap();
            let at = match reply {
                Reply::Answer { good: true, .. } => 0,
                Reply::Overloaded { .. } => 1,
                _ => 2,
            };
            ends[at] += usize::from(is_pay);
            ends
        })
    })
}

#[test]
fn rpcs_without_calls_are_served_while_store_hangs() {
    let [ok, pushed_back, aborted] = run_load(20.0, 8.0);
    assert!(
        ok > 4 * (pushed_back + aborted),
        "{ok} ok, {pushed_back} pushed back, {aborted} aborted"
    );
}

#[test]
#[ignore = "takes minutes; figures for docs/design.md"]
fn manual_thirty_seconds_at_several_call_shares() {
    for call_share in [2.0, 5.4, 8.0, 20.0] {
        println!(
            "share {call_share}: ok, pushed back, aborted {:?}",
            run_load(call_share, 30.0)
        );
    }
}
