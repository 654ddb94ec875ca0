//! Limits of a fleet in virtual time, at more servers than a machine has processes for. Judged by the formulas at every moment (`shares`).
//! The long ones by hand:
//!
//!     cargo test --release -p coralstep-lab --test limits -- --ignored --nocapture
use std::collections::BTreeMap;

use coralstep_lab::shares::{Defect, QuotaSimulation, limit};
use coralstep_quota::LimitKind;
use coralstep_quota::config::CutOff;
use coralstep_quota::guarantees::{max_excess_while_cut_off, max_failover_time, max_reclaim_time};
use coralstep_quota::lease::lengthen_by_drift;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const LEASE: u64 = 6_000;
const HOLDS: u64 = 200;

fn rate(rps: f64, burst: u32) -> LimitKind {
    LimitKind::Rate { rps, burst }
}

/// A fleet in which somebody gives, and what was out before is over.
fn settled(count: usize, kind: LimitKind, seed: u64) -> QuotaSimulation {
    let mut world = QuotaSimulation::new(
        count,
        3,
        &[limit(kind, CutOff::Strict)],
        LEASE,
        seed,
        Defect::None,
    );
    world.advance(lengthen_by_drift(LEASE) + max_failover_time());
    world.wait_for_leader(20_000);
    assert!(world.leader().is_some());
    world
}

/// Callers of each server, each with an RPC every `every` ms; those turned away come back when they were told to. The longest that one
/// waited, how many were served, and how many times they were turned away.
fn served(world: &mut QuotaSimulation, every: u64, lasts: u64, seed: u64) -> (u64, u64, u64) {
    let mut chance = SmallRng::seed_from_u64(seed);
    let count = world.count();
    // When a server's next RPC comes, and since when it is wanted.
    let mut next: BTreeMap<(u64, usize), u64> = BTreeMap::new();
    for server in 0..count {
        let at = world.now + chance.random_range(0..every);
        next.insert((at, server), at);
    }
    let (end, mut longest, mut ok, mut away) = (world.now + lasts, 0, 0, 0);
    while world.now < end {
        world.advance(25);
        while let Some(entry) = next
            .first_entry()
            .filter(|entry| entry.key().0 <= world.now)
        {
            let ((_, server), wanted) = (*entry.key(), entry.remove());
            match world.rpc(server, HOLDS) {
                Ok(()) => {
                    longest = longest.max(world.now - wanted);
                    ok += 1;
                    let at = (wanted + every).max(world.now + 1);
                    next.insert((at, server), at);
                }
                Err(back) => {
                    away += 1;
                    next.insert((world.now + back.max(25), server), wanted);
                }
            }
        }
    }
    // Who still waits counts, too.
    let waits = next
        .values()
        .map(|wanted| world.now.saturating_sub(*wanted))
        .max()
        .unwrap_or(0);
    (longest.max(waits), ok, away)
}

#[test]
fn nobody_starves_where_each_wants_little_and_the_limit_is_less() {
    // Sixty servers with an RPC each ten seconds, six a second, where four may pass.
    let mut world = settled(60, rate(4.0, 16), 1);
    let (longest, ok, away) = served(&mut world, 10_000, 60_000, 2);
    assert_eq!(world.violation, None);
    assert!(
        ok as f64 >= 4.0 * 60.0 * 0.8,
        "{ok} of {}, {away} turned away",
        4 * 60
    );
    assert!(longest <= 45_000, "{longest} ms");
}

#[test]
fn shares_follow_demand_and_come_back_from_the_dead() {
    let mut world = settled(12, LimitKind::InFlight(24), 3);
    let all = |world: &mut QuotaSimulation, server: usize| {
        let start = world.now;
        while world.units(server) < 24 && world.now < start + 60_000 {
            while world.rpc(server, 1_000).is_ok() {}
            world.advance(100);
        }
        world.now - start
    };
    let first = all(&mut world, 4);
    // In one second all demand is at another one: what the first doesn't use it gives back within a few rounds.
    let moved = all(&mut world, 9);
    world.kill(9);
    let after = all(&mut world, 5);
    println!(
        "all units at one after {first} ms, after demand moved {moved} ms, after a crash {after} ms"
    );
    assert!(first <= 5_000 && moved <= 8_000, "{first}, {moved}");
    assert!(after <= max_reclaim_time(LEASE, 3_000), "{after}");
    let keeper = world.leader().unwrap();
    world.kill(keeper);
    assert!(
        world.wait_for_leader(20_000) <= max_failover_time(),
        "somebody else gives"
    );
    assert_eq!(world.violation, None);
}

