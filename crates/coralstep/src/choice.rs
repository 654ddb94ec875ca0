//! Every decision of coralstep. Make a [`Server`] with `start`, report what happens by `rpc`, `settled`,
//! `needs_call`, `called`, `gone`, `wind_down` and `timer`; the answers go at once to the `Outlet`.
//! The interface, `Outlet` and all types passed in, is in `door.rs`; the shared records are in `site.rs`.
//!
//! An RPC passes Repeats, Guard, Hold, Cores, at a call Bulkhead and Breaker; each passes, keeps or ends it.
#[path = "learned.rs"]
mod learned;
pub use learned::LearnedState;
#[path = "observe.rs"]
mod observe;
#[path = "start.rs"]
mod start;
#[path = "state.rs"]
mod state;

use crate::actions::*;
use crate::circuit_breaker::{CircuitBreaker, Flow};
use crate::config::*;
use crate::constants::*;
use crate::lost;
use crate::request::*;
use crate::site::{Hand, Place, Rpc, Site, Tally, greatest};
use crate::time::*;

/// How much more is to be had by serving one of `tallies`: most for the worst served, 0 beyond the band.
fn lag(tallies: &[Tally], index: usize) -> f64 {
    let worst = tallies.iter().map(Tally::service).fold(1.0, f64::min);
    let asked: f64 = tallies.iter().map(|tally| tally.asked).sum();
    let near = (1.0 - (tallies[index].service() - worst) / WORST_BAND).max(0.0);
    near * asked.max(1.0) / tallies[index].asked.max(asked * 0.02).max(1.0)
}

impl Site {
    /// A final answer. What has run with an effect is never pushed back.
    fn push_back(&mut self, id: RpcId, after: Span, out: &mut dyn Actions) {
        let Some(rpc) = self.get(id) else { return };
        if rpc.ran && self.method(rpc).idempotency != Idempotency::Idempotent {
            self.abort(id, out);
        } else if !rpc.answered {
            out.reject(id, after, rpc.retry || !self.alone);
            self.answered(id);
        }
    }

    fn abort(&mut self, id: RpcId, out: &mut dyn Actions) {
        if self.get(id).is_some_and(|rpc| !rpc.answered) {
            out.fail(id);
            self.answered(id);
        }
    }

    /// Due, or likely to end only when it is, while others could use the cores. Guards against work
    /// for nobody; on idle cores it is tried, so that a slow method is seen to be quick again.
    fn vain(&self, rpc: &Rpc) -> bool {
        let idle = self.count(Place::Running) < self.cores;
        let takes = if idle {
            Span::ZERO
        } else {
            self.runs[rpc.method].middle(Span::ZERO)
        };
        self.now + EARLY.max(takes) >= rpc.due
    }

    /// The usual time on the cores.
    fn run_time(&self, rpc: &Rpc) -> Span {
        self.runs[rpc.method].mean(GUESS)
    }

    /// Criticality to be won for each unit of work, as the goal counts it: over-share traffic is discounted,
    /// the method that is served worst weighs more.
    fn value(&self, rpc: &Rpc) -> f64 {
        let criticality = self.method(rpc).priority_weight;
        let weights = self
            .asked
            .iter()
            .zip(&self.methods)
            .map(|(t, m)| (t.asked + 0.1) * m.priority_weight);
        let asked: f64 = self.asked.iter().map(|tally| tally.asked + 0.1).sum();
        let each = criticality * asked / weights.sum::<f64>().max(1e-9);
        let mut worth =
            self.goal.overall * each + self.goal.worst_method * lag(&self.asked, rpc.method);
        if let Some(tenant) = rpc.tenant {
            worth *= self.within(tenant);
        }
        worth *= if rpc.retry { RETRIED } else { 1.0 };
        if self.by_work {
            worth
        } else {
            worth / self.run_time(rpc).0.max(1) as f64
        }
    }

