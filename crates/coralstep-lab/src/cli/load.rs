//! `load`: an open loop against servers that are up.
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use coralstep_lab::caller::Protocol;
use coralstep_lab::load::{self, LoadOptions};

pub struct Call {
    pub protocol: Protocol,
    pub targets: Vec<SocketAddr>,
    pub rate: f64,
    pub seconds: f64,
    pub methods: Vec<(String, f64)>,
    pub replay: Option<PathBuf>,
    pub seed: u64,
    pub connections: usize,
    pub deadline_ms: u64,
    pub body: usize,
    pub json: bool,
}

pub fn load(call: &Call) -> Result<bool, String> {
    let plan = match &call.replay {
        Some(path) => {
            let text = std::fs::read_to_string(path)
                .map_err(|why| format!("{}: {why}", path.display()))?;
            load::parse_recorded(&text).map_err(|why| format!("{}: {why}", path.display()))?
        }
        None => load::plan_at_rate(call.rate, call.seconds, &call.methods, call.seed),
    };
    let terms = LoadOptions {
        protocol: call.protocol,
        targets: call.targets.clone(),
        connections: call.connections,
        deadline: Duration::from_millis(call.deadline_ms),
        body: vec![b'x'; call.body],
        json: call.json,
    };
    let figures = load::run(&terms, &plan, std::io::stderr()).map_err(|why| why.to_string())?;
    if call.json {
        println!(
            "{}",
            serde_json::to_string(&figures).map_err(|why| why.to_string())?
        );
    } else {
        eprintln!();
        println!(
            "due {}, answered well {} ({:.1} a second)",
            figures.due, figures.ok, figures.ok_rate
        );
        println!(
            "pushed back {}, aborted {}, refused {}, broken {}, timed out {}",
            figures.pushed_back,
            figures.aborted,
            figures.refused,
            figures.broken,
            figures.timed_out
        );
        println!(
            "ms from when each was due: p50 {:.2}, p90 {:.2}, p99 {:.2}, p99.9 {:.2}, most {:.2}",
            figures.p50_ms, figures.p90_ms, figures.p99_ms, figures.p999_ms, figures.most_ms
        );
        figures.void.iter().for_each(|void| println!("{void}"));
    }
    Ok(figures.void.is_none())
}
