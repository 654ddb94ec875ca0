//! The coralstep server process. It runs on one thread; each module depends only on the modules to its right:
//!
//! ```text
//! app ──> lifecycle ──> operators, callers ──> runs ──> fleet, dependency ──> decisions ──> base
//! ```
//!
//! [`callers`] reads RPCs and writes replies. [`decisions::SchedulerHandle`] wraps the scheduler, and [`runs`] executes its
//! decisions on an engine or on applications. [`dependency`] calls the store. The server uses no locks, and no borrow of
//! shared state is held across an await.
use thiserror::Error;

mod app;
pub mod base;
pub mod callers;
pub mod decisions;
pub mod dependency;
pub mod fleet;
pub mod lifecycle;
pub mod operators;
pub mod runs;

use app::App;
use base::config::ConfigFiles;
use lifecycle::{drain, reload};

/// Error that prevents the server from starting.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The configuration is invalid; no port was opened.
    #[error("{0}")]
    Config(String),
    /// A system call that the server needs failed.
    #[error("{0}")]
    System(String),
}

/// Serves until SIGTERM or SIGINT, then shuts down gracefully.
///
/// # Errors
/// Fails if the configuration is invalid, or if ports can't be bound or signal handlers can't be installed.
pub fn serve(source: ConfigFiles) -> Result<(), ServeError> {
    let system = |error: std::io::Error| ServeError::System(error.to_string());
    // Installed before the files are read, so that a signal in the meantime neither kills the process nor is lost.
    let stop = drain::catch_signals().map_err(system)?;
    let reload = reload::catch_signals().map_err(system)?;
    let config = source
        .load()
        .map_err(|error| ServeError::Config(error.to_string()))?;
    let app = App::build(config).map_err(ServeError::System)?;
    app.run(&source, stop, reload);
    Ok(())
}