    /// The part of a tenant's present traffic that counts; its share is taken to be spread evenly.
    fn within(&self, tenant: usize) -> f64 {
        let rate =
            self.tenants[tenant].asked / ((self.now - self.tallied).0 as f64 / 10_000.0).max(2.0);
        let share = self.tenant_rates[tenant] / self.fleet;
        if rate <= share {
            1.0
        } else {
            (share + self.over_share * (rate - share)) / rate
        }
    }
}

/// Tokens: whatever bears the mark of an RPC that may have run never runs again.
struct Repeats {
    key_kb: f64,
    kept: usize,
}

impl Repeats {
    fn enter(
        &mut self,
        site: &mut Site,
        id: RpcId,
        prior: EarlierAttempt,
        out: &mut dyn Actions,
    ) -> Flow {
        let Some(rpc) = site.get(id) else {
            return Flow::Reject;
        };
        if site.method(rpc).idempotency != Idempotency::Keyed {
            return Flow::Continue;
        }
        let until = rpc.arrived + site.method(rpc).retry_window + TOKEN_EXTRA;
        let never_ran = match site.latest(prior) {
            EarlierAttempt::None => None,
            EarlierAttempt::Known(old) if site.get(old).is_some_and(|old| !old.ran) => Some(old),
            _ => {
                // Guards against a second run: it ran, or nobody knows any more.
                site.put(id, Place::Replaying);
                out.replay(id);
                return Flow::Wait;
            }
        };
        if never_ran
            .and_then(|old| site.get_mut(old)?.token_until.take())
            .is_none()
        {
            if site.used_kb + self.key_kb > site.memory_kb * MEMORY_RUN
                || (self.kept + 1) as f64 * self.key_kb > site.memory_kb * MEMORY_TOKENS
            {
                // Guards against two runs of an RPC that could not be told from its repeat.
                site.push_back(id, ADVICE, out);
                return Flow::Reject;
            }
            self.kept += 1;
            site.used_kb += self.key_kb;
        }
        out.retain_key(id, until - site.now);
        site.kept(id, until, never_ran);
        if let Some(old) = never_ran {
            // The newest try is the one whose caller still waits.
            site.push_back(old, Span::ZERO, out);
        }
        Flow::Continue
    }

    /// Forgets a token that is no longer needed: it never ran, or its window is over.
    fn leave(&mut self, site: &mut Site, id: RpcId, out: &mut dyn Actions) {
        if site
            .get_mut(id)
            .and_then(|rpc| rpc.token_until.take())
            .is_some()
        {
            out.release_key(id);
            self.kept -= 1;
            site.used_kb -= self.key_kb;
        }
    }
}

/// The rules that no other stage keeps: memory, the drain, and a server that stands still.
struct Guard {
    grace: Span,
    noticed: Option<Time>,
    stop: Time,
}

impl Guard {
    fn enter(&mut self, site: &mut Site, id: RpcId, stalled: bool, out: &mut dyn Actions) {
        let Some(rpc) = site.get(id) else { return };
        // A beat of margin, for the notice itself was rounded.
        let late = self
            .noticed
            .is_some_and(|noticed| rpc.arrived + BEAT > noticed + self.grace);
        let leaving = late || stalled || self.stopping(site.now);
        let shed = site
            .level
            .sheds(&site.method(rpc))
            .then_some(site.level.retry_after.max(ADVICE));
        let vain = site.get(id).is_some_and(|rpc| site.vain(rpc));
        if leaving || vain || shed.is_some() || site.used_kb > site.memory_kb * MEMORY_HOLD {
            site.push_back(
                id,
                if leaving {
                    AWAY_ADVICE
                } else {
                    shed.unwrap_or(ADVICE)
                },
                out,
            );
        }
    }

    fn stopping(&self, now: Time) -> bool {
        now + LAST_ANSWERS >= self.stop
    }
}

/// What waits for a core, not longer than its limit.
struct Hold;

impl Hold {
    /// The part of its limit that an RPC has been here; over from 1 on. Guards against pushing back at once
    /// what took as long to read as most: the usual wait unread does not count, up to its limit.
    fn part(site: &Site, rpc: &Rpc) -> f64 {
        let usual = (rpc.since - rpc.arrived).min(site.reads.middle(Span::ZERO));
        let most = site.method(rpc).latency_objective.scaled(HOLD_SHARE);
        Hold::of_limit(site, rpc, (site.now - rpc.arrived) - usual.min(most))
    }

