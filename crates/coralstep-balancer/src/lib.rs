//! Load balancing over a pool of interchangeable applications.
//!
//! [`Pool::start_attempt`] selects the application for the next attempt of an RPC, [`Pool::try_retry`] decides whether a
//! failed attempt is retried. Each application has a [`CircuitBreaker`].
//!
//! The pool does no I/O and reads no clock: the caller passes the time in. The same calls with the same seed give the same
//! results.
//!
//! ```
//! use coralstep::Time;
//! use coralstep_balancer::{AttemptOutcome, Pool, PoolConfig};
//!
//! let mut pool = Pool::new(PoolConfig::default(), 7);
//! pool.set_applications(Time(0), &["10.0.0.1:4000", "10.0.0.2:4000"]);
//! let attempt = pool.start_attempt(Time(10), None).unwrap();
//! assert!(pool.key(&attempt).starts_with("10.0.0."));
//! pool.finish_attempt(Time(60), attempt, AttemptOutcome::Answered);
//! ```
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use coralstep::{BreakerTransition, CircuitBreaker, Flow, RpcId, Span, Time};
use nanorand::{Rng, WyRand};

mod retry_budget;
mod slow_start;
pub use retry_budget::RetryBudget;
pub use slow_start::SlowStartConfig;
use slow_start::{SlowStart, draw};

/// Assumed latency before the first response, and the wait advised when all applications are at their in-flight limit.
const DEFAULT_LATENCY: Span = Span::ms(250);
/// Age at which a measured latency no longer counts, so that an application that was slow once is tried again.
const LATENCY_MAX_AGE: Span = Span::ms(10_000);
/// Weight of the newest response in the moving average of latency, which covers about ten responses.
const LATENCY_WEIGHT: f64 = 0.2;
/// Delay before a probe call that exceeded the initial rate is tried again.
const PROBE_RETRY_DELAY: Span = Span::ms(50);
/// Random draws for a warm application before a linear scan.
const MAX_WARM_DRAWS: u32 = 8;

/// Period over which [`ApplicationStatus`] counts recent attempts.
pub const RECENT_WINDOW: Span = Span::ms(2_000);
const MAX_RECENT_ATTEMPTS: usize = 32;

/// Configuration of a [`Pool`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolConfig {
    /// Slow start of an application that has returned.
    pub slow_start: SlowStartConfig,
    /// Maximum number of attempts in flight at one application.
    pub max_in_flight: u32,
    /// Retries allowed per request, from 0 to 1.
    pub retry_ratio: f64,
    /// Maximum number of attempts of one RPC.
    pub max_attempts: u32,
}

impl Default for PoolConfig {
    /// 10 s of slow start for one process, 64 attempts in flight, a retry ratio of 0.1 and three attempts.
    fn default() -> PoolConfig {
        let slow_start = SlowStartConfig {
            duration: Span::ms(10_000),
            initial_rate: 0.0,
            processes: 1,
        };
        PoolConfig {
            slow_start,
            max_in_flight: 64,
            retry_ratio: 0.1,
            max_attempts: 3,
        }
    }
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The application answered and reported no failure of its own.
    Answered,
    /// The application reported that it failed.
    Failed,
    /// No byte of the request was sent, so it never ran.
    NotSent,
    /// The connection was refused, so the request never ran. The application is down and will be cold once it is up.
    ConnectionRefused,
    /// Part of the request was sent and no complete response arrived.
    Interrupted,
    /// The attempt is no longer needed; this says nothing about the application.
    Abandoned,
}

impl AttemptOutcome {
    /// Whether the attempt provably never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::NotSent | AttemptOutcome::ConnectionRefused
        )
    }
}

/// An attempt in flight at one application. Must be passed to [`Pool::finish_attempt`].
#[derive(Debug)]
pub struct Attempt {
    slot: u32,
    started_at: Time,
    id: RpcId,
    /// Whether its failure is already recorded.
    is_recorded: bool,
}

impl Attempt {
    /// Index of the application, valid while the attempt is in flight.
    pub fn slot(&self) -> u32 {
        self.slot
    }
}

