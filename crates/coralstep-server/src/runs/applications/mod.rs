//! Pool of SCGI applications that run RPCs, with one connection per attempt. The balancer
//! (`coralstep-balancer`) selects the application and decides on retries; this module makes the
//! attempts and determines their outcome.
//!
//! | file | contents |
//! | --- | --- |
//! | `attempt.rs` | one attempt at one application, and its outcome |
//! | `run.rs` | the run of one RPC, and its SCGI request |
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
use crate::base::memory_budget::{MemoryBudget, Reservation};
use crate::base::request_id::RequestId;
use crate::decisions::{BreakerStatus, RunOutcome};
use crate::fleet::ExchangeHealth;
use crate::runs::applications::attempt::AttemptResult;
use crate::runs::applications::run::ApplicationRun;
use crate::runs::{Backend, Run, RunEvents};

/// State of one run.
#[derive(Default)]
struct RunState {
    events: RunEvents,
    task: Option<Task<()>>,
    /// Memory of the response, which counts until its RPC has ended: the reply is then among the unread ones.
    response_memory: Option<Reservation>,
}

/// Data that all attempts of one run use.
struct RunInput {
    id: RequestId,
    /// The SCGI request.
    bytes: Vec<u8>,
    idempotent: bool,
    deadline: Instant,
}

/// The pool of applications and the runs at them.
pub struct Applications {
    executor: Rc<LocalExecutor<'static>>,
    descriptors: Rc<Descriptors>,
    response_budget: Rc<MemoryBudget>,
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
    /// Creates a pool of the applications that `config` lists. Responses count towards
    /// `response_budget`. `seed` initializes the balancer's random number generator.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        descriptors: Rc<Descriptors>,
        response_budget: Rc<MemoryBudget>,
        config: &ApplicationsConfig,
        seed: u64,
    ) -> Applications {
        let clock = Clock::start();
        let mut pool = Pool::new(pool_config(config), seed);
        pool.set_applications(clock.now(), &config.addresses);
        Applications {
            executor,
            descriptors,
            response_budget,
            clock,
            pool: RefCell::new(pool),
            runs: RefCell::default(),
            config: RefCell::new(config.clone()),
        }
    }

    /// Replaces the list of applications and their settings. Open attempts continue at their
    /// application.
    pub fn reload(&self, config: &ApplicationsConfig) {
        let mut pool = self.pool.borrow_mut();
        pool.set_config(pool_config(config));
        pool.set_applications(self.now(), &config.addresses);
        *self.config.borrow_mut() = config.clone();
    }

    /// Sets the number of server processes in the fleet that send to the applications.
    pub fn set_process_count(&self, count: usize) {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.pool.borrow_mut().set_process_count(count);
    }

    /// Reports the breaker status of each application, and applies what other servers reported: the
    /// number of outcomes after which its breaker may open, and the end of a cooldown.
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

    /// Keeps `memory`, that of the response of the run `id`, until its RPC has ended.
    fn keep_response_memory(&self, id: RequestId, memory: Reservation) {
        if let Some(state) = self.runs.borrow_mut().get_mut(&id) {
            state.response_memory = Some(memory);
        }
    }

    /// Logs each change of an application's breaker.
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

    /// Makes attempts until one has an outcome or no retry is allowed.
    async fn run_until_outcome(&self, input: &RunInput) -> RunOutcome {
        self.pool.borrow_mut().record_request();
        let mut attempts_made = 0;
        let mut last_slot = None;
        let mut never_started = true;
        loop {
            let selection = self.pool.borrow_mut().start_attempt(self.now(), last_slot);
            self.log_breaker_changes();
            let pick = match selection {
                Ok(pick) => pick,
                Err(retry_after) => {
                    return inconclusive_outcome(never_started, clock::duration(retry_after));
                }
            };
            attempts_made += 1;
            last_slot = Some(pick.slot());
            let end = match self.attempt(input, pick).await {
                AttemptResult::Outcome(outcome) => return outcome,
                AttemptResult::Inconclusive(end) => end,
            };
            never_started &= end.never_ran();
            let deadline = self.clock.at(input.deadline);
            let may_retry = self.pool.borrow_mut().try_retry(
                self.now(),
                end,
                input.idempotent,
                attempts_made,
                deadline,
            );
            if !may_retry {
                return inconclusive_outcome(never_started, Duration::ZERO);
            }
        }
    }
}

/// Returns the outcome of a run whose attempts were all inconclusive.
fn inconclusive_outcome(never_started: bool, retry_after: Duration) -> RunOutcome {
    if never_started {
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