    fn of_limit(site: &Site, rpc: &Rpc, span: Span) -> f64 {
        span.0 as f64
            / (site.method(rpc).latency_objective.0.max(1) as f64
                * HOLD_SHARE
                * site.under(rpc).queue_limit_factor.max(0.01))
    }

    /// The most valuable of those that `may` start.
    fn best(site: &Site, may: impl Fn(&Rpc) -> bool) -> Option<RpcId> {
        greatest(
            site.at(Place::Held)
                .filter(|(_, rpc)| may(rpc))
                .map(|(id, rpc)| (site.value(rpc), id)),
        )
    }

    fn waited(site: &Site) -> f64 {
        site.at(Place::Held)
            .map(|(_, rpc)| Hold::part(site, rpc))
            .fold(0.0, f64::max)
    }
}

/// How much runs at once.
struct Cores {
    limit: usize,
    crowd: f64,
    cold_until: Time,
    /// Part of its speed that it lacks for each tick until then.
    lack: f64,
    /// When the cores last got something done, or had room.
    moved: Time,
    stalled: bool,
}

impl Cores {
    /// Started RPCs that the cores survive should all of them come back from their calls at once.
    fn ceiling(&self, site: &Site) -> usize {
        let speed = 1.0 - self.lack * (self.cold_until - site.now).0 as f64;
        let crowd = site.cores as f64 * (1.0 + (self.crowd - 1.0) * speed) * CROWD_USED;
        (crowd as usize).max(1)
    }

    fn room(&self, site: &Site) -> bool {
        !self.stalled
            && site.count(Place::Running) < self.limit
            && site.started() < self.ceiling(site)
    }

    /// Grows while cores idle and work waits, shrinks back when they don't. Guards against runs that share so
    /// few cores with reading that neither ends: one core of the second round is left to it.
    fn adjust(&mut self, site: &Site, waits: bool, busy: f64, unread: f64) {
        if unread > 1.0 {
            // Guards against runs that leave reading too little of the cores: all would be read too late.
            self.limit = (self.limit - 1).max(1);
        } else if self.limit < site.cores
            || (waits && busy < 0.9 && site.count(Place::Running) >= self.limit)
        {
            self.limit = (self.limit + 1).min(site.cores * 2 - 1);
        } else if busy > 0.97 && self.limit > site.cores {
            self.limit -= 1;
        }
    }
}

/// Calls in hand, and what waits to make one.
#[derive(Default)]
struct Bulkhead {
    permits: f64,
    hand: Hand,
    /// This server's part of what a shared dependency survives.
    share: Option<f64>,
    range: (f64, f64),
    /// The best usual time of a call, in ticks; 0 before the first.
    best: u64,
}

impl Bulkhead {
    /// A part of a permit is a whole one for that part of the time.
    fn room(&mut self, site: &Site) -> bool {
        let next = self.hand.count(site, self.permits) + 1.0;
        next <= self.permits.floor()
            || (next <= self.share.unwrap_or(0.0).ceil() && self.hand.credit >= 0.0)
    }

    fn next(site: &Site) -> Option<RpcId> {
        greatest(
            site.at(Place::Waiting)
                .map(|(id, rpc)| (site.method(rpc).priority_weight, id)),
        )
    }

    /// Guards against work that would only end in a line for permits; what runs towards a call stands in it.
    fn crowded(&self, site: &Site) -> bool {
        let each = site.calls.mean(GUESS).0.max(1) as f64;
        site.before_calls() as f64 > (self.permits * PERMIT_LINE.0 as f64 / each).max(1.0)
    }

