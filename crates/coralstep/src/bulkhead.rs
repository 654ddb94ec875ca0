//! The bulkhead around the dependency: permits for calls, how many there are, and what is started towards
//! them.
use crate::config::SchedulerConfig;
use crate::measurements::ASSUMED_TIME;
use crate::memory_limit;
use crate::orphans;
use crate::priority::greatest;
use crate::request::RpcId;
use crate::request_table::{Phase, TrackedRequest};
use crate::shared_state::SharedState;
use crate::time::{Span, Time};

/// The longest wait for a permit.
pub(crate) const MAX_PERMIT_WAIT: Span = Span::ms(1_000);
/// No more is started than the permits serve in this time: a quarter of the wait.
const MAX_PERMIT_LINE: Span = Span::ms(250);

/// Permits as a part of this server's share of a shared dependency.
const INITIAL_SHARE: f64 = 0.5;
const MIN_SHARE: f64 = 0.25;
/// The rest is room for the calls of servers that died.
const MAX_SHARE: f64 = 0.75;
/// Permits toward a tier, where that is more than the cores: one lost call must not take half of them.
const MIN_TIER_PERMITS: f64 = 4.0;
/// In multiples of the fewest permits toward a tier.
const MAX_TIER_GROWTH: f64 = 3.0;
/// Calls this many times as slow as the best usual time mean that the dependency is crowded.
const MAX_SLOWNESS: f64 = 2.5;
/// Applied to the permits at each review while the dependency is crowded.
const SHRINK_FACTOR: f64 = 0.95;
/// Added to the permits at each review otherwise, as a part of the most.
const GROWTH_PART: f64 = 0.01;
/// Call times beyond so many are halved, so that they follow a change within seconds.
const MAX_CALL_SAMPLES: u64 = 40;
/// The part of the started requests that may be before or at calls: the rest is for what calls nothing.
const MAX_STARTED_AT_CALLS: f64 = 0.75;

/// The fewest and the most permits.
#[derive(Clone, Copy, Debug, Default)]
struct PermitRange {
    min: f64,
    max: f64,
}

/// Calls in flight, and the permit time that they use.
#[derive(Debug, Default)]
struct InFlightCalls {
    /// How long the dependency may go on with a call that was abandoned.
    abandoned_call_time: Span,
    /// Until when each abandoned call counts.
    abandoned_until: Vec<Time>,
    /// Permit time not used yet, in permits times ticks.
    credit: f64,
    counted_at: Time,
}

