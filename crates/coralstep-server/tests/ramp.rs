//! What an application that has come back gets from many processes of the program together. In virtual time, and in CI: `coralstep-balancer`.
mod stand_ins;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use stand_ins::Rig;
use stand_ins::scgi::{Application, Habit, site};

/// Attempts a second that it takes at first, from all.
const RATE: f64 = 2.0;
const WINDOWS: usize = 4;
const WINDOW: f64 = 2.0;

/// Attempts that came to it in each window, from so many processes that send 120 a second together.
fn play(processes: usize) -> Vec<usize> {
    let applications: Vec<Application> = (0..4).map(|_| Application::start(Habit::Works)).collect();
    let addresses: Vec<_> = applications
        .iter()
        .map(|application| application.address)
        .collect();
    let more = format!(", \"cold_rate\": {RATE}, \"processes\": {processes}");
    let rigs: Vec<Rig> = (1..=processes)
        .map(|at| Rig::seeded(&site(&addresses[..3], &more), at as u64 * 7919))
        .collect();
    for rig in &rigs {
        assert_eq!(rig.ask("/read/x", &[], b"x").status(), 200);
        rig.reload_site(&site(&addresses, &more));
        rig.logged("reload: applications replaced count=4");
    }
    let start = Instant::now();
    let end = start + Duration::from_secs_f64(WINDOW * WINDOWS as f64);
    let callers: Vec<_> = rigs
        .iter()
        .enumerate()
        .map(|(at, rig)| {
            let doors = rig.doors();
            let gap = Duration::from_secs_f64(processes as f64 / 120.0);
            std::thread::spawn(move || {
                std::thread::sleep(gap.mul_f64(at as f64 / processes as f64));
                while Instant::now() < end {
                    let next = Instant::now() + gap;
                    assert_eq!(doors.ask("/read/x", &[], b"x").unwrap().status(), 200);
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            })
        })
        .collect();
    let mut seen = 0;
    let came = (1..=WINDOWS).map(|window| {
        let until = start + Duration::from_secs_f64(WINDOW * window as f64);
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        let all = applications[3].connections.load(Ordering::SeqCst);
        all - std::mem::replace(&mut seen, all)
    });
    let came = came.collect();
    callers
        .into_iter()
        .for_each(|caller| caller.join().unwrap());
    came
}

#[test]
#[ignore = "by hand: up to thirty processes for eight seconds each"]
fn by_hand_the_sum_of_what_processes_send_to_an_application_that_is_back() {
    for processes in [1, 5, 20, 30] {
        let came = play(processes);
        for (window, came) in came.into_iter().enumerate() {
            // Ten seconds of slow start, from a tenth to the whole; a little of it had passed while the last processes were told.
            let part = |at: f64| ((at + 0.5) / 10.0).clamp(0.1, 1.0);
            let from = window as f64 * WINDOW;
            let meant: f64 = (0..20)
                .map(|step| part(from + step as f64 * WINDOW / 20.0) * 10.0 * RATE * WINDOW / 20.0)
                .sum();
            let most = meant + 2.0 * meant.sqrt() + 2.0;
            println!(
                "{processes} processes, window {window}: {came} came, {meant:.1} meant, {most:.1} at the most"
            );
            assert!(came as f64 <= most);
        }
    }
}
