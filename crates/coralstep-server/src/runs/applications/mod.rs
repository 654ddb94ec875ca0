//! SCGI applications that run RPCs: one connection an attempt. Which application, and whether there
//! is another attempt, is decided by the balancer (`coralstep-balancer`); what an attempt proves is
//! found out here.
//!
//! | file | job |
//! | --- | --- |
//! | `attempt.rs` | one attempt at one application, and what it proves |
//! | `run.rs` | one RPC's run, as its lifecycle sees it; the SCGI request |
mod attempt;
mod run;

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::{LocalExecutor, Task};
use coralstep::{BreakerTransition, Time};
use coralstep_balancer::{Pool, PoolConfig, SlowStartConfig};
use coralstep_config::site::ApplicationsConfig;

use crate::base::clock::{self, Clock};
use crate::base::descriptors::Descriptors;
use crate::base::request_id::RequestId;
use crate::decisions::{BreakerStatus, RunOutcome};
use crate::fleet::ExchangeHealth;
use crate::runs::applications::attempt::AttemptResult;
use crate::runs::applications::run::ApplicationRun;
use crate::runs::{Backend, Run, RunEvents};

/// One run.
#[derive(Default)]
struct RunState {
    events: RunEvents,
    task: Option<Task<()>>,
}

/// What the attempts of one run need.
struct Job {
    id: RequestId,
    /// The SCGI request.
    bytes: Vec<u8>,
    idempotent: bool,
    deadline: Instant,
}

/// All applications, and the runs at them.
pub struct Applications {
    executor: Rc<LocalExecutor<'static>>,
    descriptors: Rc<Descriptors>,
    clock: Clock,
    pool: RefCell<Pool<SocketAddr>>,
    runs: RefCell<HashMap<RequestId, RunState>>,
    config: RefCell<ApplicationsConfig>,
}

fn pool_config(config: &ApplicationsConfig) -> PoolConfig {
    PoolConfig {
        slow_start: SlowStartConfig {
            duration: clock::span(Duration::from_millis(u64::from(config.slow_start_ms))),
            initial_rate: config.cold_rate,
            processes: config.processes,
        },
        max_in_flight: config.each_most,
        retry_ratio: config.repeats,
        max_attempts: config.attempts,
    }
}

impl Applications {
    /// The applications that `config` lists. `seed` is for the balancer's random choices.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        descriptors: Rc<Descriptors>,
        config: &ApplicationsConfig,
        seed: u64,
    ) -> Applications {
        let clock = Clock::start();
        let mut pool = Pool::new(pool_config(config), seed);
        pool.set_applications(clock.now(), &config.addresses);
        Applications {
            executor,
            descriptors,
            clock,
            pool: RefCell::new(pool),
            runs: RefCell::default(),
            config: RefCell::new(config.clone()),
        }
    }

    /// Takes up another list of applications, and all else that is stated of them; what is open
    /// stays where it is.
    pub fn reload(&self, config: &ApplicationsConfig) {
        let mut pool = self.pool.borrow_mut();
        pool.set_config(pool_config(config));
        pool.set_applications(self.now(), &config.addresses);
        *self.config.borrow_mut() = config.clone();
    }

    /// Sets how many processes send to the applications, as the fleet has it.
    pub fn set_process_count(&self, count: usize) {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.pool.borrow_mut().set_process_count(count);
    }

    /// Passes on what is seen of each application, and takes in what other servers saw: the
    /// outcomes that its breaker needs, and when a cooldown ends.
    pub fn exchange_health(&self, exchange: ExchangeHealth<'_>) {
        let now = self.now();
        let views = self.pool.borrow().status(now);
        for view in views.into_iter().filter(|view| !view.draining) {
            let address = view.key.to_string();
            let status = BreakerStatus {
                state: view.state,
                failures: view.recent_failures,
                calls: view.recent_attempts,
            };
            let advice = exchange(&address, status);
            let cooldown_end = advice.cooldown_left.map(|left| now + clock::span(left));
            let mut pool = self.pool.borrow_mut();
            pool.apply_peer_reports(&view.key, advice.min_outcomes, cooldown_end);
        }
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    /// Each change of an application's breaker is one event.
    fn log_breaker_changes(&self) {
        for (address, transition) in self.pool.borrow_mut().take_breaker_transitions() {
            let dependency = address.to_string();
            let BreakerTransition {
                from,
                to,
                failure_rate,
            } = transition;
            tracing::info!(
                target: "breaker",
                dependency,
                from = from.as_str(),
                to = to.as_str(),
                rate = failure_rate,
                "circuit breaker changed state"
            );
        }
    }

    /// Makes attempts until there is an outcome, or no more may be made.
    async fn run_to_outcome(&self, job: &Job) -> RunOutcome {
        self.pool.borrow_mut().record_request();
        let mut attempts_made = 0;
        let mut last_slot = None;
        let mut proven_unstarted = true;
        loop {
            let selection = self.pool.borrow_mut().start_attempt(self.now(), last_slot);
            self.log_breaker_changes();
            let pick = match selection {
                Ok(pick) => pick,
                Err(back) => return no_outcome(proven_unstarted, clock::duration(back)),
            };
            attempts_made += 1;
            last_slot = Some(pick.slot());
            let end = match self.attempt(job, pick).await {
                AttemptResult::Outcome(outcome) => return outcome,
                AttemptResult::Inconclusive(end) => end,
            };
            proven_unstarted &= end.never_ran();
            let deadline = self.clock.at(job.deadline);
            let may_retry = self.pool.borrow_mut().try_retry(
                self.now(),
                end,
                job.idempotent,
                attempts_made,
                deadline,
            );
            if !may_retry {
                return no_outcome(proven_unstarted, Duration::ZERO);
            }
        }
    }
}

/// How a run ended none of whose attempts had an outcome.
fn no_outcome(proven_unstarted: bool, retry_after: Duration) -> RunOutcome {
    if proven_unstarted {
        RunOutcome::NeverStarted { retry_after }
    } else {
        RunOutcome::Error
    }
}

impl Backend for Applications {
    fn register(self: Rc<Self>, id: RequestId) -> Option<Box<dyn Run>> {
        match self.runs.borrow_mut().entry(id) {
            Entry::Occupied(_) => return None,
            Entry::Vacant(vacant) => {
                vacant.insert(RunState::default());
            }
        }
        Some(Box::new(ApplicationRun {
            applications: self,
            id,
        }))
    }
}