struct Application<K> {
    key: K,
    in_flight: u32,
    /// Moving average of latency in ticks; 0 before the first response.
    latency: f64,
    last_response_at: Time,
    breaker: CircuitBreaker,
    /// Slow start in progress. Applications present when the pool was first filled have none.
    slow_start: Option<SlowStart>,
    /// Whether a connection was refused since the last response.
    connection_refused: bool,
    /// Index in `Pool::ready`, if it is there.
    ready_index: Option<usize>,
    /// Removed from the pool; dropped when its last attempt ends.
    draining: bool,
    /// End time of each recent attempt, and whether it failed.
    recent: VecDeque<(Time, bool)>,
}

/// Status of one application.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplicationStatus<K> {
    pub key: K,
    /// Number of attempts in flight.
    pub in_flight: u32,
    /// State of the breaker.
    pub state: &'static str,
    /// Moving average of latency; `None` before the first response.
    pub latency: Option<Span>,
    /// Whether it was removed and still has attempts in flight.
    pub draining: bool,
    /// Number of attempts that ended within [`RECENT_WINDOW`].
    pub recent_attempts: u32,
    /// Number of those that failed.
    pub recent_failures: u32,
}

/// A pool of applications, each identified by a key.
///
/// The cost of a selection does not depend on the number of applications: selectable ones are in one dense list, those with
/// an open breaker in a heap ordered by the end of their cooldown.
pub struct Pool<K> {
    config: PoolConfig,
    /// Number of sending processes according to the configuration.
    configured_processes: u32,
    /// Number of sending processes last counted.
    counted_processes: u32,
    applications: Vec<Option<Application<K>>>,
    free_slots: Vec<u32>,
    /// Slots of selectable applications.
    ready: Vec<u32>,
    /// Slots with an open breaker, by the time their probe call is due. Stale entries are skipped when popped.
    cooldowns: BinaryHeap<Reverse<(Time, u32)>>,
    retry_budget: RetryBudget,
    last_attempt_id: u32,
    /// Moving average of latency over all applications, in ticks.
    mean_latency: f64,
    rng: WyRand,
    /// Breaker transitions since they were last taken.
    breaker_transitions: Vec<(K, BreakerTransition)>,
}

impl<K: Clone + PartialEq> Pool<K> {
    /// Creates an empty pool; `seed` determines its random choices.
    pub fn new(config: PoolConfig, seed: u64) -> Pool<K> {
        Pool {
            config,
            configured_processes: config.slow_start.processes,
            counted_processes: 0,
            applications: Vec::new(),
            free_slots: Vec::new(),
            ready: Vec::new(),
            cooldowns: BinaryHeap::new(),
            retry_budget: RetryBudget::new(config.retry_ratio),
            last_attempt_id: 0,
            mean_latency: 0.0,
            rng: WyRand::new_seed(seed),
            breaker_transitions: Vec::new(),
        }
    }

    /// Replaces the applications of the pool.
    ///
    /// Applications that stay keep their state. Removed ones receive no new attempts and are dropped when their last attempt
    /// ends. Applications added to a pool that is not empty go through slow start.
    pub fn set_applications(&mut self, now: Time, keys: &[K]) {
        let was_empty = self.applications.iter().all(Option::is_none);
        for slot in 0..self.applications.len() as u32 {
            let Some(app) = self.applications[slot as usize].as_mut() else {
                continue;
            };
            let stays = keys.contains(&app.key);
            if !stays && !app.draining {
                app.draining = true;
                self.reindex(slot);
            } else if stays && app.draining {
                app.draining = false;
                self.reindex(slot);
            }
        }
        for key in keys {
            if self
                .applications
                .iter()
                .flatten()
                .any(|app| app.key == *key)
            {
                continue;
            }
            let app = Application {
                key: key.clone(),
                in_flight: 0,
                latency: 0.0,
                last_response_at: now,
                breaker: CircuitBreaker::new(now),
                recent: VecDeque::new(),
                slow_start: (!was_empty).then(|| SlowStart::new(now)),
                connection_refused: false,
                ready_index: None,
                draining: false,
            };
            let slot = self
                .free_slots
                .pop()
                .unwrap_or(self.applications.len() as u32);
            match self.applications.get_mut(slot as usize) {
                Some(entry) => *entry = Some(app),
                None => self.applications.push(Some(app)),
            }
            self.reindex(slot);
        }
    }

