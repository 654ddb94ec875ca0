//! Connects the simulator's line protocol on standard input and output to the `coralstep` scheduler.
//!
//! Each event is passed to the scheduler of its simulated server, and each action of the scheduler becomes
//! a line of the reply. The adapter only converts names, units and ids.
mod action_writer;
mod error;
mod fields;
mod handles;
mod host;
mod instance;
mod log_text;
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
