//! Slow start of a recovered application across many server processes. `coralstep-balancer` has the same test
//! in virtual time, which runs in CI.
mod stand_ins;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use stand_ins::TestServer;
use stand_ins::scgi::{AppBehavior, Application, site};

/// Maximum attempts per second at the start, from all processes together.
const RATE: f64 = 2.0;
const WINDOWS: usize = 4;
const WINDOW: f64 = 2.0;

/// Returns the attempts that reached the application in each window, from processes that send 120 per second
/// together.
fn run_load(processes: usize) -> Vec<usize> {
    let applications: Vec<Application> = (0..4)
        .map(|_| Application::start(AppBehavior::Echo))
        .collect();
    let addresses: Vec<_> = applications
        .iter()
        .map(|application| application.address)
        .collect();
    let more = format!(", \"cold_rate\": {RATE}, \"processes\": {processes}");
    let servers: Vec<TestServer> = (1..=processes)
        .map(|at| TestServer::with_site_and_seed(&site(&addresses[..3], &more), at as u64 * 7919))
        .collect();
    for server in &servers {
        assert_eq!(server.send_scgi("/read/x", &[], b"x").status(), 200);
        server.reload_site(&site(&addresses, &more));
        server.wait_for_log("reload: applications replaced count=4");
    }
    let start = Instant::now();
    let end = start + Duration::from_secs_f64(WINDOW * WINDOWS as f64);
    let callers: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(at, server)| {
            let addresses = server.addresses();
            let gap = Duration::from_secs_f64(processes as f64 / 120.0);
            std::thread::spawn(move || {
                std::thread::sleep(gap.mul_f64(at as f64 / processes as f64));
                while Instant::now() < end {
                    let next = Instant::now() + gap;
                    assert_eq!(
                        addresses.send_scgi("/read/x", &[], b"x").unwrap().status(),
                        200
                    );
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            })
        })
        .collect();
    let mut seen = 0;
    let attempts = (1..=WINDOWS).map(|window| {
        let until = start + Duration::from_secs_f64(WINDOW * window as f64);
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        let all = applications[3].connections.load(Ordering::SeqCst);
        all - std::mem::replace(&mut seen, all)
    });
    let attempts = attempts.collect();
    callers
        .into_iter()
        .for_each(|caller| caller.join().unwrap());
    attempts
}

#[test]
#[ignore = "manual: up to thirty processes for eight seconds each"]
fn manual_slow_start_bounds_sum_over_all_processes() {
    for processes in [1, 5, 20, 30] {
        let attempts = run_load(processes);
        for (window, attempts) in attempts.into_iter().enumerate() {
            // Ten seconds of slow start, from a tenth to the full rate; half a second had passed before the
            // last processes were reloaded.
            let fraction = |at: f64| ((at + 0.5) / 10.0).clamp(0.1, 1.0);
            let from = window as f64 * WINDOW;
            let expected: f64 = (0..20)
                .map(|step| {
                    fraction(from + step as f64 * WINDOW / 20.0) * 10.0 * RATE * WINDOW / 20.0
                })
                .sum();
            let maximum = expected + 2.0 * expected.sqrt() + 2.0;
            println!(
                "{processes} processes, window {window}: {attempts} attempts, {expected:.1} expected, {maximum:.1} maximum"
            );
            assert!(attempts as f64 <= maximum);
        }
    }
}
