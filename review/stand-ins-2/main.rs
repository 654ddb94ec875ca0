//! Stand-ins and cases of the second independent review. One program, standard library only:
//!
//!     stand-ins CASE TROUBLE RECORD
//!
//! CASE is the number of a case's folder, TROUBLE is 1 or 0 (without the disruption), RECORD is the file that the record is
//! written to. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
mod case_10;
mod case_6;
mod case_7;
mod case_8;
mod case_9;
mod scgi;
mod world;

use std::panic::catch_unwind;
use std::process::exit;

use world::{Verdict, World};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, trouble, record] = arguments.as_slice() else {
        eprintln!("usage: stand-ins CASE TROUBLE RECORD");
        exit(2);
    };
    let world = World::new(trouble != "0");
    world.start_watchdog(record.clone());
    let case = case.clone();
    let run = match case.as_str() {
        "6" => case_6::run,
        "7" => case_7::run,
        "8" => case_8::run,
        "9" => case_9::run,
        "10" => case_10::run,
        _ => {
            eprintln!("no such case: {case}");
            exit(2);
        }
    };
    let verdict = catch_unwind(|| run(world))
        .unwrap_or_else(|_| Verdict::CouldNotRun("a stand-in panicked".to_owned()));
    world.end_processes();
    exit(world.finish(record, &verdict));
}
