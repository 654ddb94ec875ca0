//! The scheduler's interface for network code: starts the scheduler once the engine is up, passes
//! events and timeouts to it, and returns its state.
use std::cell::{Cell, RefCell};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;

use coralstep::{
    Gauges, Idempotency, LearnedState, Method, Outcome, Scheduler, SchedulerConfig, Span, Time,
};
use coralstep_config::Names;
use coralstep_degradation::{DegradationConfig, DegradationConfigError};
use event_listener::{Event, EventListener};

use crate::base::clock::{self, Clock};
use crate::base::limits::Limits;
use crate::decisions::actions::PendingActions;
use crate::decisions::breaker::RecentCalls;
use crate::decisions::degradation::DegradationController;
use crate::decisions::exclusion::ExclusionCheck;
use crate::decisions::idempotency_keys::IdempotencyKeys;
use crate::decisions::quota::QuotaLimiter;
use crate::decisions::request::{Decision, ServerStatus};
use crate::decisions::rpc_table::{CompletedRepeat, RpcTable};
use crate::note;

/// Ratio of the maximum number of request ids to that of released idempotency keys.
const REQUEST_IDS_PER_RELEASED_KEY: usize = 4;

pub(super) struct Inner {
    /// `None` until the scheduler is started.
    pub(super) scheduler: Option<Scheduler>,
    pub(super) actions: PendingActions,
}

/// State that was learned before a restart, and the confidence in it.
struct TrustedLearnedState {
    learned: LearnedState,
    /// From 0 (ignored) to 1 (fully trusted).
    confidence: f64,
}

/// Number of RPCs since the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestCounts {
    /// RPCs submitted, including those that were rejected because a quota was exhausted.
    pub submitted: u64,
    /// Submitted RPCs whose runs succeeded.
    pub succeeded: u64,
}

/// Drives the scheduler with events from the network and holds the state that its actions set.
pub struct SchedulerHandle {
    pub(super) inner: RefCell<Inner>,
    names: Names,
    config: SchedulerConfig,
    degradation: Option<Rc<DegradationController>>,
    restored: RefCell<Option<TrustedLearnedState>>,
    seed: u64,
    pub(super) clock: Clock,
    /// Notified when the scheduler starts or moves its timer to an earlier time.
    earlier_timeout: Event,
    pub(super) submitted: Cell<u64>,
    pub(super) succeeded: Cell<u64>,
    pub(super) exclusion_check: RefCell<Option<ExclusionCheck>>,
    /// Whether the fleet excludes this server.
    pub(super) excluded: Cell<bool>,
    pub(super) recent_calls: RefCell<RecentCalls>,
    pub(super) quota_limiter: RefCell<Option<Rc<dyn QuotaLimiter>>>,
}

impl SchedulerHandle {
    /// Creates a handle without starting the scheduler.
    pub fn new(
        config: SchedulerConfig,
        names: Names,
        seed: u64,
        limits: &Limits,
    ) -> SchedulerHandle {
        let clock = Clock::start();
        let actions = PendingActions::new(
            RpcTable::new(limits.requests, limits.result_bytes),
            IdempotencyKeys::new(limits.request_ids / REQUEST_IDS_PER_RELEASED_KEY),
            clock,
            names.instance.clone(),
        );
        SchedulerHandle {
            inner: RefCell::new(Inner {
                scheduler: None,
                actions,
            }),
            names,
            config,
            degradation: None,
            restored: RefCell::default(),
            seed,
            clock,
            earlier_timeout: Event::new(),
            submitted: Cell::new(0),
            succeeded: Cell::new(0),
            exclusion_check: RefCell::default(),
            excluded: Cell::new(false),
            recent_calls: RefCell::default(),
            quota_limiter: RefCell::default(),
        }
    }

    /// Adds degradation levels.
    ///
    /// # Errors
    ///
    /// Returns an error if the levels contradict each other.
    pub fn with_degradation(
        mut self,
        config: &DegradationConfig,
    ) -> Result<SchedulerHandle, DegradationConfigError> {
        let controller = DegradationController::new(config, self.clock)?;
        self.degradation = Some(Rc::new(controller));
        Ok(self)
    }

