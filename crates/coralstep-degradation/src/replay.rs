//! Replays recorded signals with another configuration to show which changes of level it would have made.
use std::io::{self, BufRead};

use coralstep::{Signals, Span, Time};
use serde::{Deserialize, Serialize};

use crate::change::LevelChange;
use crate::config::{DegradationConfig, DegradationConfigError};
use crate::state_machine::LevelStateMachine;

/// Maximum interval between observations in milliseconds. If two samples are further apart, the earlier one is repeated
/// in between.
const OBSERVATION_INTERVAL_MS: u64 = 100;
/// Maximum gap between two samples, in milliseconds, that is filled by repeating the earlier one.
const MAX_GAP_MS: u64 = 5_000;

/// One recorded observation, as the server logs it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Time of the observation in milliseconds since an arbitrary origin, the same for the whole recording.
    pub at_ms: u64,
    /// See [`Signals::queue_wait`].
    #[serde(default, rename = "hold")]
    pub queue_wait: Option<f64>,
    /// See [`Signals::rejected`].
    #[serde(default, rename = "pushed_back")]
    pub rejected: Option<f64>,
    /// See [`Signals::concurrency`].
    #[serde(default, rename = "running")]
    pub concurrency: Option<f64>,
    /// See [`Signals::breaker_open`].
    #[serde(default, rename = "breaker")]
    pub breaker_open: Option<f64>,
    /// See [`Signals::call_slowness`].
    #[serde(default, rename = "slowness")]
    pub call_slowness: Option<f64>,
    /// See [`Signals::memory`].
    #[serde(default)]
    pub memory: Option<f64>,
    /// See [`Signals::read_delay`].
    #[serde(default, rename = "unread")]
    pub read_delay: Option<f64>,
    /// See [`Signals::warming_up`].
    #[serde(default, rename = "cold")]
    pub warming_up: Option<f64>,
}

impl Sample {
    /// Creates the sample for `signals` at `at_ms` milliseconds.
    pub fn new(at_ms: u64, signals: &Signals) -> Sample {
        Sample {
            at_ms,
            queue_wait: signals.queue_wait,
            rejected: signals.rejected,
            concurrency: signals.concurrency,
            breaker_open: signals.breaker_open,
            call_slowness: signals.call_slowness,
            memory: signals.memory,
            read_delay: signals.read_delay,
            warming_up: signals.warming_up,
        }
    }

    /// Returns the recorded signals.
    pub fn signals(&self) -> Signals {
        Signals {
            queue_wait: self.queue_wait,
            rejected: self.rejected,
            concurrency: self.concurrency,
            breaker_open: self.breaker_open,
            call_slowness: self.call_slowness,
            memory: self.memory,
            read_delay: self.read_delay,
            warming_up: self.warming_up,
        }
    }
}

/// Error of a replay.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] DegradationConfigError),
    /// A line could not be read.
    #[error("line {line}: {source}")]
    Read {
        /// Line number, starting at 1.
        line: usize,
        /// The I/O error.
        source: io::Error,
    },
    /// The recording contains no sample.
    #[error("no line holds signals")]
    NoSample,
}

/// Reports the changes of level that `config` would have made and returns the number of samples.
///
/// Each change is reported with its time in the recording, in milliseconds. Lines that aren't samples are skipped.
/// Lines are processed one at a time, so memory use doesn't grow with the recording.
///
/// # Errors
///
/// Returns an error if the configuration is invalid, a line can't be read or there is no sample.
pub fn replay(
    config: &DegradationConfig,
    recording: impl BufRead,
    mut report: impl FnMut(u64, LevelChange),
) -> Result<u64, ReplayError> {
    let mut levels: Option<LevelStateMachine> = None;
    let mut last = None;
    let mut count = 0;
    for (index, line) in recording.lines().enumerate() {
        let line = line.map_err(|source| ReplayError::Read {
            line: index + 1,
            source,
        })?;
        let Ok(sample) = serde_json::from_str::<Sample>(&line) else {
            continue;
        };
        let levels = match &mut levels {
            Some(levels) => levels,
            None => levels.insert(LevelStateMachine::new(config, time_at(sample.at_ms))?),
        };
        if let Some(last) = &last {
            fill_gap(levels, last, sample.at_ms, &mut report);
        }
        if let Some(change) = levels.observe(time_at(sample.at_ms), &sample.signals()) {
            report(sample.at_ms, change);
        }
        last = Some(sample);
        count += 1;
    }
    if count == 0 {
        return Err(ReplayError::NoSample);
    }
    Ok(count)
}

/// Repeats the last sample up to `until_ms`, unless the gap is longer than [`MAX_GAP_MS`].
fn fill_gap(
    levels: &mut LevelStateMachine,
    last: &Sample,
    until_ms: u64,
    report: &mut impl FnMut(u64, LevelChange),
) {
    if until_ms.saturating_sub(last.at_ms) > MAX_GAP_MS {
        return;
    }
    let mut at_ms = last.at_ms + OBSERVATION_INTERVAL_MS;
    while at_ms < until_ms {
        if let Some(change) = levels.observe(time_at(at_ms), &last.signals()) {
            report(at_ms, change);
        }
        at_ms += OBSERVATION_INTERVAL_MS;
    }
}

fn time_at(ms: u64) -> Time {
    Time(0) + Span::ms(ms)
}
