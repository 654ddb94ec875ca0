//! Speaks the simulator's line protocol on standard input and output.
//!
//! Each event goes to the scheduler of its simulated server, each action of the scheduler becomes a line of the reply. The
//! adapter maps words, units and ids; every decision is made by the crate `coralstep`.
mod action_writer;
mod error;
mod fields;
mod handles;
mod host;
mod instance;
mod log_words;
mod units;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match host::serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coralstep-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