    /// Guards against a shared dependency that all crowd: it slows long before it falls.
    fn review(&mut self, site: &mut Site) {
        site.calls.fade(CALLS_KNOWN);
        self.hand.count(site, self.permits);
        let usual = self.usual(site);
        self.best = if self.best == 0 {
            usual
        } else {
            self.best.min(usual)
        };
        let crowded = usual as f64 > self.best as f64 * CROWDED;
        let next = if crowded {
            self.permits * 0.95
        } else {
            self.permits + self.range.1 * 0.01
        };
        self.permits = next.clamp(self.range.0, self.range.1);
    }
}

pub struct Scheduler {
    site: Site,
    repeats: Repeats,
    guard: Guard,
    cores: Cores,
    bulkhead: Bulkhead,
    breaker: CircuitBreaker,
    advert: LoadReportKind,
    callers: f64,
    shed: f64,
    /// How long a connection may be idle, and the most that callers let it be.
    idle: Span,
    max_idle: Span,
    /// The longest that work has waited unread of late, as a part of its limit.
    unread: f64,
    drowned: bool,
    /// As many runs are lost as may be made good.
    worn: bool,
    /// When all is looked at next, and when the slower things were last.
    beat: Time,
    reviewed: Time,
}

impl Scheduler {
    /// An RPC was read.
    pub fn handle_request(&mut self, now: Time, arrival: Request, out: &mut dyn Actions) {
        let (site, id) = (&mut self.site, arrival.id);
        site.now = now;
        if self.beat > now + BEAT {
            self.beat = now + BEAT;
            out.set_timer(BEAT);
        }
        site.arrive(&arrival);
        // Guards against strangers whose stamps would take the server off the list.
        let known = site.get(id).filter(|_| !arrival.untrusted_age);
        self.unread = known
            .map_or(0.0, |rpc| Hold::of_limit(site, rpc, arrival.age))
            .max(self.unread);
        if matches!(
            self.repeats.enter(site, id, arrival.earlier_attempt, out),
            Flow::Continue
        ) {
            self.guard.enter(site, id, self.cores.stalled, out);
        }
        self.close(id, out);
        self.pump(out);
    }

    /// A run or a replay came to its end.
    pub fn handle_completion(
        &mut self,
        now: Time,
        id: RpcId,
        outcome: Outcome,
        out: &mut dyn Actions,
    ) {
        self.site.now = now;
        let Some(rpc) = self.site.get(id) else { return };
        let (place, since, overran) = (rpc.place, rpc.since, rpc.overran);
        if place == Place::Calling {
            self.bulkhead
                .hand
                .left(&self.site, self.bulkhead.permits, true);
            if overran && (self.breaker.is_probe(id) || now - since >= PATIENCE_LEAST) {
                // Guards against a dependency that hangs until RPCs are due: such calls ran out of time too.
                self.outcome(id, since, true, out);
            } else {
                self.breaker.abandon_probe(id);
            }
        }
        self.site.put(id, Place::Over);
        self.cores.moved = now;
        self.site.record(id, place, outcome);
        match outcome {
            Outcome::Ok | Outcome::Error => self.site.answered(id),
            // It provably never began, so it may be tried elsewhere, and its token again here.
            Outcome::Unreachable => {
                self.site.never_ran(id);
                self.site.push_back(id, ADVICE, out);
            }
            _ => self.site.abort(id, out),
        }
        self.close(id, out);
        self.pump(out);
    }

    /// A run can't go on without a call.
    pub fn handle_call_needed(&mut self, now: Time, id: RpcId, out: &mut dyn Actions) {
        self.site.now = now;
        self.cores.moved = now;
        let Some(rpc) = self
            .site
            .get_mut(id)
            .filter(|rpc| rpc.place == Place::Running)
        else {
            return;
        };
        rpc.calls = 0;
        self.site.put(id, Place::Waiting);
        if self.site.get(id).is_some_and(|rpc| {
            self.site.under(rpc).skip_calls && self.site.method(rpc).skip_value > 0.0
        }) {
            self.without_call(id, ADVICE, out);
        }
        self.check(id, out);
        self.pump(out);
    }

