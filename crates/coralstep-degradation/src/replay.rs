//! Recorded figures played through other terms: what would have happened. A record is lines of JSON as the server logs
//! them, one a second or so; lines without `at_ms` are something else and passed over.
use std::io::BufRead;

use coralstep::{Signals, Span, Time};
use serde::{Deserialize, Serialize};

use crate::machine::{Change, Levels};
use crate::terms::LevelTerms;

/// One line of a record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Since any moment that is the same for the whole record, in milliseconds.
    pub at_ms: u64,
    #[serde(default)]
    pub hold: Option<f64>,
    #[serde(default)]
    pub pushed_back: Option<f64>,
    #[serde(default)]
    pub running: Option<f64>,
    #[serde(default)]
    pub breaker: Option<f64>,
    #[serde(default)]
    pub slowness: Option<f64>,
    #[serde(default)]
    pub memory: Option<f64>,
    #[serde(default)]
    pub unread: Option<f64>,
    #[serde(default)]
    pub cold: Option<f64>,
}

impl Sample {
    pub fn new(at_ms: u64, of: &Signals) -> Sample {
        Sample {
            at_ms,
            hold: of.queue_wait,
            pushed_back: of.rejected,
            running: of.concurrency,
            breaker: of.breaker_open,
            slowness: of.call_slowness,
            memory: of.memory,
            unread: of.read_delay,
            cold: of.warming_up,
        }
    }

    pub fn signals(&self) -> Signals {
        Signals {
            queue_wait: self.hold,
            rejected: self.pushed_back,
            concurrency: self.running,
            breaker_open: self.breaker,
            call_slowness: self.slowness,
            memory: self.memory,
            read_delay: self.unread,
            warming_up: self.cold,
        }
    }
}

/// Figures are seen this often at the least; between two samples further apart the earlier one is taken to have held, for so
/// long as the levels believe it.
const BEAT_MS: u64 = 100;
/// A gap longer than this is a gap: nothing is made up for it.
const GAP_MS: u64 = 5_000;

/// The changes that `terms` would have made, each with its time in the record. Lines are read as they come; memory doesn't grow
/// with the record.
pub fn replay(
    terms: &LevelTerms,
    record: impl BufRead,
    mut change: impl FnMut(u64, Change),
) -> Result<u64, String> {
    let mut levels: Option<Levels> = None;
    let (mut last, mut count) = (Sample::default(), 0);
    let time = |ms: u64| Time(0) + Span::ms(ms);
    for (number, line) in record.lines().enumerate() {
        let line = line.map_err(|why| format!("line {}: {why}", number + 1))?;
        let Ok(sample) = serde_json::from_str::<Sample>(&line) else {
            continue;
        };
        let levels = match &mut levels {
            Some(levels) => levels,
            None => levels.insert(Levels::new(terms, time(sample.at_ms))?),
        };
        if count > 0 && sample.at_ms.saturating_sub(last.at_ms) <= GAP_MS {
            let mut at = last.at_ms + BEAT_MS;
            while at < sample.at_ms {
                if let Some(one) = levels.observe(time(at), &last.signals()) {
                    change(at, one);
                }
                at += BEAT_MS;
            }
        }
        if let Some(one) = levels.observe(time(sample.at_ms), &sample.signals()) {
            change(sample.at_ms, one);
        }
        (last, count) = (sample, count + 1);
    }
    if count == 0 {
        Err("no line holds signals".to_owned())
    } else {
        Ok(count)
    }
}
