//! One coralstep server on sockets: one thread, a folder a concern, dependencies one way.
//!
//! ```text
//! app ──> lifecycle ──> operators, callers ──> runs ──> fleet, dependency ──> decisions ──> base
//! ```
//!
//! [`callers`] read RPCs and write answers; [`decisions::SchedulerHandle`] is the way to the scheduler; [`runs`] carries out what
//! it decides, at an engine or at applications, and [`dependency`] calls the store. No lock, and no borrow of shared state is
//! held across an await.
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

/// Why nothing was served.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The files are at fault; no port was opened.
    #[error("{0}")]
    Config(String),
    /// The system refused something that the server needs.
    #[error("{0}")]
    System(String),
}

/// Serves until SIGTERM or SIGINT and the shutdown that follows.
///
/// # Errors
/// Faulty files, or a system that refuses ports or signals.
pub fn serve(source: ConfigFiles) -> Result<(), ServeError> {
    let system = |error: std::io::Error| ServeError::System(error.to_string());
    // Before the files are read, so that a signal in between ends nobody and is not missed.
    let stop = drain::catch_signals().map_err(system)?;
    let reload = reload::catch_signals().map_err(system)?;
    let config = source
        .load()
        .map_err(|error| ServeError::Config(error.to_string()))?;
    let app = App::build(config).map_err(ServeError::System)?;
    app.run(&source, stop, reload);
    Ok(())
}