    /// A call ended; unless it went well the RPC still stands at it.
    pub fn handle_call_result(
        &mut self,
        now: Time,
        id: RpcId,
        outcome: Outcome,
        took: Span,
        out: &mut dyn Actions,
    ) {
        self.site.now = now;
        let Some(rpc) = self.site.get(id).filter(|rpc| rpc.place == Place::Calling) else {
            return;
        };
        let (calls, answered, ok) = (rpc.calls, rpc.answered, outcome == Outcome::Ok);
        let again = self.site.method(rpc).idempotency == Idempotency::Idempotent
            || outcome.proves_never_ran();
        if !outcome.proves_never_ran() {
            self.site.call_took(took);
        }
        self.outcome(id, now - took, !ok, out);
        self.bulkhead.hand.left(
            &self.site,
            self.bulkhead.permits,
            outcome == Outcome::TimedOut,
        );
        self.site
            .put(id, if ok { Place::Running } else { Place::Waiting });
        if !(ok || answered || again && calls < CALLS_EACH) {
            self.without_call(id, self.breaker.cooldown_left(now).unwrap_or(ADVICE), out);
        }
        self.check(id, out);
        self.pump(out);
    }

    fn outcome(&mut self, id: RpcId, began: Time, failed: bool, out: &mut dyn Actions) {
        if let Some(turn) =
            self.breaker
                .record_call(self.site.now, id, began, failed, &mut self.site.chance)
        {
            out.breaker_transition(turn);
        }
    }

    /// Nobody waits for it any more.
    pub fn handle_cancellation(&mut self, now: Time, id: RpcId, out: &mut dyn Actions) {
        self.site.now = now;
        let Some(rpc) = self.site.get(id) else { return };
        let idempotent = self.site.method(rpc).idempotency == Idempotency::Idempotent;
        if rpc.place == Place::Running && idempotent && self.site.may_stop {
            out.preempt(id);
        }
        self.site.answered(id);
        self.close(id, out);
        self.pump(out);
    }

    /// The process will be stopped at `stop`.
    pub fn begin_drain(&mut self, now: Time, stop: Time, out: &mut dyn Actions) {
        self.site.now = now;
        (self.guard.noticed, self.guard.stop) = (Some(now), stop);
        out.set_health(false);
    }

    /// The timer asked for last has run out.
    pub fn handle_timeout(&mut self, now: Time, gauges: Gauges, out: &mut dyn Actions) {
        if now < self.beat {
            return;
        }
        self.site.now = now;
        self.watch(out);
        for id in self.site.live.clone() {
            self.overdue(id, out);
            self.check(id, out);
        }
        if now - self.site.tallied >= HALVE * 2 {
            self.site.halve();
        }
        if now - self.reviewed >= REVIEW {
            self.reviewed = now;
            self.bulkhead.review(&mut self.site);
            let (waits, busy) = (
                self.site.count(Place::Held) > 0,
                gauges.cpu_busy.unwrap_or(1.0),
            );
            self.cores.adjust(&self.site, waits, busy, self.unread);
            self.advertise(out);
            self.make_room(gauges.open_connections.unwrap_or(0.0), out);
        }
        // Nothing is swept while nothing is due.
        let next = if self.site.live.is_empty() {
            REVIEW
        } else {
            BEAT
        };
        self.beat = now + next;
        out.set_timer(next);
        self.pump(out);
    }

    /// Guards against a server that reads and holds but gets nothing done, whatever stopped its cores.
    fn watch(&mut self, out: &mut dyn Actions) {
        let idle = self.site.count(Place::Running) < self.site.cores;
        self.cores.moved = if idle {
            self.site.now
        } else {
            self.cores.moved
        };
        let stalled = self.site.now - self.cores.moved > STALL;
        // Guards against a server that reads too late for any answer in time: it leaves until it has read up.
        let drowned = self.unread > if self.drowned { 1.0 } else { 2.0 / HOLD_SHARE };
        // Guards against storms of further tries: elsewhere is better only if the trouble is its own.
        let away = self.site.now < self.cores.cold_until || self.guard.noticed.is_some();
        let (lost, most) = (
            self.site.count(Place::Lost),
            lost::most(self.cores.ceiling(&self.site)),
        );
        let worn = lost >= most;
        self.site.alone = stalled || drowned || worn || away;
        if worn != self.worn {
            out.log(format_args!(
                "places of lost runs used up: {worn}, {lost} of {most}"
            ));
        }
        if (stalled, drowned) != (self.cores.stalled, self.drowned) {
            out.log(format_args!(
                "cores stand still: {stalled}, reading falls behind: {drowned}"
            ));
        }
        if (stalled, drowned, worn) != (self.cores.stalled, self.drowned, self.worn) {
            (self.cores.stalled, self.drowned, self.worn) = (stalled, drowned, worn);
            out.set_health(!stalled && !drowned && !worn && self.guard.noticed.is_none());
        }
    }

