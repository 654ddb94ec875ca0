//! The bulkhead around the dependency: the number of permits for calls, and the limit of started requests
//! that need one.
use crate::config::SchedulerConfig;
use crate::measurements::DEFAULT_DURATION;
use crate::memory_limit;
use crate::orphans;
use crate::priority::max_by_value;
use crate::request::RpcId;
use crate::request_table::{Phase, TrackedRequest};
use crate::shared_state::SharedState;
use crate::time::{Span, Time};

/// Maximum wait for a permit.
pub(crate) const MAX_PERMIT_WAIT: Span = Span::ms(1_000);
/// Requests that must call are started only up to the number whose calls the permits serve in this time;
/// a quarter of the maximum wait.
const MAX_PERMIT_QUEUE_TIME: Span = Span::ms(250);

/// Initial permits, as a fraction of this server's share of a shared dependency.
const INITIAL_SHARE_FRACTION: f64 = 0.5;
/// Minimum permits, as a fraction of the share.
const MIN_SHARE_FRACTION: f64 = 0.25;
/// Maximum permits, as a fraction of the share; the rest covers calls of servers that crashed.
const MAX_SHARE_FRACTION: f64 = 0.75;
/// Minimum permits toward a tier for servers with fewer cores than this: one lost call must not occupy half
/// of them.
const MIN_TIER_PERMITS: f64 = 4.0;
/// Maximum permits toward a tier, as a multiple of the minimum.
const MAX_TIER_PERMITS_FACTOR: f64 = 3.0;
/// Typical call time, as a multiple of the lowest one, beyond which the dependency counts as overloaded.
const MAX_SLOWNESS: f64 = 2.5;
/// Factor applied to the permits at each adjustment while the dependency is overloaded.
const SHRINK_FACTOR: f64 = 0.95;
/// Added to the permits at each adjustment otherwise, as a fraction of the maximum.
const GROWTH_FRACTION: f64 = 0.01;
/// Number of call time samples beyond which the counts are halved, so that they follow a change within
/// seconds.
const MAX_CALL_SAMPLES: u64 = 40;
/// Maximum fraction of the started requests that are before or at their call; the rest is for requests that
/// do not call.
const MAX_FRACTION_AT_CALLS: f64 = 0.75;

/// Bounds of the number of permits.
#[derive(Clone, Copy, Debug, Default)]
struct PermitRange {
    min: f64,
    max: f64,
}

/// Accounting of the calls in flight and of unused permit time.
#[derive(Debug, Default)]
struct InFlightCalls {
    /// Time for which the dependency may continue to execute an abandoned call.
    abandoned_call_time: Span,
    /// Time until which each abandoned call counts as in flight.
    abandoned_until: Vec<Time>,
    /// Unused permit time, in permits times ticks.
    credit: f64,
    counted_at: Time,
}

impl InFlightCalls {
    /// Returns the number of calls in flight and adds the unused permit time since the last count. Abandoned
    /// calls still count, because the dependency may still execute them.
    fn count(&mut self, shared: &SharedState, permits: f64) -> f64 {
        let calls = shared.requests.count(Phase::Calling) + self.abandoned_until.len();
        let in_flight = calls as f64;
        let unused = (permits - in_flight) * (shared.now - self.counted_at).0 as f64;
        let max_credit = permits * MAX_PERMIT_QUEUE_TIME.0 as f64;
        self.credit = (self.credit + unused).min(max_credit);
        self.counted_at = shared.now;
        self.abandoned_until.retain(|until| *until > shared.now);
        in_flight
    }

    fn record_end(&mut self, shared: &SharedState, permits: f64, abandoned: bool) {
        self.count(shared, permits);
        if abandoned && self.abandoned_call_time > Span::ZERO {
            self.abandoned_until
                .push(shared.now + self.abandoned_call_time);
        }
    }
}

/// The permits for calls to the dependency.
#[derive(Debug, Default)]
pub(crate) struct Bulkhead {
    /// Maximum number of calls in flight. A fraction of a permit allows one call for that fraction of the
    /// time.
    permits: f64,
    in_flight: InFlightCalls,
    /// This server's share of the concurrent calls that a shared dependency sustains.
    share: Option<f64>,
    range: PermitRange,
    /// Lowest typical call time, in ticks; 0 before the first call.
    best_call_time: u64,
}

impl Bulkhead {
    pub(crate) fn new(config: &SchedulerConfig, now: Time) -> Bulkhead {
        let share = config.dependency.share();
        let min_tier_permits = f64::from(config.cores).max(MIN_TIER_PERMITS);
        let range = match share {
            Some(share) => PermitRange {
                min: share * MIN_SHARE_FRACTION,
                max: share * MAX_SHARE_FRACTION,
            },
            None => PermitRange {
                min: min_tier_permits,
                max: min_tier_permits * MAX_TIER_PERMITS_FACTOR,
            },
        };
        let abandoned_call_time = share.map_or(Span::ZERO, |_| config.abandoned_call_time);
        Bulkhead {
            permits: initial_permits(share, range),
            in_flight: InFlightCalls {
                abandoned_call_time,
                counted_at: now,
                ..InFlightCalls::default()
            },
            share,
            range,
            best_call_time: 0,
        }
    }

    pub(crate) fn permits(&self) -> f64 {
        self.permits
    }

    /// Returns the lowest typical call time, in ticks; `None` before the first call.
    pub(crate) fn best_call_time(&self) -> Option<u64> {
        (self.best_call_time > 0).then_some(self.best_call_time)
    }

