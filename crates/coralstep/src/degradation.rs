//! Degradation levels: the restrictions of a level, and the level that applies to each request.
//!
//! The current level is chosen by `coralstep-degradation`.
use crate::config::{Idempotency, Method};
use crate::time::Span;

/// Number of configuration versions whose level is kept. A request outlives more versions only if the
/// configuration changes this often within one deadline.
const MAX_VERSIONS: usize = 8;

/// Restrictions that a degradation level adds to the usual rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DegradationLevel {
    /// Requests of methods with a lower priority weight are rejected.
    pub min_priority_weight: f64,
    /// Requests of idempotent methods are rejected.
    pub reject_idempotent: bool,
    /// All requests are rejected.
    pub reject_all: bool,
    /// The server is excluded: it rejects every new or queued request, regardless of the configuration
    /// version under which it was read.
    pub excluded: bool,
    /// Calls are skipped wherever the method allows it.
    pub skip_calls: bool,
    /// Factor applied to the queue limit.
    pub queue_limit_factor: f64,
    /// Factor applied to the reported accepted load.
    pub load_report_factor: f64,
    /// Retry-After of requests that the level rejects: the minimum time until the level can change.
    pub retry_after: Span,
}

impl Default for DegradationLevel {
    /// Returns the level of full service.
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
    /// Returns whether requests of `method` are rejected before they run.
    pub fn rejects(&self, method: &Method) -> bool {
        self.reject_all
            || self.excluded
            || (self.reject_idempotent && method.idempotency == Idempotency::Idempotent)
            || method.priority_weight < self.min_priority_weight
    }
}

/// The current level, and the last level under each earlier configuration version.
#[derive(Debug, Default)]
pub(crate) struct VersionedDegradation {
    current: DegradationLevel,
    /// Current configuration version.
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

    /// Sets the current level and returns whether it changed.
    pub(crate) fn set(&mut self, level: DegradationLevel) -> bool {
        let changed = level != self.current;
        self.current = level;
        changed
    }

    /// Begins a new configuration version. An exclusion is not kept as the level of the previous version.
    pub(crate) fn begin_version(&mut self) {
        self.previous[self.version as usize % MAX_VERSIONS] = if self.current.excluded {
            DegradationLevel::default()
        } else {
            self.current
        };
        self.version = self.version.wrapping_add(1);
    }

    /// Returns the level for requests read under `version`. An exclusion applies to all versions.
    pub(crate) fn level_for(&self, version: u32) -> &DegradationLevel {
        if version == self.version || self.current.excluded {
            return &self.current;
        }
        &self.previous[version as usize % MAX_VERSIONS]
    }
}
