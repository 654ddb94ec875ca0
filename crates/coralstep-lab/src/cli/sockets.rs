//! `emulate` and `demo`: worlds on loopback sockets, with the program itself.
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use coralstep_lab::caller::Protocol;
use coralstep_lab::emulate::{EmulationOptions, emulate, without_skipped_calls};
use coralstep_lab::simulate::play;
use coralstep_lab::{Day, World, demo, report};

use super::simulate::{HEAD, line};

/// The program `coralstep`: the one that was named, else the one that lies beside this; built where there is none and cargo runs us.
pub fn program(named: Option<PathBuf>) -> Result<PathBuf, String> {
    if let Some(named) = named {
        return if named.is_file() {
            Ok(named)
        } else {
            Err(format!("--server: {}: no such file", named.display()))
        };
    }
    let beside = std::env::current_exe()
        .map_err(|why| why.to_string())?
        .with_file_name("coralstep");
    if let Some(cargo) = std::env::var_os("CARGO") {
        // Guards against an older program than the code that it stands for; takes a moment where nothing has changed.
        let release = !cfg!(debug_assertions);
        eprintln!("building the program coralstep");
        let mut build = Command::new(cargo);
        build.args([
            "build",
            "--quiet",
            "--package",
            "coralstep-server",
            "--bin",
            "coralstep",
        ]);
        if release {
            build.arg("--release");
        }
        let built = build.status().map_err(|why| format!("cargo: {why}"))?;
        if !built.success() {
            return Err("cargo could not build the program coralstep".to_owned());
        }
    }
    match beside.is_file() {
        true => Ok(beside),
        false => Err(format!(
            "{}: no such program; cargo build --release makes it",
            beside.display()
        )),
    }
}

/// Set by Ctrl-C and by a request to end.
pub fn interrupts() -> Result<Arc<AtomicBool>, String> {
    let interrupted = Arc::new(AtomicBool::new(false));
    let set = interrupted.clone();
    ctrlc::set_handler(move || set.store(true, Ordering::SeqCst)).map_err(|why| why.to_string())?;
    Ok(interrupted)
}

fn progress(second: u64, day: &Day) {
    let (ok, pushed, aborted) = (day.ok, day.pushed_back, day.aborted);
    if std::io::stderr().is_terminal() {
        eprint!(
            "\r{second:>4} s  requests {:>6}  ok {ok:>6}  pushed back {pushed:>6}  aborted {aborted:>5} ",
            day.requests
        );
    } else if second.is_multiple_of(10) {
        eprintln!(
            "{second} s: requests {}, ok {ok}, pushed back {pushed}, aborted {aborted}",
            day.requests
        );
    }
    let _ = std::io::stderr().flush();
}

/// Plays a world on sockets; `beside`: the simulator's day next to it.
pub fn emulated(
    world: &World,
    terms: &EmulationOptions,
    out: Option<&Path>,
    beside: bool,
    json: bool,
) -> Result<bool, String> {
    let interrupted = interrupts()?;
    let (day, mut record) = emulate(world, terms, &interrupted, progress)?;
    eprintln!();
    record.finish();
    let mut stdout = std::io::stdout().lock();
    let told = |why: std::io::Error| why.to_string();
    let simulated = beside.then(|| {
        play(
            &without_skipped_calls(world),
            terms.seed,
            Default::default(),
            false,
        )
        .0
    });
    if json {
        writeln!(
            stdout,
            "{}",
            serde_json::json!({"emulated": day, "simulated": simulated})
        )
        .map_err(told)?;
    } else {
        writeln!(stdout, "{HEAD}").map_err(told)?;
        line(&mut stdout, &day).map_err(told)?;
        if let Some(simulated) = &simulated {
            line(&mut stdout, simulated).map_err(told)?;
            writeln!(stdout, "first on sockets, then in virtual time").map_err(told)?;
        }
    }
    if let Some(out) = out {
        write(&day, &record, out)?;
    }
    Ok(day.breaches == 0)
}

fn write(day: &Day, record: &coralstep_lab::record::Record, out: &Path) -> Result<(), String> {
    let page = report::page(
        "on loopback sockets, by the program coralstep",
        day,
        record,
        None,
        &[],
    );
    report::write(out, &page.map_err(|why| why.to_string())?)
}

/// The demonstration. Nothing to set up, and nothing left behind but the report.
pub fn demo(server: Option<PathBuf>, out: Option<PathBuf>) -> Result<bool, String> {
    let (program, world, start) = (program(server)?, demo::world()?, Instant::now());
    let interrupted = interrupts()?;
    println!(
        "three servers, their engines, the store and the control plane on loopback; {} s",
        demo::SECONDS
    );
    for trouble in &world.troubles {
        println!(
            "  {:>2} s: {:?} for {} s",
            trouble.at_s, trouble.kind, trouble.for_s
        );
    }
    let terms = EmulationOptions {
        program,
        protocol: Protocol::Thrift,
        applications: false,
        faults: Default::default(),
        seed: 1,
    };
    let (day, mut record) = emulate(&world, &terms, &interrupted, progress)?;
    eprintln!();
    record.finish();
    let target = Path::new("target");
    let out = out.unwrap_or_else(|| {
        if target.is_dir() {
            target.join("demo.html")
        } else {
            "demo.html".into()
        }
    });
    let parts = [
        ("ok", day.ok),
        ("pushed back", day.pushed_back),
        ("aborted", day.aborted),
        ("unreached", day.unreached),
    ];
    println!(
        "{} requests in {:.0} s:",
        day.requests,
        start.elapsed().as_secs_f64()
    );
    for (name, count) in parts {
        println!(
            "  {name:<12}{count:>6}  {:>5.1}%",
            100.0 * count as f64 / day.requests.max(1) as f64
        );
    }
    println!(
        "good answers after {:.0} ms at the middle, 99 of 100 within {:.0} ms",
        day.p50_ms, day.p99_ms
    );
    println!(
        "criticality kept {:.3}; breakers changed their state {} times",
        day.kept, day.breaker_turns
    );
    println!(
        "checked: one answer each, no effect twice, drain, crowd on the cores: {} breaches",
        day.breaches
    );
    day.told.iter().for_each(|told| println!("  {told}"));
    write(&day, &record, &out)?;
    println!("report: {}", out.display());
    if start.elapsed() > Duration::from_secs(60) {
        println!("it took over a minute: this machine is busy, and the figures with it");
    }
    Ok(day.breaches == 0)
}