#[test]
fn a_limit_lowered_in_the_middle_of_a_cut_holds_after_a_lease_and_one_raised_is_used_at_once() {
    let mut world = settled(9, LimitKind::InFlight(40), 7);
    let busy = |world: &mut QuotaSimulation, ms: u64| {
        let mut most = 0;
        for _ in 0..ms / 50 {
            for server in 0..9 {
                for _ in 0..4 {
                    let _ = world.rpc(server, 400);
                }
            }
            world.advance(50);
            most = most.max(world.in_flight());
        }
        most
    };
    assert!(busy(&mut world, 6_000) >= 30);
    // Two of the three that may give are on this side; the others hear of nothing.
    world.cut(&[0, 1, 3, 4], &[2, 5, 6, 7, 8]);
    let low = [limit(LimitKind::InFlight(4), CutOff::Strict)];
    [0, 1, 3, 4]
        .into_iter()
        .for_each(|server| world.set_limits(server, &low));
    let after = busy(&mut world, max_reclaim_time(LEASE, 2_000));
    assert!(after <= 40, "{after}");
    // All that the old one had given is over, on both sides.
    let held = busy(&mut world, 4_000);
    assert!(held <= 4, "{held} in hand of 4");
    world.heal();
    (0..9).for_each(|server| {
        world.set_limits(server, &[limit(LimitKind::InFlight(40), CutOff::Strict)])
    });
    assert!(busy(&mut world, 8_000) >= 30);
    assert_eq!(world.violation, None);
}

#[test]
fn what_is_open_lets_through_no_more_than_its_floor_where_nobody_gives() {
    let open = CutOff::Open {
        per_server: 2.0,
        fleet_total: 6.0,
    };
    let mut world =
        QuotaSimulation::new(6, 3, &[limit(rate(30.0, 30), open)], LEASE, 8, Defect::None);
    world.advance(lengthen_by_drift(LEASE) + max_failover_time());
    for _ in 0..20 {
        (0..6).for_each(|server| _ = world.rpc(server, 100));
        world.advance(100);
    }
    world.cut(&[5], &[0, 1, 2, 3, 4]);
    // Its tokens run out, then it takes itself for cut off.
    world.advance(6_000);
    let (before, ..) = world.totals(1);
    for _ in 0..200 {
        let _ = world.rpc(5, 100);
        world.advance(50);
    }
    let (after, ..) = world.totals(1);
    let most = max_excess_while_cut_off(1, 2.0, 6.0, 6, 10_000);
    assert!(
        (after - before) as f64 <= most && after - before >= 5,
        "{} of {most}",
        after - before
    );
}

/// One history of faults under load; what broke.
fn history(count: usize, seed: u64, acts: usize) -> Option<String> {
    played(count, seed, acts, CutOff::Strict).violation
}

/// The fleet after one history of faults under load.
fn played(count: usize, seed: u64, acts: usize, cut_off: CutOff) -> QuotaSimulation {
    let mut chance = SmallRng::seed_from_u64(seed);
    let limits = [
        limit(rate(20.0, 20), cut_off),
        limit(LimitKind::InFlight(15), cut_off),
    ];
    let mut world = QuotaSimulation::new(count, 5, &limits, LEASE, seed, Defect::None);
    (world.loss, world.delay, world.duplication) = (0.1, (0, 300), 0.1);
    world.advance(3_000);
    for _ in 0..acts {
        let (one, other) = (chance.random_range(0..count), chance.random_range(0..count));
        match chance.random_range(0..7) {
            0 => world.start(one),
            1 => world.pause(one, world.is_up(one)),
            2 => {
                let part = chance.random_range(1..count);
                let sides: (Vec<usize>, Vec<usize>) =
                    ((0..part).collect(), (part..count).collect());
                world.cut(&sides.0, &sides.1);
            }
            3 => world.heal(),
            4 => world.cut(&[one], &[other]),
            // The keepers are where it hurts.
            5 => world.start(chance.random_range(0..5)),
            _ => {
                let keeper = world.leader().unwrap_or(0);
                world.pause(keeper, true);
            }
        }
        let until = world.now + chance.random_range(200..4_000);
        while world.now < until {
            for _ in 0..4 {
                let server = chance.random_range(0..count);
                let _ = world.rpc(server, chance.random_range(50..1_500));
            }
            world.advance(50);
        }
        if world.violation.is_some() {
            break;
        }
    }
    world
}

