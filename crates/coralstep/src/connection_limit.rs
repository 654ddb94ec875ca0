//! How long a connection may be idle. Guards against a table full of idle connections: many callers with
//! little traffic each keep one open.
use crate::config::SchedulerConfig;
use crate::measurements::ServiceRatio;
use crate::time::Span;

/// Open connections for each request that may be started, beyond which idle ones close sooner: one works,
/// one comes.
const MAX_CONNECTIONS_PER_REQUEST: f64 = 2.0;
/// The part of the attempts read that are begun, below which more connections only bring more rejections.
const MIN_BEGUN_IN_RETRY_STORM: f64 = 0.2;
/// Applied to the counted attempts at each review.
const ATTEMPTS_DECAY: f64 = 0.9;
/// Steps of the idle timeout at each review: while there are too many connections, otherwise, and in a
/// storm of retries.
const SHRINK_FACTOR: f64 = 0.8;
const GROWTH_FACTOR: f64 = 1.05;
const STORM_GROWTH_FACTOR: f64 = 1.5;
const MIN_IDLE_TIMEOUT: Span = Span::ms(100);

/// The idle timeout of connections.
#[derive(Debug)]
pub(crate) struct ConnectionLimit {
    idle_timeout: Span,
    /// The most that callers leave a connection idle.
    max_idle_timeout: Span,
}

impl ConnectionLimit {
    pub(crate) fn new(config: &SchedulerConfig) -> ConnectionLimit {
        ConnectionLimit {
            idle_timeout: config.max_idle_time,
            max_idle_timeout: config.max_idle_time,
        }
    }

    /// Shortens the idle timeout while too many connections are open, and returns it where it changed.
    ///
    /// In a storm of retries the table may fill: what it keeps out costs neither a new connection nor
    /// reading.
    pub(crate) fn adjust(
        &mut self,
        open_connections: f64,
        max_started: usize,
        attempts: &mut ServiceRatio,
    ) -> Option<Span> {
        let is_storm = attempts.served < attempts.requested * MIN_BEGUN_IN_RETRY_STORM;
        attempts.scale(ATTEMPTS_DECAY);
        let max_connections = max_started as f64 * MAX_CONNECTIONS_PER_REQUEST;
        let factor = if is_storm {
            STORM_GROWTH_FACTOR
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