    /// Guards against calls and runs without an end, which would keep their places for good (`lost.rs`).
    fn overdue(&mut self, id: RpcId, out: &mut dyn Actions) {
        if let Some(took) = lost::call(&self.site, id) {
            self.handle_call_result(self.site.now, id, Outcome::TimedOut, took, out);
        }
        let ceiling = self.cores.ceiling(&self.site);
        lost::run(&mut self.site, id, ceiling, out);
    }

    /// What time has done to one RPC.
    fn check(&mut self, id: RpcId, out: &mut dyn Actions) {
        let now = self.site.now;
        let Some(rpc) = self.site.get(id) else { return };
        if rpc.place == Place::Over || rpc.answered {
            return self.close(id, out);
        }
        let method = self.site.method(rpc);
        let (leaving, back) = (
            self.guard.stopping(now) || self.cores.stalled,
            self.site.level.retry_after.max(ADVICE),
        );
        let due = now + EARLY >= rpc.due || self.guard.stopping(now);
        let waited = now - rpc.since >= PERMIT_WAIT;
        let shut = self.breaker.cooldown_left(now);
        match rpc.place {
            Place::Held if leaving => self.site.push_back(id, AWAY_ADVICE, out),
            Place::Held if self.site.under(rpc).sheds(&method) => {
                self.site.push_back(id, back, out)
            }
            Place::Held if self.site.vain(rpc) || Hold::part(&self.site, rpc) >= 1.0 => {
                // What must call is told when the breaker may let it through.
                let must = method.calls && method.skip_value == 0.0;
                let shut = self
                    .breaker
                    .cooldown_left(now)
                    .filter(|left| must && *left > ADVICE);
                self.site.push_back(id, shut.unwrap_or(ADVICE), out);
            }
            Place::Calling if due => self.site.overrun(id, |site| site.abort(id, out)),
            _ if due => self.site.abort(id, out),
            Place::Waiting if shut.is_some() => self.without_call(id, shut.unwrap_or(ADVICE), out),
            Place::Waiting if waited => self.without_call(id, AWAY_ADVICE, out),
            _ => return,
        }
        self.close(id, out);
    }

    /// Ends what is over, back through the chain, and lets go of its index once its token is.
    fn close(&mut self, id: RpcId, out: &mut dyn Actions) {
        let Some(rpc) = self.site.get(id) else { return };
        let token = rpc.ran && rpc.token_until.is_some_and(|until| until > self.site.now);
        if rpc.place == Place::Over && !token {
            self.repeats.leave(&mut self.site, id, out);
            self.site.remove(id);
            out.release_id(id);
        }
    }

    /// The answer instead of a call: fallback, quick pushback, or an error for what may have had effect.
    fn without_call(&mut self, id: RpcId, after: Span, out: &mut dyn Actions) {
        let Some(rpc) = self.site.get(id) else { return };
        if self.site.method(rpc).skip_value > 0.0 {
            out.skip_call(id);
            self.site.put(id, Place::Running);
        } else {
            self.site.push_back(id, after, out);
        }
    }

    /// How long a call may take. Guards against lost calls in all permits until their RPCs are due.
    fn patience(&self, rpc: &Rpc) -> Span {
        let (site, method) = (&self.site, self.site.method(rpc));
        let left = (rpc.due - site.now) - EARLY;
        let useful = (rpc.arrived + method.latency_objective - site.run_time(rpc)) - site.now;
        let usual = site.calls.middle(GUESS) * PATIENCE;
        let most = if method.idempotency == Idempotency::Idempotent {
            usual.min(useful)
        } else {
            usual.max(useful)
        };
        left.min(most.max(PATIENCE_LEAST))
    }

