//! The log, on standard error: `note!` for lines, so many a second at the most; events of their own (a change of level, of a
//! breaker) are few by design and never left out. As text a line is its message and fields, as JSON an object.
use std::cell::Cell;
use std::io::stderr;
use std::time::{Duration, Instant};

use coralstep_config::site::{LogConfig, LogFormat};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, fmt};

/// From here on events are written; those before went nowhere.
pub fn start(terms: &LogConfig) -> Result<(), String> {
    let targets: Targets = terms
        .levels
        .parse()
        .map_err(|why| format!("log.levels: {:?}: {why}", terms.levels))?;
    let layer = match terms.format {
        LogFormat::Text => {
            let plain = fmt::layer()
                .without_time()
                .with_level(false)
                .with_target(false)
                .with_ansi(false);
            plain.with_writer(stderr).boxed()
        }
        LogFormat::Json => fmt::layer()
            .json()
            .flatten_event(true)
            .with_writer(stderr)
            .boxed(),
    };
    tracing_subscriber::registry()
        .with(layer.with_filter(targets))
        .try_init()
        .map_err(|why| format!("log: {why}"))
}

/// Lines a second; what is beyond is counted and told with the next line.
const LINES: u32 = 20;
/// Of these, so many may be about what a client does. Guards against bad clients that talk all other lines away.
const CLIENT_LINES: u32 = 5;

/// Lines written since then, and left out.
#[derive(Clone, Copy)]
struct Window {
    since: Option<Instant>,
    others: u32,
    clients: u32,
    left_out: u32,
}

thread_local! {
    static WINDOW: Cell<Window> = const { Cell::new(Window { since: None, others: 0, clients: 0, left_out: 0 }) };
}

/// Lines left out before this one, where this one may be written; `client` where a client is the cause.
pub fn admitted(now: Instant, client: bool) -> Option<u32> {
    let mut window = WINDOW.get();
    let left_out = window.left_out;
    if window
        .since
        .is_none_or(|since| now.saturating_duration_since(since) >= Duration::from_secs(1))
    {
        window = Window {
            since: Some(now),
            others: 0,
            clients: 0,
            left_out: 0,
        };
    }
    let (count, most) = if client {
        (&mut window.clients, CLIENT_LINES)
    } else {
        (&mut window.others, LINES - CLIENT_LINES)
    };
    let written = *count < most;
    *count += u32::from(written);
    let before = left_out - window.left_out;
    window.left_out += u32::from(!written);
    WINDOW.set(window);
    written.then_some(before)
}

/// Writes an event at level info, as `tracing::info!` would: fields, then a message. So many a second are written; the next one
/// after that has the number left out in the field `lines_left_out`. With `client:` in front, a client is the cause.
#[macro_export]
macro_rules! note {
    (client: $($text:tt)*) => { $crate::note!(@true, $($text)*) };
    (@$client:literal, $($text:tt)*) => {
        match $crate::base::log::admitted(std::time::Instant::now(), $client) {
            None => {}
            Some(0) => tracing::info!($($text)*),
            Some(lines_left_out) => tracing::info!(lines_left_out, $($text)*),
        }
    };
    ($($text:tt)*) => { $crate::note!(@false, $($text)*) };
}

#[cfg(test)]
mod tests;