    /// Returns whether another call may be made now.
    pub(crate) fn has_permit(&mut self, shared: &SharedState) -> bool {
        let calls = self.in_flight.count(shared, self.permits) + 1.0;
        let max_by_share = self.share.unwrap_or(0.0).ceil();
        calls <= self.permits.floor() || (calls <= max_by_share && self.in_flight.credit >= 0.0)
    }

    /// Records the end of a call; the dependency may still execute an abandoned one.
    pub(crate) fn record_end(&mut self, shared: &SharedState, abandoned: bool) {
        self.in_flight.record_end(shared, self.permits, abandoned);
    }

    /// Returns the request whose call is made next: the one with the highest priority weight.
    pub(crate) fn next_to_call(shared: &SharedState) -> Option<RpcId> {
        let waiting = shared.requests.unanswered_in(Phase::AwaitingCall);
        max_by_value(waiting.map(|(id, request)| (shared.method(request).priority_weight, id)))
    }

    /// Returns whether more requests are about to call than the permits serve in time.
    ///
    /// Guards against starting requests that would only time out waiting for a permit.
    pub(crate) fn is_permit_queue_full(&self, shared: &SharedState) -> bool {
        let call_ticks = shared
            .measurements
            .call_times
            .mean(DEFAULT_DURATION)
            .0
            .max(1) as f64;
        let served = self.permits * MAX_PERMIT_QUEUE_TIME.0 as f64 / call_ticks;
        requests_before_calls(shared) as f64 > served.max(1.0)
    }

    /// Adjusts the number of permits: fewer while calls are slow, otherwise more.
    ///
    /// Guards against overloading a shared dependency: it slows down long before it fails.
    pub(crate) fn adjust(&mut self, shared: &mut SharedState) {
        shared
            .measurements
            .call_times
            .limit_samples(MAX_CALL_SAMPLES);
        self.in_flight.count(shared, self.permits);
        let typical = self.typical_call_time(shared);
        self.best_call_time = if self.best_call_time == 0 {
            typical
        } else {
            self.best_call_time.min(typical)
        };
        let is_overloaded = typical as f64 > self.best_call_time as f64 * MAX_SLOWNESS;
        let permits = if is_overloaded {
            self.permits * SHRINK_FACTOR
        } else {
            self.permits + self.range.max * GROWTH_FRACTION
        };
        self.permits = permits.clamp(self.range.min, self.range.max);
    }

    /// Returns the typical call time, in ticks.
    fn typical_call_time(&self, shared: &SharedState) -> u64 {
        let call_times = &shared.measurements.call_times;
        let fallback = Span(self.best_call_time);
        if self.share.is_some() {
            call_times.mean(fallback).0
        } else {
            call_times.median(fallback).0
        }
    }

    /// Returns the typical call time as a multiple of the lowest one; `None` before the first call.
    pub(crate) fn slowness(&self, shared: &SharedState) -> Option<f64> {
        let best = self.best_call_time()?;
        Some(self.typical_call_time(shared) as f64 / best as f64)
    }

    /// Restores the permits of an earlier process with a `confidence` from 0 to 1.
    pub(crate) fn restore_permits(&mut self, learned: f64, confidence: f64) {
        let initial = initial_permits(self.share, self.range);
        let permits = initial + (learned - initial) * confidence;
        let PermitRange { min, max } = self.range;
        self.permits = permits.clamp(min, max.max(min));
    }

    /// Restores the lowest typical call time of an earlier process, in ticks; 0 if unknown.
    pub(crate) fn restore_best_call_time(&mut self, learned: u64) {
        self.best_call_time = learned;
    }
}

fn initial_permits(share: Option<f64>, range: PermitRange) -> f64 {
    share.map_or(range.min, |share| share * INITIAL_SHARE_FRACTION)
}

/// Returns the number of started requests that must call and have not called yet. Answered ones count,
/// because they still use the cores; orphaned ones do not.
fn requests_before_calls(shared: &SharedState) -> usize {
    let is_before_call = |request: &TrackedRequest| {
        request.call_attempts == 0 && matches!(request.phase, Phase::Running | Phase::AwaitingCall)
    };
    shared
        .requests
        .iter()
        .filter(|(_, request)| is_before_call(request) && shared.must_call(request))
        .count()
}

/// Returns the number of started requests that must call and are before or at their call.
fn requests_at_calls(shared: &SharedState) -> usize {
    let is_at_call = |request: &TrackedRequest| match request.phase {
        Phase::Running => request.call_attempts == 0,
        phase => matches!(phase, Phase::AwaitingCall | Phase::Calling),
    };
    shared
        .requests
        .iter()
        .filter(|(_, request)| shared.must_call(request) && is_at_call(request))
        .count()
}

/// Returns whether no further request that must call may start, given `max_started`.
///
/// Guards against unresponsive calls that occupy every place among the started requests. Once the maximum
/// number of runs is orphaned at calls, only one further request at a time is started, to test the
/// dependency.
pub(crate) fn is_call_start_limit_reached(shared: &SharedState, max_started: usize) -> bool {
    let orphaned = shared.requests.count(Phase::OrphanedAtCall);
    let max_at_calls = if orphaned < orphans::max_orphans(max_started) {
        (max_started as f64 * MAX_FRACTION_AT_CALLS).max(1.0)
    } else if memory_limit::may_risk_orphan(shared) {
        1.0
    } else {
        0.0
    };
    requests_at_calls(shared) as f64 >= max_at_calls
}
