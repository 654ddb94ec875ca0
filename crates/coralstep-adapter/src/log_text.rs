//! Texts of the protocol's `LOG` lines. They are part of the wire format and independent of [`Event`]'s own
//! messages.
use std::fmt;

use coralstep::{BreakerTransition, Event, OrphanedRun};

/// Formats an event as the text of a `LOG` line.
pub(crate) struct LogText(pub(crate) Event);

impl fmt::Display for LogText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Event::BreakerChanged(BreakerTransition {
                from,
                to,
                failure_rate,
            }) => write!(f, "breaker {from} -> {to}, failed {failure_rate:.2}"),
            Event::RunOrphaned(run) => write_orphan(f, "lost", run),
            Event::RunOrphanedAtCall(run) => write_orphan(f, "stranded", run),
            Event::OrphanLimit {
                reached,
                orphaned,
                max_orphaned,
            } => write!(
                f,
                "places of lost runs used up: {reached}, {orphaned} of {max_orphaned}"
            ),
            Event::HealthChanged {
                stalled,
                read_backlog,
            } => write!(
                f,
                "cores stand still: {stalled}, reading falls behind: {read_backlog}"
            ),
        }
    }
}

fn write_orphan(f: &mut fmt::Formatter<'_>, word: &str, run: OrphanedRun) -> fmt::Result {
    let ms = run.since_answer_ms();
    let (orphaned, max) = (run.orphaned, run.max_orphaned);
    write!(
        f,
        "a run is {word}: no end {ms} ms after its answer, {orphaned} of {max}"
    )
}

#[cfg(test)]
mod tests;