    /// Returns the controller of the degradation levels, or `None` if no levels are configured.
    pub fn degradation(&self) -> Option<&Rc<DegradationController>> {
        self.degradation.as_ref()
    }

    /// Returns the server state that is attached to each answer.
    pub fn server_status(&self) -> ServerStatus {
        ServerStatus {
            value: self.load_report(),
            level: self.degradation.as_ref().map(|levels| levels.level_name()),
        }
    }

    /// Starts the scheduler unless it is already started. `uptime` is the time since the engine
    /// started. `cold` states whether the engine is still warming up; `None` uses the settings.
    pub fn start(&self, cold: Option<bool>, uptime: Duration) {
        let mut inner = self.inner.borrow_mut();
        let Inner { scheduler, actions } = &mut *inner;
        if scheduler.is_some() {
            return;
        }
        let config = SchedulerConfig {
            warming_up: cold.unwrap_or(self.config.warming_up),
            ..self.config.clone()
        };
        let since = self.clock.now() - clock::span(uptime);
        let mut started = Scheduler::start(&config, self.seed, since, actions);
        if let Some(restored) = self.restored.take() {
            started.restore(&restored.learned, restored.confidence);
        }
        // Guards against an early start of the engine that is mistaken for a stall of the cores.
        started.handle_timeout(self.clock.now(), Gauges::default(), actions);
        *scheduler = Some(started);
        self.earlier_timeout.notify(usize::MAX);
    }

    /// Returns whether the scheduler is started.
    pub fn is_started(&self) -> bool {
        self.inner.borrow().scheduler.is_some()
    }

    /// Stores learned state that the scheduler restores when it starts. `confidence` is a fraction
    /// from 0 to 1.
    pub fn restore_at_start(&self, learned: LearnedState, confidence: f64) {
        *self.restored.borrow_mut() = Some(TrustedLearnedState {
            learned,
            confidence,
        });
    }

    /// Returns the state that the scheduler has learned, or `None` before it is started.
    pub fn learned_state(&self) -> Option<LearnedState> {
        let inner = self.inner.borrow();
        inner.scheduler.as_ref().map(Scheduler::learned_state)
    }

    /// Returns the number of current runs as a fraction of the concurrency limit, or 0 if unknown.
    pub fn utilization(&self) -> f64 {
        let inner = self.inner.borrow();
        let scheduler = inner.scheduler.as_ref();
        scheduler
            .and_then(|scheduler| scheduler.signals().concurrency)
            .unwrap_or(0.0)
    }

    /// Passes an event to the scheduler, followed by the completions of repeats that the event
    /// causes. Does nothing before the scheduler is started.
    pub(super) fn drive(&self, event: impl FnOnce(&mut Scheduler, Time, &mut PendingActions)) {
        let mut inner = self.inner.borrow_mut();
        let Inner { scheduler, actions } = &mut *inner;
        let Some(scheduler) = scheduler else {
            return;
        };
        let (now, previous_timeout) = (self.clock.now(), actions.next_timeout);
        event(scheduler, now, actions);
        while let Some(repeat) = actions.rpcs.next_completed_repeat() {
            let CompletedRepeat { id, result } = repeat;
            let (decision, outcome) = match result {
                Some(result) => (Decision::Replay(result), Outcome::Ok),
                None => (Decision::Fail, Outcome::Error),
            };
            actions.rpcs.push_decision(id, decision);
            scheduler.handle_completion(now, id, outcome, actions);
        }
        if actions.next_timeout < previous_timeout {
            self.earlier_timeout.notify(usize::MAX);
        }
    }

    /// Runs the scheduler's timers and updates the exclusion and the degradation level.
    /// `gauge_readings` are in the order of the settings' gauges.
    pub fn handle_timeout(&self, gauge_readings: &[Option<f64>]) {
        let gauges = self.gauges(gauge_readings);
        self.drive(|scheduler, now, actions| scheduler.handle_timeout(now, gauges, actions));
        self.update_exclusion();
        if !self.excluded.get() {
            self.update_degradation();
        }
    }