    /// Returns the key of the application that `attempt` was sent to.
    pub fn key(&self, attempt: &Attempt) -> &K {
        // An attempt in flight keeps its application in its slot.
        &self.applications[attempt.slot as usize]
            .as_ref()
            .expect("application of an attempt in flight")
            .key
    }

    /// Adds the slot to the ready list or removes it, and frees the slot of a drained application.
    fn reindex(&mut self, slot: u32) {
        let Some(app) = self.applications[slot as usize].as_mut() else {
            return;
        };
        let is_ready =
            app.breaker.is_closed() && !app.draining && app.in_flight < self.config.max_in_flight;
        match (is_ready, app.ready_index) {
            (true, None) => {
                app.ready_index = Some(self.ready.len());
                self.ready.push(slot);
            }
            (false, Some(index)) => {
                app.ready_index = None;
                self.ready.swap_remove(index);
                if let Some(moved) = self.ready.get(index)
                    && let Some(moved) = self.applications[*moved as usize].as_mut()
                {
                    moved.ready_index = Some(index);
                }
            }
            _ => {}
        }
        let is_removable = self.applications[slot as usize]
            .as_ref()
            .is_some_and(|app| app.draining && app.in_flight == 0);
        if is_removable {
            self.applications[slot as usize] = None;
            self.free_slots.push(slot);
        }
    }

    /// Expected load of an application after one more attempt: attempts in flight times latency.
    fn load(&self, now: Time, slot: u32) -> f64 {
        let Some(app) = self.applications[slot as usize].as_ref() else {
            return f64::MAX;
        };
        let mean_latency = if self.mean_latency > 0.0 {
            self.mean_latency
        } else {
            DEFAULT_LATENCY.0 as f64
        };
        let confidence =
            1.0 - ((now - app.last_response_at).0 as f64 / LATENCY_MAX_AGE.0 as f64).min(1.0);
        let latency = if app.latency > 0.0 {
            mean_latency + (app.latency - mean_latency) * confidence
        } else {
            mean_latency
        };
        f64::from(app.in_flight + 1) * latency
    }

    /// Returns an application whose cooldown is over and that may receive its probe call.
    fn next_probe(&mut self, now: Time) -> Option<u32> {
        while let Some(Reverse((until, slot))) = self.cooldowns.peek().copied() {
            if until > now {
                return None;
            }
            self.cooldowns.pop();
            let (config, rng) = (&self.config.slow_start, &mut self.rng);
            let app = self.applications[slot as usize].as_mut();
            let Some(app) = app.filter(|app| !app.draining && app.breaker.awaits_probe(now)) else {
                continue;
            };
            // Guards against many processes sending their probe calls at the same time.
            let slow_start = app.slow_start.get_or_insert_with(|| SlowStart::new(now));
            if slow_start.try_admit(now, config, rng) {
                return Some(slot);
            }
            self.cooldowns
                .push(Reverse((now + PROBE_RETRY_DELAY, slot)));
        }
        None
    }

    /// Selects an application and starts an attempt at it: one whose probe call is due, else the less loaded of two random
    /// ones. The application in slot `avoid` is selected only if there is no other.
    ///
    /// # Errors
    /// Returns the time after which an application may be available, if none is now.
    pub fn start_attempt(&mut self, now: Time, avoid: Option<u32>) -> Result<Attempt, Span> {
        let slot = match self.next_probe(now) {
            Some(slot) => slot,
            None => self
                .select(now, avoid)
                .ok_or_else(|| self.retry_after(now))?,
        };
        self.last_attempt_id = self.last_attempt_id.wrapping_add(1);
        let id = RpcId(self.last_attempt_id);
        let Some(app) = self.applications[slot as usize].as_mut() else {
            return Err(DEFAULT_LATENCY);
        };
        let decision = app.breaker.admit_call(now, id);
        debug_assert!(matches!(decision.flow, Flow::Continue));
        app.in_flight += 1;
        let key = app.key.clone();
        self.breaker_transitions
            .extend(decision.transition.map(|transition| (key, transition)));
        self.reindex(slot);
        Ok(Attempt {
            slot,
            started_at: now,
            id,
            is_recorded: false,
        })
    }

