//! Graceful shutdown, from the signal to the end of the process.
use std::cell::Cell;
use std::io;
use std::time::{Duration, Instant};

use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};

use crate::callers::connections::Connections;
use crate::decisions::SchedulerHandle;
use crate::note;

/// Time before the stop at which listeners are closed. The scheduler answers all queued RPCs before
/// that; an RPC that is read later is answered at once.
const CLOSE_LISTENERS_BEFORE: Duration = Duration::from_millis(300);
/// Time before the stop at which the remaining connections are closed.
const CLOSE_CONNECTIONS_BEFORE: Duration = Duration::from_millis(160);
/// Time before the stop at which the process exits, even with open connections. Leaves room for a
/// pause of the process.
const EXIT_BEFORE: Duration = Duration::from_millis(100);

/// Installs handlers for SIGTERM and SIGINT.
///
/// Must be called before a port is opened.
/// Guards against a signal that ends the process while requests are in the listen backlog.
///
/// # Errors
/// Returns an error if the handlers can't be installed.
pub fn catch_signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int])
}

/// Components that take part in a graceful shutdown.
pub struct Shutdown<'a> {
    /// Answers the RPCs that were read, and rejects those that arrive after the grace period.
    pub scheduler: &'a SchedulerHandle,
    /// The callers' connections.
    pub connections: &'a Connections,
    /// Time from the signal until the platform kills the process.
    pub stop_after: Duration,
    /// Set when the signal arrives; stops the heartbeats to the control plane.
    pub draining: &'a Cell<bool>,
    /// Announces the shutdown to the other members of the fleet.
    pub announce: &'a dyn Fn(),
}

impl Shutdown<'_> {
    /// Waits for a signal and shuts down. Returns when the process should exit.
    pub async fn run(&self, mut signals: Signals) {
        signals.next().await;
        let stop_at = Instant::now() + self.stop_after;
        note!(
            stop_after_ms = self.stop_after.as_millis() as u64,
            "draining"
        );
        self.draining.set(true);
        // The other members must learn of the shutdown before anything else changes.
        (self.announce)();
        self.scheduler.begin_drain(self.stop_after);
        wait_until_before(stop_at, CLOSE_LISTENERS_BEFORE).await;
        self.connections.stop_accepting();
        self.connections
            .wait_until_all_closed()
            .or(self.close_connections(stop_at))
            .await;
        let rpcs = self.scheduler.request_counts().submitted;
        note!(rpcs, "drained");
    }

    async fn close_connections(&self, stop_at: Instant) {
        wait_until_before(stop_at, CLOSE_CONNECTIONS_BEFORE).await;
        self.connections.close_all();
        wait_until_before(stop_at, EXIT_BEFORE).await;
    }
}

async fn wait_until_before(stop_at: Instant, margin: Duration) {
    Timer::at(stop_at.checked_sub(margin).unwrap_or(stop_at)).await;
}