/// What a history of faults led to.
#[derive(Debug, PartialEq)]
struct HistoryFigures {
    bytes_sent: u64,
    admitted: u64,
    rejected: u64,
    most_in_flight: f64,
}

fn history_figures(seed: u64, cut_off: CutOff) -> HistoryFigures {
    let world = played(9, seed, 25, cut_off);
    let (admitted, rejected, _) = world.totals(1);
    let (_, _, most_in_flight) = world.totals(2);
    HistoryFigures {
        bytes_sent: world.bytes,
        admitted,
        rejected,
        most_in_flight,
    }
}

/// Guards against a decision on quotas that changes unnoticed: each history is the very same.
#[test]
fn histories_of_faults_stay_the_same() {
    let strict = CutOff::Strict;
    let open = CutOff::Open {
        per_server: 2.0,
        fleet_total: 6.0,
    };
    let pinned = [
        (10, strict, 101_276, 81, 3_139, 7.0),
        (11, strict, 105_103, 110, 3_290, 11.0),
        (13, strict, 113_780, 74, 4_082, 7.0),
        (14, open, 80_363, 25, 3_603, 6.0),
        (15, open, 71_196, 39, 2_868, 7.0),
        (16, open, 108_668, 122, 3_428, 8.0),
    ];
    for (seed, cut_off, bytes_sent, admitted, rejected, most_in_flight) in pinned {
        let expected = HistoryFigures {
            bytes_sent,
            admitted,
            rejected,
            most_in_flight,
        };
        assert_eq!(history_figures(seed, cut_off), expected, "seed {seed}");
    }
}

#[test]
fn a_few_histories_of_faults_break_no_limit() {
    for seed in 0..6 {
        assert_eq!(history(9, seed, 12), None, "seed {seed}");
    }
}

#[test]
#[ignore = "minutes; thousands of histories"]
fn by_hand_thousands_of_histories_break_no_limit() {
    let threads = std::thread::available_parallelism().unwrap().get() as u64;
    let count = std::env::var("COUNT").map_or(9, |count| count.parse().unwrap());
    let seeds = std::env::var("SEEDS").map_or(3_000, |seeds| seeds.parse().unwrap());
    std::thread::scope(|scope| {
        for thread in 0..threads {
            scope.spawn(move || {
                for seed in (thread..seeds).step_by(threads as usize) {
                    assert_eq!(history(count, seed, 25), None, "seed {seed}");
                }
            });
        }
    });
    println!(
        "{seeds} histories of {count} servers and 25 faults each: no limit broken, no two gave at once"
    );
}

#[test]
#[ignore = "minutes; figures for docs/limits.md"]
fn by_hand_hundreds_and_thousands_of_servers() {
    for (count, every, rps, burst) in [
        (30, 1_000, 20.0, 1.0),
        (300, 10_000, 20.0, 1.0),
        (300, 10_000, 20.0, 4.0),
        (300, 1_000, 200.0, 1.0),
        (300, 1_000, 200.0, 4.0),
        (3_000, 10_000, 200.0, 4.0),
    ] {
        let mut world = settled(count, rate(rps, (rps * burst) as u32), 5);
        let (start, bytes) = (world.now, world.bytes);
        let (longest, ok, away) = served(&mut world, every, 30_000, 6);
        let span = (world.now - start) as f64 / 1000.0;
        let (_, _, greatest) = world.totals(1);
        println!(
            "{count} servers, an RPC each {every} ms, {rps} a second may pass, burst of {burst} s: {:.0}% of it used, longest wait {longest} ms, {away} turned away, \
             greatest over the rate {greatest:.1} of {rps}, {:.0} bytes a second and server, broken: {:?}",
            100.0 * ok as f64 / (rps * span).min(count as f64 * span * 1000.0 / every as f64),
            (world.bytes - bytes) as f64 / span / count as f64,
            world.violation
        );
    }
}
