//! `fleet`: a play of real processes.
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use coralstep_lab::fleet::play::Play;
use coralstep_lab::fleet::{Programs, mixed_builds};

/// Argument that selects the scenario with two builds instead of a play file.
pub const MIXED_BUILDS: &str = "mixed-builds";

fn programs(server: Option<PathBuf>, other: Option<PathBuf>) -> Result<Programs, String> {
    if let Some(missing) = other.as_ref().filter(|other| !other.is_file()) {
        return Err(format!(
            "--other-server: {}: no such file",
            missing.display()
        ));
    }
    Ok(Programs::alternating(
        super::sockets::program(server)?,
        other,
    ))
}

/// Returns a flag that an interrupt sets. The run then ends early, and all processes started are ended as usual.
fn stop_on_interrupt() -> Result<Arc<AtomicBool>, String> {
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    ctrlc::set_handler(move || stopped.store(true, Ordering::SeqCst))
        .map_err(|why| why.to_string())?;
    Ok(stop)
}

/// Runs a play; returns whether all invariants held.
pub fn play(
    file: &str,
    server: Option<PathBuf>,
    other: Option<PathBuf>,
    json: bool,
) -> Result<bool, String> {
    let text = std::fs::read_to_string(file).map_err(|why| format!("{file}: {why}"))?;
    let play = Play::parse(&text).map_err(|why| format!("{file}: {why}"))?;
    let programs = programs(server, other)?;
    let stop = stop_on_interrupt()?;
    let report = play
        .run(programs, &stop, |line| eprintln!("{line}"))
        .map_err(|why| why.to_string())?;
    if json {
        println!("{}", serde_json::json!(report));
    } else {
        println!(
            "ok {}, pushed back {}, aborted {}",
            report.ok, report.pushed_back, report.aborted
        );
        let together = report
            .together_ms
            .map_or("never".to_owned(), |ms| format!("after {ms} ms"));
        println!(
            "all on one version {together}; {:.0} bytes a second and process",
            report.bytes_a_second
        );
        report
            .breaches
            .iter()
            .for_each(|breach| println!("broken: {}", serde_json::json!(breach)));
        println!("{} breaches", report.breaches.len());
    }
    Ok(report.breaches.is_empty())
}

/// Runs the scenario with two builds.
///
/// # Errors
/// Describes the step that failed.
pub fn mixed_builds(
    server: Option<PathBuf>,
    other: PathBuf,
    seed: u64,
    json: bool,
) -> Result<bool, String> {
    let programs = programs(server, Some(other))?;
    let stop = stop_on_interrupt()?;
    let report = mixed_builds::run(&programs, seed, &stop, |line| eprintln!("{line}"))
        .map_err(|why| format!("{MIXED_BUILDS}: {why}"))?;
    if json {
        println!("{}", serde_json::json!(report));
        return Ok(true);
    }
    let (admitted, rejected) = (report.admitted, report.rejected);
    println!(
        "admitted: primary build {}, other build {}",
        admitted.primary, admitted.other
    );
    println!(
        "rejected: primary build {}, other build {}",
        rejected.primary, rejected.other
    );
    println!(
        "most over the limit in any window: {:.1} RPCs",
        report.limit_excess
    );
    println!("refused datagrams: {}", report.refused_datagrams);
    println!("all steps of {MIXED_BUILDS} passed");
    Ok(true)
}
