//! The scheduler as network code sees it: started once the engine is up, driven by events and
//! ticks, asked for its state.
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

/// One idempotency key that ran and is no longer kept is remembered for so many request ids known.
const REQUEST_IDS_PER_RELEASED_KEY: usize = 4;

pub(super) struct Inner {
    /// `None` before the start.
    pub(super) scheduler: Option<Scheduler>,
    pub(super) actions: PendingActions,
}

/// State learned before a restart.
struct TrustedLearnedState {
    learned: LearnedState,
    /// How far it is trusted, from 0 to 1.
    confidence: f64,
}

/// How many RPCs there were since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestCounts {
    /// RPCs submitted, those beyond a quota included.
    pub submitted: u64,
    /// Of these, those whose runs ended well.
    pub succeeded: u64,
}

/// The way to the scheduler.
pub struct SchedulerHandle {
    pub(super) inner: RefCell<Inner>,
    names: Names,
    config: SchedulerConfig,
    degradation: Option<Rc<DegradationController>>,
    restored: RefCell<Option<TrustedLearnedState>>,
    seed: u64,
    pub(super) clock: Clock,
    /// Notified where a tick is wanted before the one waited for.
    earlier_timeout: Event,
    pub(super) submitted: Cell<u64>,
    pub(super) succeeded: Cell<u64>,
    pub(super) exclusion_check: RefCell<Option<ExclusionCheck>>,
    /// Whether this server is excluded.
    pub(super) excluded: Cell<bool>,
    pub(super) recent_calls: RefCell<RecentCalls>,
    pub(super) quota_limiter: RefCell<Option<Rc<dyn QuotaLimiter>>>,
}

impl SchedulerHandle {
    /// A handle whose scheduler is not started yet.
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
    /// The levels contradict each other.
    pub fn with_degradation(
        mut self,
        config: &DegradationConfig,
    ) -> Result<SchedulerHandle, DegradationConfigError> {
        let controller = DegradationController::new(config, self.clock)?;
        self.degradation = Some(Rc::new(controller));
        Ok(self)
    }

    /// The degradation levels, where there are any.
    pub fn degradation(&self) -> Option<&Rc<DegradationController>> {
        self.degradation.as_ref()
    }

    /// What answers carry of this server beside their own content.
    pub fn server_status(&self) -> ServerStatus {
        ServerStatus {
            value: self.load_report(),
            level: self.degradation.as_ref().map(|levels| levels.level_name()),
        }
    }

    /// Starts the scheduler, once: the engine is up since `uptime`, and not yet warm where `cold`
    /// or, without that, the settings say so.
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
        // Guards against a start long ago that looks like cores which have stood still ever since.
        started.handle_timeout(self.clock.now(), Gauges::default(), actions);
        *scheduler = Some(started);
        self.earlier_timeout.notify(usize::MAX);
    }

    /// Whether the scheduler is started.
    pub fn is_started(&self) -> bool {
        self.inner.borrow().scheduler.is_some()
    }

    /// Takes `learned` in at the start, trusted from 0 to 1.
    pub fn restore_at_start(&self, learned: LearnedState, confidence: f64) {
        *self.restored.borrow_mut() = Some(TrustedLearnedState {
            learned,
            confidence,
        });
    }

    /// What is learned so far; none before the start.
    pub fn learned_state(&self) -> Option<LearnedState> {
        let inner = self.inner.borrow();
        inner.scheduler.as_ref().map(Scheduler::learned_state)
    }

    /// How much runs, as a part of the concurrency limit.
    pub fn utilization(&self) -> f64 {
        let inner = self.inner.borrow();
        let scheduler = inner.scheduler.as_ref();
        scheduler
            .and_then(|scheduler| scheduler.signals().concurrency)
            .unwrap_or(0.0)
    }

    /// Passes an event to the scheduler, and to it again all that follows from it; does nothing
    /// before the start.
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

    /// Lets time pass; `gauge_readings` stand in the order of the settings' gauges.
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

    /// Guards against a fault among the levels that takes the tick along: the last level then
    /// holds.
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

    /// How long until the next tick is wanted; zero before the start.
    pub fn next_timeout(&self) -> Duration {
        clock::duration(self.inner.borrow().actions.next_timeout)
    }

    /// Ends when the scheduler starts, and when a tick is wanted sooner than was said.
    pub fn earlier_timeout(&self) -> EventListener {
        self.earlier_timeout.listen()
    }

    /// Begins a graceful shutdown: the process ends after `left`.
    pub fn begin_drain(&self, left: Duration) {
        self.start(None, Duration::ZERO);
        let left = Span(left.as_micros() as u64 / 100);
        self.drive(|scheduler, now, actions| scheduler.begin_drain(now, now + left, actions));
    }

    /// Another version of the settings holds for what is read from now on.
    pub fn handle_config_change(&self) {
        self.drive(|scheduler, _, _| scheduler.begin_config_version());
    }

    /// What a health check is answered.
    pub fn is_healthy(&self) -> bool {
        self.inner.borrow().actions.healthy && !self.excluded.get()
    }

    /// The load report, where one was made.
    pub fn load_report(&self) -> Option<f64> {
        self.inner.borrow().actions.load_report
    }

    /// How long a connection may carry nothing.
    pub fn idle_limit(&self) -> Option<Duration> {
        let limit = self.inner.borrow().actions.idle_timeout;
        limit.filter(|limit| !limit.is_zero())
    }

    /// How many RPCs there were since the start.
    pub fn request_counts(&self) -> RequestCounts {
        RequestCounts {
            submitted: self.submitted.get(),
            succeeded: self.succeeded.get(),
        }
    }

    /// Index of the method of this name.
    pub fn method_index(&self, name: &str) -> Option<usize> {
        self.names.methods.iter().position(|method| method == name)
    }

    /// Name of a method.
    pub fn method_name(&self, method: usize) -> &str {
        &self.names.methods[method]
    }

    /// Index of the tenant of this name.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.names.tenants.iter().position(|tenant| tenant == name)
    }

    /// Name of a tenant.
    pub fn tenant_name(&self, tenant: usize) -> Option<&str> {
        self.names.tenants.get(tenant).map(String::as_str)
    }

    /// Whether an RPC of `method` may run twice.
    pub fn idempotency(&self, method: usize) -> Idempotency {
        self.method(method).idempotency
    }

    /// How long an RPC of `method` is waited for at the most.
    pub fn deadline(&self, method: usize) -> Duration {
        clock::duration(self.method(method).deadline)
    }

    pub(super) fn method(&self, method: usize) -> &Method {
        &self.config.methods[method]
    }
}

#[cfg(test)]
mod tests;
