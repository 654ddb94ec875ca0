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

/// New connections are refused so long before the stop. The scheduler gives its last answers earlier; what is read later is
/// answered at once.
const CLOSE_LISTENERS_BEFORE: Duration = Duration::from_millis(300);
/// Connections that are still open are closed so long before the stop.
const CLOSE_CONNECTIONS_BEFORE: Duration = Duration::from_millis(160);
/// The process ends so long before the stop, whoever is still connected: a pause of the process fits in.
const EXIT_BEFORE: Duration = Duration::from_millis(100);

/// Catches SIGTERM and SIGINT from now on.
///
/// Guards against a signal that ends the process while requests lie in the backlog: call it before a port opens.
///
/// # Errors
/// The system refuses to deliver the signals.
pub fn signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int])
}

/// What takes part in a graceful shutdown.
pub struct Shutdown<'a> {
    /// Answers what has been read, and rejects what arrives after the grace period.
    pub scheduler: &'a SchedulerHandle,
    /// The callers' connections.
    pub connections: &'a Connections,
    /// From the signal to the moment at which the platform kills the process.
    pub stop_after: Duration,
    /// Set when the signal has come: this server reports to the control plane no more.
    pub draining: &'a Cell<bool>,
    /// Tells the other members of the fleet.
    pub announce: &'a dyn Fn(),
}

impl Shutdown<'_> {
    /// Waits for a signal, then ends when the process should.
    pub async fn run(&self, mut signals: Signals) {
        signals.next().await;
        let stop_at = Instant::now() + self.stop_after;
        note!(
            stop_after_ms = self.stop_after.as_millis() as u64,
            "draining"
        );
        self.draining.set(true);
        // The others hear of it before anything else changes.
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