    /// Whether an application is in slow start. Clears a slow start that is complete.
    fn is_cold(&mut self, now: Time, slot: u32) -> bool {
        let (config, app) = (
            &self.config.slow_start,
            self.applications[slot as usize].as_mut(),
        );
        let Some(app) = app else { return false };
        app.slow_start = app
            .slow_start
            .take()
            .filter(|slow_start| !slow_start.is_complete(now, config));
        app.slow_start.is_some()
    }

    /// Returns a random warm application other than `avoid`.
    fn random_warm(&mut self, now: Time, avoid: Option<u32>) -> Option<u32> {
        let count = self.ready.len();
        for _ in 0..MAX_WARM_DRAWS {
            let index = self.random_index(count)?;
            let slot = self.ready[index];
            if Some(slot) != avoid && !self.is_cold(now, slot) {
                return Some(slot);
            }
        }
        let start = self.random_index(count)?;
        let slots = (0..count).map(|offset| self.ready[(start + offset) % count]);
        let slots: Vec<u32> = slots.filter(|slot| Some(*slot) != avoid).collect();
        slots.into_iter().find(|slot| !self.is_cold(now, *slot))
    }

    /// Selects a ready application. A cold one that is drawn at random accepts a fraction of these attempts, and no more than
    /// that while idle; the others go to the less loaded of two random warm applications.
    fn select(&mut self, now: Time, avoid: Option<u32>) -> Option<u32> {
        let count = self.ready.len();
        let index = self.random_index(count)?;
        let first = self.ready[index];
        if Some(first) != avoid && self.is_cold(now, first) && self.admits_cold(now, first) {
            return Some(first);
        }
        let warm = match self.random_warm(now, avoid) {
            Some(warm) => warm,
            // Without another warm application, a cold one is preferred to `avoid`.
            None => return self.select_cold(now, avoid),
        };
        let second = self
            .random_warm(now, Some(warm))
            .filter(|second| Some(*second) != avoid);
        Some(
            second
                .filter(|second| self.load(now, *second) < self.load(now, warm))
                .unwrap_or(warm),
        )
    }

    /// Whether a cold application accepts this attempt: within its fraction and the initial rate, and only while it has no
    /// more attempts in flight than a random warm application.
    fn admits_cold(&mut self, now: Time, slot: u32) -> bool {
        let fraction = self.applications[slot as usize].as_ref().and_then(|app| {
            Some(
                app.slow_start
                    .as_ref()?
                    .fraction(now, &self.config.slow_start),
            )
        });
        if !draw(fraction.unwrap_or(1.0), &mut self.rng) {
            return false;
        }
        let warm = self.random_warm(now, None);
        // Compares attempts in flight without latency: a cold application is slower and would get nothing under low load.
        let in_flight = |slot: u32| {
            self.applications[slot as usize]
                .as_ref()
                .map_or(0, |app| app.in_flight)
        };
        warm.is_none_or(|warm| in_flight(slot) <= in_flight(warm)) && self.may_send_cold(now, slot)
    }

    /// Whether the initial rate of a slow start allows an attempt now.
    fn may_send_cold(&mut self, now: Time, slot: u32) -> bool {
        let (config, rng) = (&self.config.slow_start, &mut self.rng);
        let slow_start = self.applications[slot as usize]
            .as_mut()
            .and_then(|app| app.slow_start.as_mut());
        slow_start.is_none_or(|slow_start| slow_start.try_admit(now, config, rng))
    }

