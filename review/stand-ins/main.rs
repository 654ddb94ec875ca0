//! The stand-ins of the review's cases: engine, store, control plane, gateways and other clients, each as the pages of the
//! operators describe it, and the play of each case. Started by `review/N/run.sh` from the repository's root.
//!
//!     rig CASE RECORD TROUBLE     exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run
//!
//! TROUBLE is what the script was given in the environment, or 1. With 0 a case does the same without its disruption.
mod case_1;
mod case_2;
mod case_3;
mod engine;
mod gateway;
mod scgi;
mod thrift;
mod world;

use std::path::Path;
use std::process::exit;
use std::time::Duration;

/// What a case has found.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, trouble] = &arguments[..] else {
        eprintln!("usage: rig CASE RECORD TROUBLE");
        exit(2);
    };
    let trouble = trouble != "0";
    let world = world::World::new(Path::new(record));
    world.end_after(Duration::from_secs(110));
    world.note(&format!("case {case}, trouble {trouble}"));
    let played = match case.as_str() {
        "1" => case_1::play(&world, trouble),
        "2" => case_2::play(&world, trouble),
        "3" => case_3::play(&world, trouble),
        _ => Err(format!("no case {case}")),
    };
    let (code, text) = match played {
        Ok(Verdict::Held(text)) => (0, format!("the rule held: {text}")),
        Ok(Verdict::Broken(text)) => (1, format!("the rule was broken: {text}")),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    world.note(&text);
    println!("{text}");
    exit(code);
}
