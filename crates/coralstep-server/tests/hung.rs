//! A store that hangs from the start, and an engine that never ends a run which waits for it: what calls nothing is served all the same.
//! The figures over 30 s, by hand:
//!
//!     cargo test --release -p coralstep-server --test hung -- --ignored --nocapture
mod stand_ins;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use coralstep_lab::emulate::engine::EngineConfig;
use stand_ins::engine::Cores;
use stand_ins::{Rig, SETTINGS, Said, id};

/// Seconds of work a run, on four cores.
const WORK: f64 = 0.08;
const LOAD: f64 = 0.4;

/// Takes calls and says nothing.
fn hang(listener: TcpListener) {
    std::thread::spawn(move || {
        let kept: Vec<_> = listener.incoming().map_while(Result::ok).collect();
        drop(kept);
    });
}

/// How `pay`, which bears a token and calls nothing, ended: ok, pushed back, aborted. Every second RPC is one; the others must call.
fn play(share: f64, seconds: f64) -> [usize; 3] {
    let settings = SETTINGS
        .replace("\"cores\":2", "\"cores\":4")
        .replace("\"call_share\":20.0", &format!("\"call_share\":{share:.1}"));
    let rig = Rig::settings(&settings);
    let terms = EngineConfig {
        never_ends: true,
        ..Cores::terms(4)
    };
    let _engine = Cores::with(rig.engine_listener(), terms, WORK);
    hang(rig.store_listener());
    // It is up once a run ends well.
    let told = |gate: &mut stand_ins::Gate| loop {
        match gate.said() {
            Said::Closing => {}
            said => return said,
        }
    };
    let mut gate = rig.gate();
    gate.invoke("pay", &id(1 << 32), b"x", &[("replay", "first")]);
    assert!(matches!(told(&mut gate), Said::Answer { good: true, .. }));
    let gap = Duration::from_secs_f64(WORK / (LOAD * 4.0));
    let (start, count) = (Instant::now(), (seconds / gap.as_secs_f64()) as u32);
    std::thread::scope(|scope| {
        let mut threads = Vec::new();
        for number in 0..count {
            std::thread::sleep((start + gap * number).saturating_duration_since(Instant::now()));
            let mut gate = rig.gate();
            let (id, token) = (id(u64::from(number)), format!("token {number}"));
            let method = ["read", "pay", "book", "pay"][number as usize % 4];
            threads.push(scope.spawn(move || {
                let more = [("replay", token.as_str())];
                gate.invoke(method, &id, b"x", if method == "pay" { &more } else { &[] });
                (method == "pay", told(&mut gate))
            }));
        }
        threads.into_iter().fold([0; 3], |mut ends, thread| {
            let (counts, told) = thread.join().unwrap();
            let at = match told {
                Said::Answer { good: true, .. } => 0,
                Said::Overloaded { .. } => 1,
                _ => 2,
            };
            ends[at] += usize::from(counts);
            ends
        })
    })
}

#[test]
fn what_calls_nothing_is_served_while_runs_stand_at_a_store_that_hangs() {
    let [ok, pushed_back, aborted] = play(20.0, 8.0);
    assert!(
        ok > 4 * (pushed_back + aborted),
        "{ok} ok, {pushed_back} pushed back, {aborted} aborted"
    );
}

#[test]
#[ignore = "minutes; figures for docs/design.md"]
fn by_hand_thirty_seconds_at_several_shares() {
    for share in [2.0, 5.4, 8.0, 20.0] {
        println!(
            "share {share}: ok, pushed back, aborted {:?}",
            play(share, 30.0)
        );
    }
}