    /// Selects the less loaded of two applications when no other is warm, if the initial rate allows it. Falls back to
    /// `avoid` if it is the only one.
    fn select_cold(&mut self, now: Time, avoid: Option<u32>) -> Option<u32> {
        let others: Vec<u32> = self
            .ready
            .iter()
            .copied()
            .filter(|slot| Some(*slot) != avoid)
            .collect();
        let Some(first) = self.random_index(others.len()) else {
            return self
                .ready
                .first()
                .copied()
                .filter(|slot| !self.is_cold(now, *slot) || self.may_send_cold(now, *slot));
        };
        let second = others[(first + 1) % others.len()];
        let slot = if self.load(now, second) < self.load(now, others[first]) {
            second
        } else {
            others[first]
        };
        self.may_send_cold(now, slot).then_some(slot)
    }

    fn random_index(&mut self, count: usize) -> Option<usize> {
        (count > 0).then(|| self.rng.generate_range(0..count))
    }

    /// Returns the time until the next probe call is due, or [`DEFAULT_LATENCY`] if no breaker is open.
    fn retry_after(&self, now: Time) -> Span {
        let next = self
            .cooldowns
            .peek()
            .map(|Reverse((until, _))| *until - now);
        next.unwrap_or(DEFAULT_LATENCY).max(Span::ms(1))
    }

    /// Records an attempt as failed because the deadline of its RPC has passed; it stays in flight. Guards against
    /// applications that accept requests and never answer.
    pub fn time_out_attempt(&mut self, now: Time, attempt: &mut Attempt) {
        if !std::mem::replace(&mut attempt.is_recorded, true) {
            self.record_result(now, attempt.slot, attempt.id, attempt.started_at, true);
        }
    }

    fn record_result(&mut self, now: Time, slot: u32, id: RpcId, started_at: Time, failed: bool) {
        let Some(app) = self.applications[slot as usize].as_mut() else {
            return;
        };
        if app.recent.len() >= MAX_RECENT_ATTEMPTS {
            app.recent.pop_front();
        }
        app.recent.push_back((now, failed));
        let Some(transition) = app
            .breaker
            .record_call(now, id, started_at, failed, &mut self.rng)
        else {
            return;
        };
        if app.breaker.is_closed() {
            // Latency from before the breaker opened no longer applies.
            (app.slow_start, app.latency) = (Some(SlowStart::new(now)), 0.0);
        }
        if let Some(until) = app.breaker.open_until() {
            app.slow_start = None;
            self.cooldowns.push(Reverse((until, slot)));
        }
        let key = app.key.clone();
        self.breaker_transitions.push((key, transition));
        self.reindex(slot);
    }