impl InFlightCalls {
    /// Counts the calls in flight and the permit time since the last count. Abandoned calls may still be
    /// with the dependency and count on.
    fn count(&mut self, shared: &SharedState, permits: f64) -> f64 {
        let calls = shared.requests.count(Phase::Calling) + self.abandoned_until.len();
        let in_flight = calls as f64;
        let unused = (permits - in_flight) * (shared.now - self.counted_at).0 as f64;
        let max_credit = permits * MAX_PERMIT_LINE.0 as f64;
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
    /// How many calls may be in flight; a part of a permit is a whole one for that part of the time.
    permits: f64,
    in_flight: InFlightCalls,
    /// This server's share of the calls that a shared dependency survives.
    share: Option<f64>,
    range: PermitRange,
    /// The best usual time of a call, in ticks; 0 before the first.
    best_call_time: u64,
}

impl Bulkhead {
    pub(crate) fn new(config: &SchedulerConfig, now: Time) -> Bulkhead {
        let share = config.dependency.share();
        let min_tier_permits = f64::from(config.cores).max(MIN_TIER_PERMITS);
        let range = match share {
            Some(share) => PermitRange {
                min: share * MIN_SHARE,
                max: share * MAX_SHARE,
            },
            None => PermitRange {
                min: min_tier_permits,
                max: min_tier_permits * MAX_TIER_GROWTH,
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

    /// The best usual time of a call, in ticks; `None` before the first.
    pub(crate) fn best_call_time(&self) -> Option<u64> {
        (self.best_call_time > 0).then_some(self.best_call_time)
    }

    /// Whether another call may be made now.
    pub(crate) fn has_permit(&mut self, shared: &SharedState) -> bool {
        let calls = self.in_flight.count(shared, self.permits) + 1.0;
        let max_by_share = self.share.unwrap_or(0.0).ceil();
        calls <= self.permits.floor() || (calls <= max_by_share && self.in_flight.credit >= 0.0)
    }

    /// Notes that a call ended; an abandoned one may still be with the dependency.
    pub(crate) fn record_end(&mut self, shared: &SharedState, abandoned: bool) {
        self.in_flight.record_end(shared, self.permits, abandoned);
    }

    /// The request whose call is made next: that of the greatest priority weight.
    pub(crate) fn next_to_call(shared: &SharedState) -> Option<RpcId> {
        let waiting = shared.requests.unanswered_in(Phase::AwaitingCall);
        greatest(waiting.map(|(id, request)| (shared.method(request).priority_weight, id)))
    }

    /// Whether more requests run towards their call than the permits serve in time.
    ///
    /// Guards against work that would only end in the line for permits.
    pub(crate) fn line_is_full(&self, shared: &SharedState) -> bool {
        let call_ticks = shared.measurements.call_times.mean(ASSUMED_TIME).0.max(1) as f64;
        let served = self.permits * MAX_PERMIT_LINE.0 as f64 / call_ticks;
        requests_before_calls(shared) as f64 > served.max(1.0)
    }

    /// Sets the number of permits anew: fewer while calls are slow, else more.
    ///
    /// Guards against a shared dependency that all crowd: it slows long before it falls.
    pub(crate) fn adjust(&mut self, shared: &mut SharedState) {
        shared
            .measurements
            .call_times
            .keep_at_most(MAX_CALL_SAMPLES);
        self.in_flight.count(shared, self.permits);
        let usual = self.usual_call_time(shared);
        self.best_call_time = if self.best_call_time == 0 {
            usual
        } else {
            self.best_call_time.min(usual)
        };
        let is_crowded = usual as f64 > self.best_call_time as f64 * MAX_SLOWNESS;
        let permits = if is_crowded {
            self.permits * SHRINK_FACTOR
        } else {
            self.permits + self.range.max * GROWTH_PART
        };
        self.permits = permits.clamp(self.range.min, self.range.max);
    }

    /// The usual time of a call, in ticks.
    fn usual_call_time(&self, shared: &SharedState) -> u64 {
        let call_times = &shared.measurements.call_times;
        let assumed = Span(self.best_call_time);
        if self.share.is_some() {
            call_times.mean(assumed).0
        } else {
            call_times.median(assumed).0
        }
    }

    /// The usual time of a call in multiples of the best; `None` before the first.
    pub(crate) fn slowness(&self, shared: &SharedState) -> Option<f64> {
        let best = self.best_call_time()?;
        Some(self.usual_call_time(shared) as f64 / best as f64)
    }

    /// Takes in the permits of an earlier process with `confidence` from 0 to 1.
    pub(crate) fn restore_permits(&mut self, learned: f64, confidence: f64) {
        let initial = initial_permits(self.share, self.range);
        let permits = initial + (learned - initial) * confidence;
        let PermitRange { min, max } = self.range;
        self.permits = permits.clamp(min, max.max(min));
    }

    /// Takes in the best usual time of a call, in ticks, of an earlier process; 0 for none.
    pub(crate) fn restore_best_call_time(&mut self, learned: u64) {
        self.best_call_time = learned;
    }
}

fn initial_permits(share: Option<f64>, range: PermitRange) -> f64 {
    share.map_or(range.min, |share| share * INITIAL_SHARE)
}

/// Started requests that must call and have not done so. Those with an answer count on, for they still use
/// the cores; orphaned ones don't.
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

/// Started requests that must call and are before or at their call.
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

/// Whether nothing more may start that must call, for enough of the `max_started` requests are at calls.
///
/// Guards against calls that don't come back in all places. Beyond some runs orphaned at their calls, one
/// more at a time is started as a probe.
pub(crate) fn calls_fill_cores(shared: &SharedState, max_started: usize) -> bool {
    let orphaned = shared.requests.count(Phase::OrphanedAtCall);
    let max_at_calls = if orphaned < orphans::max_orphans(max_started) {
        (max_started as f64 * MAX_STARTED_AT_CALLS).max(1.0)
    } else if memory_limit::may_probe_calls(shared) {
        1.0
    } else {
        0.0
    };
    requests_at_calls(shared) as f64 >= max_at_calls
}
