//! Logging to standard error, as text or JSON.
//!
//! `note!` limits the number of lines per second. Events with a dedicated target (changes of the degradation level or of a
//! circuit breaker) are rare by design and never dropped.
use std::cell::Cell;
use std::io::stderr;
use std::time::{Duration, Instant};

use coralstep_config::site::{LogConfig, LogFormat};
use tracing_subscriber::filter::{ParseError, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};
use tracing_subscriber::{Layer, fmt};

/// Error of initializing the log.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The configured levels are invalid.
    #[error("log.levels: {levels:?}: {source}")]
    Levels {
        /// The configured levels.
        levels: String,
        /// The parse error.
        source: ParseError,
    },
    /// The process already has a global subscriber.
    #[error("log: {0}")]
    Init(#[from] TryInitError),
}

/// Initializes the log. Earlier events are lost.
///
/// # Errors
/// Fails if the configured levels are invalid or the process already has a global subscriber.
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

/// Maximum number of lines per second. The number of dropped lines is a field of the next line.
const MAX_LINES_PER_SECOND: u32 = 20;
/// Maximum number of these lines caused by clients. Guards against faulty clients whose lines crowd out all others.
const MAX_CLIENT_LINES_PER_SECOND: u32 = 5;
/// Length of the window over which lines are counted.
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// The party that caused a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineCause {
    /// A client, through the data it sent.
    Client,
    /// Any other cause.
    Server,
}

/// Number of lines written and dropped in the current window.
#[derive(Clone, Copy)]
struct Window {
    since: Option<Instant>,
    server_lines: u32,
    client_lines: u32,
    dropped: u32,
}

impl Window {
    const fn starting_at(since: Option<Instant>) -> Window {
        Window {
            since,
            server_lines: 0,
            client_lines: 0,
            dropped: 0,
        }
    }

    fn is_over(&self, now: Instant) -> bool {
        self.since
            .is_none_or(|since| now.saturating_duration_since(since) >= WINDOW_LENGTH)
    }

    /// Counts a line and returns whether it may be written.
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
            self.dropped += 1;
        }
        admitted
    }
}

thread_local! {
    static WINDOW: Cell<Window> = const { Cell::new(Window::starting_at(None)) };
}

/// Returns `None` if a line must be dropped, otherwise the number of lines dropped in the previous window.
///
/// That number is 0 for every line except the first of a window.
pub fn admit_line(now: Instant, cause: LineCause) -> Option<u32> {
    let mut window = WINDOW.get();
    let mut previously_dropped = 0;
    if window.is_over(now) {
        previously_dropped = window.dropped;
        window = Window::starting_at(Some(now));
    }
    let admitted = window.count(cause);
    WINDOW.set(window);
    admitted.then_some(previously_dropped)
}

/// Logs an event at level info within the line limit. Takes the arguments of `tracing::info!`.
///
/// The number of lines per second is limited; the first line of the next second has the number of dropped lines in the field
/// `lines_left_out`. The prefix `client:` marks a line as caused by a client.
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