    fn gauges(&self, readings: &[Option<f64>]) -> Gauges {
        let mut gauges = Gauges::default();
        for (name, reading) in self.names.gauges.iter().zip(readings) {
            match name.as_str() {
                "cpu_busy" => gauges.cpu_busy = *reading,
                "sockets" => gauges.open_connections = *reading,
                _ => {}
            }
        }
        gauges
    }

    /// Updates the degradation level.
    ///
    /// Guards against a panic in the levels that aborts the timeout handler; the last level stays.
    fn update_degradation(&self) {
        let Some(degradation) = &self.degradation else {
            return;
        };
        let update = AssertUnwindSafe(|| {
            self.drive(|scheduler, now, actions| {
                let level = degradation.observe(now, &scheduler.signals());
                scheduler.set_degradation(now, level, actions);
            });
        });
        if catch_unwind(update).is_err() {
            note!("degradation update panicked, keeping last level");
        }
    }

    /// Returns the time until [`Self::handle_timeout`] must be called; zero before the scheduler
    /// is started.
    pub fn next_timeout(&self) -> Duration {
        clock::duration(self.inner.borrow().actions.next_timeout)
    }

    /// Returns a listener that is notified when the scheduler starts or needs its next timeout
    /// earlier than [`Self::next_timeout`] returned.
    pub fn earlier_timeout(&self) -> EventListener {
        self.earlier_timeout.listen()
    }

    /// Begins a graceful shutdown: the process ends after `remaining`.
    pub fn begin_drain(&self, remaining: Duration) {
        self.start(None, Duration::ZERO);
        let remaining = Span(remaining.as_micros() as u64 / 100);
        self.drive(|scheduler, now, actions| scheduler.begin_drain(now, now + remaining, actions));
    }

    /// Tells the scheduler that RPCs read from now on belong to another version of the settings.
    pub fn handle_config_change(&self) {
        self.drive(|scheduler, _, _| scheduler.begin_config_version());
    }

    /// Returns whether the server answers health checks as healthy.
    pub fn is_healthy(&self) -> bool {
        self.inner.borrow().actions.healthy && !self.excluded.get()
    }

    /// Returns the latest load report, or `None` if the scheduler has made none.
    pub fn load_report(&self) -> Option<f64> {
        self.inner.borrow().actions.load_report
    }

    /// Returns the time after which an idle connection is closed, or `None` if there is no limit.
    pub fn idle_limit(&self) -> Option<Duration> {
        let limit = self.inner.borrow().actions.idle_timeout;
        limit.filter(|limit| !limit.is_zero())
    }

    /// Returns the number of RPCs since the process started.
    pub fn request_counts(&self) -> RequestCounts {
        RequestCounts {
            submitted: self.submitted.get(),
            succeeded: self.succeeded.get(),
        }
    }

    /// Returns the index of the method called `name`.
    pub fn method_index(&self, name: &str) -> Option<usize> {
        self.names.methods.iter().position(|method| method == name)
    }

    /// Returns the name of a method.
    ///
    /// # Panics
    ///
    /// Panics if `method` is not the index of a configured method.
    pub fn method_name(&self, method: usize) -> &str {
        &self.names.methods[method]
    }

    /// Returns the index of the tenant called `name`.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.names.tenants.iter().position(|tenant| tenant == name)
    }

    /// Returns the name of a tenant.
    pub fn tenant_name(&self, tenant: usize) -> Option<&str> {
        self.names.tenants.get(tenant).map(String::as_str)
    }

    /// Returns the idempotency of `method`, which determines whether an RPC may run twice.
    pub fn idempotency(&self, method: usize) -> Idempotency {
        self.method(method).idempotency
    }

    /// Returns the maximum time until an RPC of `method` is answered.
    pub fn deadline(&self, method: usize) -> Duration {
        clock::duration(self.method(method).deadline)
    }

    pub(super) fn method(&self, method: usize) -> &Method {
        &self.config.methods[method]
    }
}

#[cfg(test)]
mod tests;
