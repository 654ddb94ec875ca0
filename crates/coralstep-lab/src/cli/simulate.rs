//! `simulate`, `bound`, `report`: days in virtual time.
use std::io::Write;
use std::path::Path;

use coralstep_lab::baseline::Policy;
use coralstep_lab::record::LOSSES;
use coralstep_lab::simulate::play;
use coralstep_lab::{Day, World, bound, report};
use statrs::distribution::{ContinuousCDF, StudentsT};

use super::side_by_side;

/// The mean, and how far the true one may lie from it at 95%.
fn mean(figures: &[f64]) -> (f64, f64) {
    let count = figures.len() as f64;
    let mean = figures.iter().sum::<f64>() / count;
    let Ok(student) = StudentsT::new(0.0, 1.0, (count - 1.0).max(1.0)) else {
        return (mean, f64::NAN);
    };
    let spread = figures
        .iter()
        .map(|figure| (figure - mean).powi(2))
        .sum::<f64>()
        / (count - 1.0).max(1.0);
    (mean, student.inverse_cdf(0.975) * (spread / count).sqrt())
}

pub const HEAD: &str = "seed\tkept\trequests\tattempts\tok\tpushed back\taborted\tunreached\topen\tp50 ms\tp99 ms\tbreaker\tbreaches";

pub fn line(out: &mut impl Write, day: &Day) -> std::io::Result<()> {
    writeln!(
        out,
        "{}\t{:.4}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{:.1}\t{:.1}\t{}\t{}",
        day.seed,
        day.kept,
        day.requests,
        day.attempts,
        day.ok,
        day.pushed_back,
        day.aborted,
        day.unreached,
        day.open,
        day.p50_ms,
        day.p99_ms,
        day.breaker_turns,
        day.breaches
    )?;
    day.told
        .iter()
        .try_for_each(|breach| writeln!(out, "  {breach}"))
}

fn show(days: &[Day], json: bool) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    let kept: Vec<f64> = days.iter().map(|day| day.kept).collect();
    let (mean, off) = mean(&kept);
    if json {
        for day in days {
            writeln!(out, "{}", serde_json::to_string(day)?)?;
        }
        return writeln!(
            out,
            "{}",
            serde_json::json!({"days": days.len(), "kept": mean, "off": off})
        );
    }
    writeln!(out, "{HEAD}")?;
    days.iter().try_for_each(|day| line(&mut out, day))?;
    if days.len() > 1 {
        writeln!(
            out,
            "kept {mean:.4} +- {off:.4} (95%, {} days; virtual time)",
            days.len()
        )?;
    }
    Ok(())
}

/// Plays days; whether all kept the rules.
pub fn simulate(
    world: &World,
    policy: Policy,
    seed: u64,
    days: u64,
    threads: usize,
    json: bool,
) -> Result<bool, String> {
    let days = side_by_side(seed..seed + days, threads, |seed| {
        play(world, seed, policy, false).0
    });
    show(&days, json).map_err(|why| why.to_string())?;
    Ok(days.iter().all(|day| day.breaches == 0))
}

/// How far a day was from the best, and what was lost why.
pub fn bound(world: &World, policy: Policy, seed: u64, json: bool) -> Result<bool, String> {
    let (day, record) = play(world, seed, policy, true);
    let split =
        bound::compare_with_bound(world, &record, day.kept).ok_or("the solver found no end")?;
    let asked: f64 = record
        .slices
        .iter()
        .map(|slice| slice.worth)
        .sum::<f64>()
        .max(1e-9);
    let losses: Vec<(&str, f64)> = LOSSES
        .iter()
        .map(|(loss, name)| (*name, record.losses[*loss as usize] / asked))
        .collect();
    if json {
        let losses: serde_json::Map<_, _> = losses
            .iter()
            .map(|(name, part)| ((*name).to_owned(), (*part).into()))
            .collect();
        let said = serde_json::json!({"world": world.name, "seed": seed, "kept": split.kept, "greedy": split.greedy,
            "bound": split.bound, "losses": losses, "breaches": day.breaches});
        println!("{said}");
    } else {
        println!(
            "{} seed {seed}, virtual time; parts of the criticality asked for",
            world.name
        );
        println!(
            "kept {:.4}\tgreedy plan {:.4}\tupper bound {:.4}",
            split.kept, split.greedy, split.bound
        );
        println!(
            "lost to the bound {:.4}, out of reach {:.4}",
            split.bound - split.kept,
            1.0 - split.bound
        );
        losses
            .iter()
            .filter(|loss| loss.1 > 0.0)
            .for_each(|(name, part)| println!("  {name}\t{part:.4}"));
    }
    Ok(day.breaches == 0)
}

/// A page about a day, with the bound where the day is small enough for the solver.
pub fn report(world: &World, policy: Policy, seed: u64, out: &Path) -> Result<bool, String> {
    // Guards against a solver that works for hours: its program grows with methods, slices and works, not with requests,
    // but the list of requests does.
    let small = world.rate() * world.seconds < 2e6;
    let (day, record) = play(world, seed, policy, small);
    let split = bound::compare_with_bound(world, &record, day.kept);
    let page = report::page(
        "virtual time, by coralstep-lab simulate",
        &day,
        &record,
        split.as_ref(),
        &[],
    );
    report::write(out, &page.map_err(|why| why.to_string())?)?;
    println!("{}", out.display());
    Ok(day.breaches == 0)
}