    /// Ends an attempt and records its outcome.
    pub fn finish_attempt(&mut self, now: Time, attempt: Attempt, outcome: AttemptOutcome) {
        let Attempt {
            slot,
            started_at,
            id,
            is_recorded,
        } = attempt;
        if let Some(app) = self.applications[slot as usize].as_mut() {
            app.in_flight -= 1;
            let latency = (now - started_at).0.max(1) as f64;
            if outcome == AttemptOutcome::ConnectionRefused {
                app.connection_refused = true;
            } else if outcome == AttemptOutcome::Answered
                && std::mem::take(&mut app.connection_refused)
            {
                // Guards against a cold application whose restart was too short for its breaker to open.
                app.slow_start = Some(SlowStart::new(now));
            }
            if matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Failed) {
                app.latency = if app.latency > 0.0 {
                    app.latency + (latency - app.latency) * LATENCY_WEIGHT
                } else {
                    latency
                };
                app.last_response_at = now;
                self.mean_latency = if self.mean_latency > 0.0 {
                    self.mean_latency + (latency - self.mean_latency) * LATENCY_WEIGHT
                } else {
                    latency
                };
            }
        }
        match outcome {
            _ if is_recorded => {}
            AttemptOutcome::Abandoned => {
                let app = self.applications[slot as usize].as_mut();
                // The next attempt becomes the probe call, without another cooldown.
                if app.is_some_and(|app| app.breaker.abandon_probe(id)) {
                    self.cooldowns.push(Reverse((now, slot)));
                }
            }
            _ => self.record_result(
                now,
                slot,
                id,
                started_at,
                outcome != AttemptOutcome::Answered,
            ),
        }
        self.reindex(slot);
    }

    /// Records a new request, which adds to the retry budget.
    pub fn record_request(&mut self) {
        self.retry_budget.deposit();
    }

    /// Whether an RPC whose last attempt had `outcome` is retried; takes the retry from the budget.
    ///
    /// Only an attempt that never ran or that is idempotent is retried, only before the deadline and within the retry budget.
    pub fn try_retry(
        &mut self,
        now: Time,
        outcome: AttemptOutcome,
        idempotent: bool,
        attempts_made: u32,
        deadline: Time,
    ) -> bool {
        let is_safe = outcome.never_ran()
            || (idempotent
                && matches!(
                    outcome,
                    AttemptOutcome::Failed | AttemptOutcome::Interrupted
                ));
        is_safe
            && attempts_made < self.config.max_attempts
            && now < deadline
            && self.retry_budget.try_withdraw()
    }

    /// Replaces the configuration. The state of each application and the attempts in flight stay; a slow start in progress
    /// keeps its start time.
    pub fn set_config(&mut self, config: PoolConfig) {
        if config.retry_ratio != self.config.retry_ratio {
            self.retry_budget = RetryBudget::new(config.retry_ratio);
        }
        (self.config, self.configured_processes) = (config, config.slow_start.processes);
        self.set_process_count(self.counted_processes);
        // A new in-flight limit changes which applications are ready.
        (0..self.applications.len() as u32).for_each(|slot| self.reindex(slot));
    }

    /// Sets the number of sending processes; the configured number is the minimum. Guards against a partition of the fleet
    /// that counts only its own members, and against a slow start sized for one process after a reload.
    pub fn set_process_count(&mut self, count: u32) {
        self.counted_processes = count;
        self.config.slow_start.processes = self.configured_processes.max(count).max(1);
    }

    /// Number of attempts in flight at all applications.
    pub fn in_flight(&self) -> u32 {
        self.applications
            .iter()
            .flatten()
            .map(|app| app.in_flight)
            .sum()
    }

    /// Takes the breaker transitions since the last call, for logging.
    pub fn take_breaker_transitions(&mut self) -> Vec<(K, BreakerTransition)> {
        std::mem::take(&mut self.breaker_transitions)
    }

    /// Applies what peers reported about an application: `min_outcomes` local outcomes suffice for its breaker to decide, and
    /// its cooldown ends at `cooldown_end` if that is earlier.
    pub fn apply_peer_reports(&mut self, key: &K, min_outcomes: u32, cooldown_end: Option<Time>) {
        let slot = self
            .applications
            .iter()
            .position(|app| app.as_ref().is_some_and(|app| app.key == *key));
        let Some((slot, app)) =
            slot.and_then(|slot| Some((slot, self.applications[slot].as_mut()?)))
        else {
            return;
        };
        let earlier =
            cooldown_end.filter(|end| app.breaker.open_until().is_some_and(|until| *end < until));
        app.breaker.apply_peer_reports(min_outcomes, earlier);
        if let Some(end) = earlier {
            self.cooldowns.push(Reverse((end, slot as u32)));
        }
    }

    /// Returns the status of each application.
    pub fn status(&self, now: Time) -> Vec<ApplicationStatus<K>> {
        let recent = |app: &Application<K>| {
            let in_window = app
                .recent
                .iter()
                .filter(|(at, _)| *at + RECENT_WINDOW >= now);
            in_window.fold((0, 0), |counts, (_, failed)| {
                (counts.0 + 1, counts.1 + u32::from(*failed))
            })
        };
        let status = |app: &Application<K>| ApplicationStatus {
            key: app.key.clone(),
            in_flight: app.in_flight,
            state: app.breaker.state().as_str(),
            latency: (app.latency > 0.0).then_some(Span(app.latency as u64)),
            draining: app.draining,
            recent_attempts: recent(app).0,
            recent_failures: recent(app).1,
        };
        self.applications.iter().flatten().map(status).collect()
    }
}
