//! Idle timeout of connections. Guards against a full connection table: many clients with little traffic
//! each keep an idle connection open.
use crate::config::SchedulerConfig;
use crate::measurements::ServiceRatio;
use crate::time::Span;

/// Open connections per request that may be started, beyond which idle ones are closed sooner: one active,
/// one for the next request.
const MAX_CONNECTIONS_PER_REQUEST: f64 = 2.0;
/// Fraction of the read attempts that is started, below which more connections only cause more rejections.
const RETRY_STORM_STARTED_FRACTION: f64 = 0.2;
/// Factor applied to the counted attempts at each adjustment.
const ATTEMPTS_DECAY: f64 = 0.9;
/// Factor of the idle timeout at each adjustment while there are too many connections.
const SHRINK_FACTOR: f64 = 0.8;
/// Factor of the idle timeout at each adjustment otherwise.
const GROWTH_FACTOR: f64 = 1.05;
/// Factor of the idle timeout at each adjustment in a retry storm.
const RETRY_STORM_GROWTH_FACTOR: f64 = 1.5;
const MIN_IDLE_TIMEOUT: Span = Span::ms(100);

/// Current and maximum idle timeout of connections.
#[derive(Debug)]
pub(crate) struct ConnectionLimit {
    idle_timeout: Span,
    /// Maximum time for which clients keep an idle connection open.
    max_idle_timeout: Span,
}

impl ConnectionLimit {
    pub(crate) fn new(config: &SchedulerConfig) -> ConnectionLimit {
        ConnectionLimit {
            idle_timeout: config.max_idle_time,
            max_idle_timeout: config.max_idle_time,
        }
    }

    /// Shortens the idle timeout while too many connections are open, and returns it if it changed.
    ///
    /// In a retry storm the connection table may fill up: attempts that it keeps out cost neither a new
    /// connection nor reading.
    pub(crate) fn adjust(
        &mut self,
        open_connections: f64,
        max_started: usize,
        attempts: &mut ServiceRatio,
    ) -> Option<Span> {
        let is_retry_storm = attempts.served < attempts.requested * RETRY_STORM_STARTED_FRACTION;
        attempts.scale(ATTEMPTS_DECAY);
        let max_connections = max_started as f64 * MAX_CONNECTIONS_PER_REQUEST;
        let factor = if is_retry_storm {
            RETRY_STORM_GROWTH_FACTOR
        } else if open_connections > max_connections {
            SHRINK_FACTOR
        } else {
            GROWTH_FACTOR
        };
        let timeout = self
            .idle_timeout
            .scaled(factor)
            .max(MIN_IDLE_TIMEOUT)
            .min(self.max_idle_timeout);
        if timeout == self.idle_timeout {
            return None;
        }
        self.idle_timeout = timeout;
        Some(timeout)
    }
}
