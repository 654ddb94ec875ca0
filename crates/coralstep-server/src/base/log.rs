//! The log on standard error, as text or JSON.
//!
//! Lines by `note!` are bounded a second. Events with a target of their own (a change of level, of a circuit breaker) are few by
//! design and never left out.
use std::cell::Cell;
use std::io::stderr;
use std::time::{Duration, Instant};

use coralstep_config::site::{LogConfig, LogFormat};
use tracing_subscriber::filter::{ParseError, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};
use tracing_subscriber::{Layer, fmt};

/// Why the log can't be started.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The configured levels are at fault.
    #[error("log.levels: {levels:?}: {source}")]
    Levels {
        /// The levels as configured.
        levels: String,
        /// What is wrong with them.
        source: ParseError,
    },
    /// The process has a log already.
    #[error("log: {0}")]
    Init(#[from] TryInitError),
}

/// Starts the log; events before it are lost.
///
/// # Errors
/// The configured levels are at fault, or the process has a log already.
pub fn init(config: &LogConfig) -> Result<(), LogError> {
    let targets: Targets = config.levels.parse().map_err(|source| LogError::Levels {
        levels: config.levels.clone(),
        source,
    })?;
    let layer = match config.format {
        LogFormat::Text => fmt::layer()
            .without_time()
            .with_level(false)
            .with_target(false)
            .with_ansi(false)
            .with_writer(stderr)
            .boxed(),
        LogFormat::Json => fmt::layer()
            .json()
            .flatten_event(true)
            .with_writer(stderr)
            .boxed(),
    };
    tracing_subscriber::registry()
        .with(layer.with_filter(targets))
        .try_init()?;
    Ok(())
}

/// The most lines a second; how many were left out is a field of the next line.
const MAX_LINES_PER_SECOND: u32 = 20;
/// The most of these that clients cause: guards against bad clients whose lines leave no space for others.
const MAX_CLIENT_LINES_PER_SECOND: u32 = 5;
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// Who causes a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineCause {
    /// A client, by what it sends.
    Client,
    /// Anything else.
    Server,
}

/// Lines written and left out since a moment.
#[derive(Clone, Copy)]
struct Window {
    since: Option<Instant>,
    server_lines: u32,
    client_lines: u32,
    left_out: u32,
}

impl Window {
    const fn starting(since: Option<Instant>) -> Window {
        Window {
            since,
            server_lines: 0,
            client_lines: 0,
            left_out: 0,
        }
    }

    fn is_over(&self, now: Instant) -> bool {
        self.since
            .is_none_or(|since| now.saturating_duration_since(since) >= WINDOW_LENGTH)
    }

    /// Counts a line; whether it may be written.
    fn count(&mut self, cause: LineCause) -> bool {
        let (lines, max_lines) = match cause {
            LineCause::Client => (&mut self.client_lines, MAX_CLIENT_LINES_PER_SECOND),
            LineCause::Server => (
                &mut self.server_lines,
                MAX_LINES_PER_SECOND - MAX_CLIENT_LINES_PER_SECOND,
            ),
        };
        let admitted = *lines < max_lines;
        if admitted {
            *lines += 1;
        } else {
            self.left_out += 1;
        }
        admitted
    }
}

thread_local! {
    static WINDOW: Cell<Window> = const { Cell::new(Window::starting(None)) };
}

/// Whether a line may be written now; if so, how many lines of the last window were left out.
pub fn admit_line(now: Instant, cause: LineCause) -> Option<u32> {
    let mut window = WINDOW.get();
    let mut left_out_before = 0;
    if window.is_over(now) {
        left_out_before = window.left_out;
        window = Window::starting(Some(now));
    }
    let admitted = window.count(cause);
    WINDOW.set(window);
    admitted.then_some(left_out_before)
}

/// Writes an event at level info, as `tracing::info!` would: fields, then a message.
///
/// Lines are bounded a second; the next one after that has the number left out in the field `lines_left_out`. With `client:` in
/// front, a client is the cause.
#[macro_export]
macro_rules! note {
    (client: $($text:tt)*) => { $crate::note!(@Client, $($text)*) };
    (@$cause:ident, $($text:tt)*) => {
        match $crate::base::log::admit_line(
            std::time::Instant::now(),
            $crate::base::log::LineCause::$cause,
        ) {
            None => {}
            Some(0) => tracing::info!($($text)*),
            Some(lines_left_out) => tracing::info!(lines_left_out, $($text)*),
        }
    };
    ($($text:tt)*) => { $crate::note!(@Server, $($text)*) };
}

#[cfg(test)]
mod tests;
