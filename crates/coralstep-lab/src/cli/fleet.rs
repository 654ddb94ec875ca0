//! `fleet`: a play of real processes.
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use coralstep_lab::fleet::play::Play;

/// Whether nothing was broken.
pub fn play(file: &str, server: Option<PathBuf>, json: bool) -> Result<bool, String> {
    let text = std::fs::read_to_string(file).map_err(|why| format!("{file}: {why}"))?;
    let play = Play::parse(&text).map_err(|why| format!("{file}: {why}"))?;
    let program = super::sockets::program(server)?;
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    // Interrupted, it ends as at its end: all that was started is ended on the way out.
    ctrlc::set_handler(move || stopped.store(true, Ordering::SeqCst))
        .map_err(|why| why.to_string())?;
    let report = play
        .run(&program, &stop, |line| eprintln!("{line}"))
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
