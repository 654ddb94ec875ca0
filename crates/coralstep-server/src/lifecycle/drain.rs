//! From the notice to leave to the end of the process.
use std::cell::Cell;
use std::io;
use std::time::{Duration, Instant};

use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};

use crate::callers::connections::Connections;
use crate::decisions::SchedulerHandle;
use crate::note;

/// So long before the stop nobody is let in any more: the decisions give their last answers before that, and what
/// is read later gets one at once.
const SHUT: Duration = Duration::from_millis(300);
/// So long before the stop the connections that are still there are ended, and so long before it the process, whoever is
/// still connected: a pause of the process fits in.
const END: Duration = Duration::from_millis(160);
const EXIT: Duration = Duration::from_millis(100);

/// From here on the notice is waited for. To be called before anybody can connect: guards against a notice that ends
/// the process while requests lie in the backlog.
pub fn signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int])
}

/// Ends when the process should.
pub async fn wait(
    mut signals: Signals,
    facade: &SchedulerHandle,
    connections: &Connections,
    stop: Duration,
    leaving: &Cell<bool>,
    told: &dyn Fn(),
) {
    signals.next().await;
    let stop_at = Instant::now() + stop;
    note!("leaving within {} ms", stop.as_millis());
    leaving.set(true);
    // The others hear it before anything else changes.
    told();
    facade.begin_drain(stop);
    Timer::at(stop_at.checked_sub(SHUT).unwrap_or(stop_at)).await;
    connections.shut();
    let end = async {
        Timer::at(stop_at.checked_sub(END).unwrap_or(stop_at)).await;
        connections.end();
        Timer::at(stop_at.checked_sub(EXIT).unwrap_or(stop_at)).await;
    };
    connections.empty().or(end).await;
    note!("left after {} RPCs", facade.request_counts().submitted);
}