    /// Guards against calls that don't come back in all places. Beyond some stranded runs one at a time is
    /// begun, as a trial.
    fn calls_fill(&self) -> bool {
        let (site, ceiling) = (&self.site, self.cores.ceiling(&self.site));
        let few = site.count(Place::Stranded) < lost::most(ceiling);
        let trial = if site.used_kb < site.memory_kb * MEMORY_STRANDED {
            1.0
        } else {
            0.0
        };
        site.at_calls() as f64
            >= if few {
                (ceiling as f64 * CALLS_MOST).max(1.0)
            } else {
                trial
            }
    }

    /// Moves on whatever can move: calls first, for they hold memory, then new runs.
    fn pump(&mut self, out: &mut dyn Actions) {
        while let Some(id) = Bulkhead::next(&self.site) {
            if !self.bulkhead.room(&self.site) {
                break;
            }
            let (step, turn) = self.breaker.admit_call(self.site.now, id);
            turn.inspect(|turn| out.breaker_transition(*turn));
            if step != Flow::Continue {
                break;
            }
            self.site.put(id, Place::Calling);
            let patience = self
                .site
                .get(id)
                .map_or(Span::ZERO, |rpc| self.patience(rpc));
            self.site.patience(id, patience);
            out.call(id, patience);
        }
        while self.cores.room(&self.site) {
            // Nothing is begun that would only end at an open breaker.
            let shut =
                self.breaker.cooldown_left(self.site.now).is_some() || self.breaker.has_probe();
            let shut = shut || self.bulkhead.crowded(&self.site) || self.calls_fill();
            let room_kb = self.site.memory_kb * MEMORY_RUN - self.site.used_kb;
            let (site, factor) = (&self.site, self.site.run_factor - 1.0);
            let may = |rpc: &Rpc| {
                let method = site.method(rpc);
                rpc.held_kb * factor <= room_kb
                    && !(shut && method.calls && method.skip_value == 0.0)
            };
            let Some(id) = Hold::best(site, may) else {
                break;
            };
            self.site.put(id, Place::Running);
            self.site.tries.ok += 1.0;
            out.admit(id);
        }
    }

    /// Guards against a table full of idle connections: many callers with little traffic each keep one open.
    /// In a storm the table may fill: what it keeps out costs neither a new connection nor reading.
    fn make_room(&mut self, open: f64, out: &mut dyn Actions) {
        let tries = &mut self.site.tries;
        let storm = tries.ok < tries.asked * STORM;
        (tries.asked, tries.ok) = (tries.asked * 0.9, tries.ok * 0.9);
        let full = open > self.cores.ceiling(&self.site) as f64 * CONNECTIONS && !storm;
        let more = if storm { 1.5 } else { 1.05 };
        let step = if full { 0.8 } else { more };
        let idle = self.idle.scaled(step).max(REVIEW).min(self.max_idle);
        if idle != self.idle {
            self.idle = idle;
            out.set_idle_timeout(idle);
        }
    }

    /// The free value: less is asked for while work waits long, nothing while leaving or standing still.
    fn advertise(&mut self, out: &mut dyn Actions) {
        let waited = Hold::waited(&self.site);
        self.unread *= 0.8;
        let step = if waited > 0.5 { 0.1 } else { -0.1 };
        self.shed = (self.shed + step).clamp(0.0, 0.95);
        let open = if self.guard.noticed.is_some() || self.cores.stalled {
            0.0
        } else {
            1.0 - self.shed
        };
        let open = open * self.site.level.load_report_factor;
        let value = match self.advert {
            LoadReportKind::Off => return,
            LoadReportKind::Threshold => 1.0 - open,
            LoadReportKind::Weight => open,
            LoadReportKind::Credit => open * self.site.cores as f64 * CREDIT / self.callers,
        };
        out.report_load(value);
    }
}
