//! Degradation levels: what a level asks of the decisions, and which level each request is decided under.
//!
//! Which level holds is decided elsewhere (`coralstep-degradation`).
use crate::config::{Idempotency, Method};
use crate::time::Span;

/// Versions of the configuration that requests here may have been read under: more come only if several
/// change within one deadline.
const MAX_VERSIONS: usize = 8;

/// What a degradation level asks of the decisions, on top of what they do anyway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DegradationLevel {
    /// Requests of methods with a lower priority weight are rejected.
    pub min_priority_weight: f64,
    /// Requests of idempotent methods are rejected.
    pub reject_idempotent: bool,
    /// All requests are rejected.
    pub reject_all: bool,
    /// The server is excluded off: it rejects all that it has read, under whatever version of the
    /// configuration.
    pub excluded: bool,
    /// Calls that can be skipped are.
    pub skip_calls: bool,
    /// The queue limit, as a part of the usual one.
    pub queue_limit_factor: f64,
    /// The accepted load that is reported, as a part of the usual one.
    pub load_report_factor: f64,
    /// The level can't change sooner: the Retry-After of what it rejects.
    pub retry_after: Span,
}

impl Default for DegradationLevel {
    /// Full service.
    fn default() -> DegradationLevel {
        DegradationLevel {
            min_priority_weight: 0.0,
            reject_idempotent: false,
            reject_all: false,
            excluded: false,
            skip_calls: false,
            queue_limit_factor: 1.0,
            load_report_factor: 1.0,
            retry_after: Span::ZERO,
        }
    }
}

impl DegradationLevel {
    /// Whether a request of `method` is rejected before it runs.
    pub fn sheds(&self, method: &Method) -> bool {
        self.reject_all
            || self.excluded
            || (self.reject_idempotent && method.idempotency == Idempotency::Idempotent)
            || method.priority_weight < self.min_priority_weight
    }
}

/// The level that holds, and the last level under each earlier version of the configuration.
#[derive(Debug, Default)]
pub(crate) struct VersionedDegradation {
    current: DegradationLevel,
    /// The version of the configuration.
    version: u32,
    previous: [DegradationLevel; MAX_VERSIONS],
}

impl VersionedDegradation {
    pub(crate) fn current(&self) -> &DegradationLevel {
        &self.current
    }

    pub(crate) fn version(&self) -> u32 {
        self.version
    }

    /// Sets the level that holds; true where it is another one.
    pub(crate) fn set(&mut self, level: DegradationLevel) -> bool {
        let changed = level != self.current;
        self.current = level;
        changed
    }

    /// Begins another version of the configuration. A fence is no level of the version that ends.
    pub(crate) fn begin_version(&mut self) {
        self.previous[self.version as usize % MAX_VERSIONS] = if self.current.excluded {
            DegradationLevel::default()
        } else {
            self.current
        };
        self.version = self.version.wrapping_add(1);
    }

    /// The level for what was read under `version`. A fence holds for all.
    pub(crate) fn under(&self, version: u32) -> &DegradationLevel {
        if version == self.version || self.current.excluded {
            return &self.current;
        }
        &self.previous[version as usize % MAX_VERSIONS]
    }
}
