//! Every decision of coralstep. Make a [`Server`] with `start`, report what happens to it by `rpc`, `settled`,
//! `needs_call`, `called`, `gone`, `wind_down` and `timer`; the answers go at once to the `Outlet`.
//! The interface, `Outlet` and all types passed in, is in `door.rs`.
//!
//! An RPC passes Repeats, Guard, Hold, Cores and, at a call, Bulkhead and Breaker. Each stage passes it on,
//! keeps it or ends it; outcomes run back from Breaker to Repeats.
use crate::door::*;
use nanorand::{Rng, WyRand};

/// Between two timers. The finest delay of a limit; 50 a second cost next to no CPU.
const BEAT: Span = Span::ms(20);
/// Answers leave this long before they are due: two beats, and a batch or two.
const EARLY: Span = Span::ms(50);
/// Last answers leave this long before the process is stopped: a pause of the process fits in.
const LAST_ANSWERS: Span = Span::ms(400);
/// Outcomes that a breaker looks at, and the part of them that opens it (the source's 20 and 50%).
const WINDOW: u32 = 20;
const TRIP: f64 = 0.5;
/// A breaker's first cooldown; each failed trial doubles it up to the source's 30 s.
const COOLDOWN: Span = Span::ms(2_000);
const COOLDOWN_MOST: Span = Span::ms(30_000);
/// Calls made for one RPC's need at the most: the first and one repeat.
const CALLS_EACH: u32 = 2;
/// The longest wait for a permit, and the advice when it was in vain (the source's 1 s and 5 s).
const PERMIT_WAIT: Span = Span::ms(1_000);
const PERMIT_ADVICE: Span = Span::ms(5_000);
/// Part of the latency target that an RPC may be held: the other half is for running.
const HOLD_SHARE: f64 = 0.5;
/// Part of the survivable crowd that is ever used: calls that come back and reading need the rest.
const CROWD_USED: f64 = 0.6;
/// Parts of the memory: above the first nothing new is held, above the second nothing more is started,
/// and tokens never take more than the third.
const MEMORY_HOLD: f64 = 0.7;
const MEMORY_RUN: f64 = 0.85;
const MEMORY_TOKENS: f64 = 0.5;
/// A token stays known this much longer than its window, against rounding and the batch interval.
const TOKEN_EXTRA: Span = Span::ms(50);
/// Full cores that finish nothing for so long stand still: several times any ordinary run.
const STALL: Span = Span::ms(1_500);
/// Tallies and histograms are halved this often: about three of the longest targets.
const HALVE: Span = Span::ms(8_000);
/// The free value is set anew this often: slower than answers travel, faster than a hold fills.
const ADVERTISE: Span = Span::ms(100);
/// Advice given with an ordinary pushback: long enough for a few runs to end.
const ADVICE: Span = Span::ms(250);
/// Runs are called long in estimates before any was seen.
const RUN_GUESS: Span = Span::ms(300);
/// How far behind the worst-served method or tenant one still gets part of its boost, as a part of service.
const WORST_BAND: f64 = 0.1;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Place {
    Held,
    Running,
    /// At a call, without a permit.
    Waiting,
    Calling,
    Replaying,
    Over,
}

struct Rpc {
    method: usize,
    tenant: Option<usize>,
    arrived: Time,
    due: Time,
    kb: f64,
    work: Option<Span>,
    place: Place,
    since: Time,
    on_cores: Span,
    ran: bool,
    answered: bool,
    calls: u32,
    token_until: Option<Time>,
    heir: Option<RpcId>,
}

/// Times in bins that double, from 12.8 ms up.
#[derive(Clone, Default)]
struct Histogram([u32; 12]);

impl Histogram {
    fn add(&mut self, span: Span) {
        let bin = (span.0 >> 7).checked_ilog2().map_or(0, |log| log as usize + 1);
        self.0[bin.min(11)] += 8;
    }

    fn mean(&self, guess: Span) -> Span {
        let (mut sum, mut count) = (0, 0);
        for (bin, &seen) in self.0.iter().enumerate() {
            sum += u64::from(seen) * (96 << bin);
            count += u64::from(seen);
        }
        sum.checked_div(count).map_or(guess, Span)
    }
}

/// What was asked for and what got its answer in time, of one method or tenant.
#[derive(Clone, Default)]
struct Tally {
    asked: f64,
    ok: f64,
}

impl Tally {
    fn service(&self) -> f64 {
        if self.asked < 4.0 { 1.0 } else { (self.ok / self.asked).min(1.0) }
    }
}

/// How much more is to be had by serving each of `tallies`: 1 for the worst served, 0 beyond the band.
fn lag(tallies: &[Tally], index: usize) -> f64 {
    let worst = tallies.iter().map(Tally::service).fold(1.0, f64::min);
    let asked: f64 = tallies.iter().map(|tally| tally.asked).sum();
    let near = (1.0 - (tallies[index].service() - worst) / WORST_BAND).max(0.0);
    near * asked.max(1.0) / tallies[index].asked.max(asked * 0.02).max(1.0)
}

/// All RPCs and what every stage looks at.
struct Site {
    now: Time,
    methods: Vec<Method>,
    runs: Vec<Histogram>,
    asked: Vec<Tally>,
    tenants: Vec<Tally>,
    tenant_rates: Vec<f64>,
    over_share: f64,
    goal: [f64; 3],
    by_work: bool,
    run_factor: f64,
    preemption: Preemption,
    tallied: Span,
    rpcs: Vec<Option<Rpc>>,
    count: [usize; 6],
    used_kb: f64,
    chance: WyRand,
}

impl Site {
    fn get(&self, id: RpcId) -> Option<&Rpc> {
        self.rpcs.get(id.0 as usize)?.as_ref()
    }

    fn count(&self, place: Place) -> usize {
        self.count[place as usize]
    }

    fn weight(&self, kb: f64, place: Place) -> f64 {
        match place {
            Place::Held | Place::Replaying => kb,
            Place::Running | Place::Waiting | Place::Calling => kb * self.run_factor,
            Place::Over => 0.0,
        }
    }

    /// Moves an RPC; all counts follow.
    fn put(&mut self, id: RpcId, place: Place) {
        let now = self.now;
        let Some(rpc) = self.rpcs[id.0 as usize].as_mut() else { return };
        let (kb, was) = (rpc.kb, rpc.place);
        if was == Place::Running {
            rpc.on_cores = rpc.on_cores + (now - rpc.since);
        }
        (rpc.place, rpc.since) = (place, now);
        self.used_kb += self.weight(kb, place) - self.weight(kb, was);
        self.count[was as usize] -= 1;
        self.count[place as usize] += 1;
    }

    /// Final answers. One that has run with an effect is never pushed back.
    fn push_back(&mut self, id: RpcId, after: Span, out: &mut dyn Outlet) {
        let Some(rpc) = self.rpcs[id.0 as usize].as_mut() else { return };
        if rpc.answered {
            return;
        }
        if rpc.ran && self.methods[rpc.method].effect != Effect::Idempotent {
            return self.abort(id, out);
        }
        rpc.answered = true;
        out.push_back(id, after, false);
        self.ended(id);
    }

    fn abort(&mut self, id: RpcId, out: &mut dyn Outlet) {
        let Some(rpc) = self.rpcs[id.0 as usize].as_mut() else { return };
        if !rpc.answered {
            rpc.answered = true;
            out.abort(id);
            self.ended(id);
        }
    }

    /// Held work is over with its answer; started work only when it settles.
    fn ended(&mut self, id: RpcId) {
        if self.get(id).is_some_and(|rpc| matches!(rpc.place, Place::Held | Place::Replaying)) {
            self.put(id, Place::Over);
        }
    }

    /// Time on the cores that the rest of a run is likely to take.
    fn run_time(&self, rpc: &Rpc) -> Span {
        self.runs[rpc.method].mean(RUN_GUESS)
    }

    /// Criticality to be won for each unit of work, as the goal counts it: over-share traffic is discounted,
    /// the method and the tenant that are served worst weigh more.
    fn value(&self, rpc: &Rpc) -> f64 {
        let method = &self.methods[rpc.method];
        let mean: f64 =
            self.asked.iter().zip(&self.methods).map(|(t, m)| (t.asked + 0.1) * m.criticality).sum();
        let asked: f64 = self.asked.iter().map(|tally| tally.asked + 0.1).sum();
        let each = method.criticality * asked / mean.max(1e-9);
        let mut worth = self.goal[0] * each + self.goal[1] * lag(&self.asked, rpc.method);
        if let Some(tenant) = rpc.tenant {
            worth += self.goal[2] * each * lag(&self.tenants, tenant);
            worth *= self.within(tenant);
        }
        if self.by_work { worth } else { worth / self.run_time(rpc).0.max(1) as f64 }
    }

    /// The part of a tenant's present traffic that counts.
    fn within(&self, tenant: usize) -> f64 {
        let rate = self.tenants[tenant].asked / (self.tallied.0 as f64 / 10_000.0).max(2.0);
        let share = self.tenant_rates[tenant];
        if rate <= share { 1.0 } else { (share + self.over_share * (rate - share)) / rate }
    }
}

enum Step {
    Pass,
    Keep,
    End,
}

/// Tokens: whatever bears the mark of an RPC that may have run never runs again.
struct Repeats {
    key_kb: f64,
    kept: usize,
    room: f64,
}

impl Repeats {
    fn enter(&mut self, site: &mut Site, id: RpcId, prior: Prior, out: &mut dyn Outlet) -> Step {
        let Some(rpc) = site.get(id) else { return Step::End };
        let method = site.methods[rpc.method];
        if method.effect != Effect::Tokened {
            return Step::Pass;
        }
        let until = rpc.arrived + method.window + TOKEN_EXTRA;
        let span = until - site.now;
        let mut earlier = prior;
        while let Prior::Of(old) = earlier {
            match site.get(old) {
                Some(old_rpc) if old_rpc.ran => break,
                Some(old_rpc) => match old_rpc.heir {
                    Some(heir) => earlier = Prior::Of(heir),
                    None => break,
                },
                None => earlier = Prior::Forgotten,
            }
        }
        let held = match earlier {
            Prior::Nothing => None,
            Prior::Of(old) if site.get(old).is_some_and(|old| !old.ran) => Some(old),
            _ => {
                // Guards against a second run: it ran, or nobody knows any more.
                site.put(id, Place::Replaying);
                out.replay(id);
                return Step::Keep;
            }
        };
        let takes_over = held.is_some_and(|old| site.get(old).is_some_and(|old| old.token_until.is_some()));
        if !takes_over {
            let room = site.used_kb + self.key_kb <= self.room * MEMORY_RUN
                && (self.kept + 1) as f64 * self.key_kb <= self.room * MEMORY_TOKENS;
            if !room {
                // Guards against two runs of an RPC that could not be told from its repeat.
                site.push_back(id, ADVICE, out);
                return Step::End;
            }
            self.kept += 1;
            site.used_kb += self.key_kb;
        }
        out.keep_token(id, span);
        if let Some(rpc) = site.rpcs[id.0 as usize].as_mut() {
            rpc.token_until = Some(until);
        }
        if let Some(old) = held {
            // The newest try is the one whose caller still waits.
            if let Some(old_rpc) = site.rpcs[old.0 as usize].as_mut() {
                (old_rpc.heir, old_rpc.token_until) = (Some(id), None);
            }
            site.push_back(old, Span::ZERO, out);
        }
        Step::Pass
    }

    /// Forgets a token that is no longer needed: it never ran, or its window is over.
    fn forget(&mut self, site: &mut Site, id: RpcId, out: &mut dyn Outlet) {
        if site.rpcs[id.0 as usize].as_mut().is_some_and(|rpc| rpc.token_until.take().is_some()) {
            out.drop_token(id);
            self.kept -= 1;
            site.used_kb -= self.key_kb;
        }
    }
}

/// The four rules, where no other stage keeps them: memory, the drain, a server that stands still.
struct Guard {
    memory_kb: f64,
    grace: Span,
    max_advice: Span,
    noticed: Option<Time>,
    stop: Time,
}

impl Guard {
    fn enter(&mut self, site: &mut Site, id: RpcId, stalled: bool, out: &mut dyn Outlet) -> Step {
        let Some(rpc) = site.get(id) else { return Step::End };
        let late = self.noticed.is_some_and(|noticed| rpc.arrived > noticed + self.grace);
        let leaving = late || site.now + LAST_ANSWERS >= self.stop;
        if leaving || stalled {
            site.push_back(id, self.max_advice, out);
        } else if site.used_kb > self.memory_kb * MEMORY_HOLD {
            site.push_back(id, ADVICE, out);
        } else {
            return Step::Pass;
        }
        Step::End
    }
}

/// What waits for a core, best first, not longer than its limit.
#[derive(Default)]
struct Hold {
    held: Vec<RpcId>,
    wait: Span,
}

impl Hold {
    fn limit(method: &Method) -> Span {
        method.target.share(HOLD_SHARE)
    }

    /// The best that `may` start, leaving out what can't.
    fn best(&self, site: &Site, may: impl Fn(&Rpc) -> bool) -> Option<RpcId> {
        let mut best = None;
        for &id in &self.held {
            let Some(rpc) = site.get(id).filter(|rpc| may(rpc)) else { continue };
            let value = site.value(rpc);
            if best.is_none_or(|(top, _)| value > top) {
                best = Some((value, id));
            }
        }
        best.map(|(_, id)| id)
    }
}

/// How much runs at once.
struct Cores {
    cores: usize,
    limit: usize,
    crowd: f64,
    cold_until: Time,
    cold_speed: f64,
    warm_after: Span,
    moved: Time,
    stalled: bool,
    busy: f64,
}

impl Cores {
    /// Started RPCs that the cores survive should all of them come back from their calls at once.
    fn ceiling(&self, now: Time) -> usize {
        let left = (self.cold_until - now).0 as f64 / self.warm_after.0.max(1) as f64;
        let speed = 1.0 - (1.0 - self.cold_speed) * left.min(1.0);
        let crowd = self.cores as f64 * (1.0 + (self.crowd - 1.0) * speed) * CROWD_USED;
        (crowd as usize).max(1)
    }

    fn room(&self, site: &Site) -> bool {
        let running = site.count(Place::Running);
        let started = running + site.count(Place::Waiting) + site.count(Place::Calling);
        running < self.limit && started < self.ceiling(site.now)
    }

    /// Grows while cores idle and work waits, shrinks back when they don't.
    fn adjust(&mut self, site: &Site, waits: bool, busy: Option<f64>) {
        self.busy = busy.unwrap_or(1.0);
        if waits && self.busy < 0.9 && site.count(Place::Running) >= self.limit {
            self.limit = (self.limit + 1).min(self.cores * 2);
        } else if self.busy > 0.97 && self.limit > self.cores {
            self.limit -= 1;
        }
        if site.count(Place::Running) < self.limit.min(self.cores) {
            self.moved = self.moved.max(site.now - BEAT);
        }
    }
}

/// Calls in hand, and what waits to make one.
struct Bulkhead {
    permits: f64,
    below: Below,
    linger: Span,
    lingering: Vec<Time>,
    waiting: Vec<RpcId>,
    /// Permit time not used yet, for the part of a permit that is left over.
    credit: f64,
    counted: Time,
}

impl Bulkhead {
    /// Abandoned calls may still be in the hands of the dependency and count on.
    fn in_hand(&self, site: &Site) -> usize {
        site.count(Place::Calling) + self.lingering.len()
    }

    fn count(&mut self, site: &Site) {
        let passed = (site.now - self.counted).0 as f64;
        let used = self.in_hand(site) as f64;
        self.credit = (self.credit + (self.permits - used) * passed).min(self.permits * BEAT.0 as f64);
        self.counted = site.now;
        self.lingering.retain(|until| *until > site.now);
    }

    fn room(&mut self, site: &Site) -> bool {
        self.count(site);
        let next = (self.in_hand(site) + 1) as f64;
        next <= self.permits.floor() || (next <= self.permits.ceil() && self.credit >= 0.0)
    }

    fn left(&mut self, site: &Site, abandoned: bool) {
        self.count(site);
        if abandoned && self.linger > Span::ZERO {
            self.lingering.push(site.now + self.linger);
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Breaker {
    Closed,
    Open { until: Time },
    HalfOpen { trial: Option<RpcId> },
}

impl Breaker {
    fn name(&self) -> &'static str {
        match self {
            Breaker::Closed => "closed",
            Breaker::Open { .. } => "open",
            Breaker::HalfOpen { .. } => "half-open",
        }
    }
}

/// The breaker of the one dependency.
struct Circuit {
    state: Breaker,
    window: u32,
    seen: u32,
    cooldown: Span,
    since: Time,
}

impl Circuit {
    fn rate(&self) -> f64 {
        f64::from(self.window.count_ones()) / f64::from(self.seen.max(1))
    }

    fn turn(&mut self, site: &Site, to: Breaker, out: &mut dyn Outlet) {
        out.log(format_args!("breaker {} -> {}, failed {:.2}", self.state.name(), to.name(), self.rate()));
        (self.state, self.since) = (to, site.now);
        if matches!(to, Breaker::Closed) {
            (self.window, self.seen, self.cooldown) = (0, 0, COOLDOWN);
        }
    }

    /// The cooldown left, while open.
    fn shut(&self, now: Time) -> Option<Span> {
        match self.state {
            Breaker::Open { until } if until > now => Some(until - now),
            _ => None,
        }
    }

    /// One trial at a time after the cooldown; others keep waiting meanwhile.
    fn enter(&mut self, site: &Site, id: RpcId, out: &mut dyn Outlet) -> Step {
        match self.state {
            Breaker::Closed => return Step::Pass,
            Breaker::Open { until } if until > site.now => return Step::End,
            Breaker::HalfOpen { trial: Some(_) } => return Step::Keep,
            _ => {}
        }
        self.turn(site, Breaker::HalfOpen { trial: Some(id) }, out);
        Step::Pass
    }

    /// `began`: calls from before the last change of state decide nothing.
    fn result(&mut self, site: &mut Site, id: RpcId, began: Time, failed: bool, out: &mut dyn Outlet) {
        match self.state {
            Breaker::HalfOpen { trial } if trial == Some(id) && !failed => {
                self.turn(site, Breaker::Closed, out)
            }
            Breaker::HalfOpen { trial } if trial == Some(id) => {
                self.cooldown = (self.cooldown * 2).min(COOLDOWN_MOST);
                self.open(site, out);
            }
            Breaker::Closed if began >= self.since => {
                self.window = (self.window << 1 | u32::from(failed)) & ((1 << WINDOW) - 1);
                self.seen = (self.seen + 1).min(WINDOW);
                if self.seen == WINDOW && self.rate() >= TRIP {
                    self.open(site, out);
                }
            }
            _ => {}
        }
    }

    /// Cooldowns vary by a quarter, so that servers which opened together don't try together.
    fn open(&mut self, site: &mut Site, out: &mut dyn Outlet) {
        let part = 0.75 + 0.25 * f64::from(site.chance.generate::<u32>()) / f64::from(u32::MAX);
        self.turn(site, Breaker::Open { until: site.now + self.cooldown.share(part) }, out);
    }

    /// A trial whose RPC ended first decides nothing; the next call is the trial.
    fn lost(&mut self, id: RpcId) {
        if self.state == (Breaker::HalfOpen { trial: Some(id) }) {
            self.state = Breaker::HalfOpen { trial: None };
        }
    }
}

pub struct Server {
    site: Site,
    repeats: Repeats,
    guard: Guard,
    hold: Hold,
    cores: Cores,
    bulkhead: Bulkhead,
    circuit: Circuit,
    advert: Advert,
    callers: f64,
    said: Option<f64>,
    shed: f64,
    advertised: Time,
    halved: Time,
}

impl Server {
    pub fn start(terms: &Terms, seed: u64, now: Time, out: &mut dyn Outlet) -> Server {
        let cores = terms.cores.max(1) as usize;
        let permits = match terms.below {
            Below::Shared(share) if share > 0.0 => share,
            _ => cores as f64,
        };
        let memory_kb = if terms.memory_kb > 0.0 { terms.memory_kb } else { f64::MAX };
        let warm_after = if terms.cold { terms.warm_after } else { Span::ZERO };
        let goal = if terms.goal.iter().sum::<f64>() > 0.0 { terms.goal } else { [1.0, 0.0, 0.0] };
        let site = Site {
            now,
            runs: vec![Histogram::default(); terms.methods.len()],
            asked: vec![Tally::default(); terms.methods.len()],
            methods: terms.methods.clone(),
            tenants: vec![Tally::default(); terms.tenant_rates.len()],
            tenant_rates: terms.tenant_rates.clone(),
            over_share: terms.over_share,
            goal,
            by_work: terms.worth_by_work,
            run_factor: terms.run_factor.max(1.0),
            preemption: terms.preemption,
            tallied: Span::ZERO,
            rpcs: Vec::new(),
            count: [0; 6],
            used_kb: 0.0,
            chance: WyRand::new_seed(seed),
        };
        out.timer(BEAT);
        Server {
            site,
            repeats: Repeats { key_kb: terms.key_kb, kept: 0, room: memory_kb },
            guard: Guard {
                memory_kb,
                grace: terms.drain_grace,
                max_advice: terms.max_advice,
                noticed: None,
                stop: Time(u64::MAX),
            },
            hold: Hold::default(),
            cores: Cores {
                cores,
                limit: cores,
                crowd: terms.survivable_crowd.max(1.0),
                cold_until: now + warm_after,
                cold_speed: terms.cold_speed,
                warm_after,
                moved: now,
                stalled: false,
                busy: 1.0,
            },
            bulkhead: Bulkhead {
                permits,
                below: terms.below,
                linger: if matches!(terms.below, Below::Shared(_)) { terms.linger } else { Span::ZERO },
                lingering: Vec::new(),
                waiting: Vec::new(),
                credit: 0.0,
                counted: now,
            },
            circuit: Circuit { state: Breaker::Closed, window: 0, seen: 0, cooldown: COOLDOWN, since: now },
            advert: terms.advert,
            callers: f64::from(terms.callers.max(1)),
            said: None,
            shed: 0.0,
            advertised: now,
            halved: now,
        }
    }

    pub fn rpc(&mut self, now: Time, arrival: Arrival, out: &mut dyn Outlet) {
        let site = &mut self.site;
        site.now = now;
        let id = arrival.id;
        let method = site.methods[arrival.method];
        let arrived = now - arrival.age;
        let due = arrival.due.unwrap_or(arrived + method.deadline).max(now);
        let rpc = Rpc {
            method: arrival.method,
            tenant: arrival.tenant.filter(|tenant| *tenant < site.tenants.len()),
            arrived,
            due,
            kb: arrival.held_kb,
            work: arrival.work,
            place: Place::Held,
            since: now,
            on_cores: Span::ZERO,
            ran: false,
            answered: false,
            calls: 0,
            token_until: None,
            heir: None,
        };
        if !arrival.retry {
            site.asked[rpc.method].asked += 1.0;
            rpc.tenant.inspect(|tenant| site.tenants[*tenant].asked += 1.0);
        }
        if site.rpcs.len() <= id.0 as usize {
            site.rpcs.resize_with(id.0 as usize + 1, || None);
        }
        site.used_kb += rpc.kb;
        site.count[Place::Held as usize] += 1;
        site.rpcs[id.0 as usize] = Some(rpc);
        let mut step = self.repeats.enter(site, id, arrival.prior, out);
        if matches!(step, Step::Pass) {
            step = self.guard.enter(site, id, self.cores.stalled, out);
        }
        match step {
            Step::Pass => self.hold.held.push(id),
            Step::Keep => {}
            Step::End => self.close(id, out),
        }
        self.pump(out);
    }

    pub fn settled(&mut self, now: Time, id: RpcId, outcome: Outcome, _took: Span, out: &mut dyn Outlet) {
        self.site.now = now;
        let Some(rpc) = self.site.get(id) else { return };
        let (place, method) = (rpc.place, rpc.method);
        if place == Place::Over {
            return;
        }
        if outcome == Outcome::Cancelled && !rpc.answered && place != Place::Replaying {
            // Stopped by us without an answer: paused or back in the hold, still owed.
            return self.abort_now(id, out);
        }
        if place == Place::Calling {
            self.bulkhead.left(&self.site, true);
            self.circuit.lost(id);
        }
        self.site.put(id, Place::Over);
        let site = &mut self.site;
        if place == Place::Running {
            self.cores.moved = now;
        }
        if let Some(rpc) = site.rpcs[id.0 as usize].as_mut() {
            let in_time = now - rpc.arrived <= site.methods[method].target;
            if outcome == Outcome::Ok && place == Place::Running {
                site.runs[method].add(rpc.on_cores);
            }
            if outcome == Outcome::Ok && !rpc.answered && in_time {
                site.asked[method].ok += 1.0;
                rpc.tenant.inspect(|tenant| site.tenants[*tenant].ok += 1.0);
            }
            rpc.answered = true;
        }
        self.close(id, out);
        self.pump(out);
    }

    pub fn needs_call(&mut self, now: Time, id: RpcId, out: &mut dyn Outlet) {
        self.site.now = now;
        self.cores.moved = now;
        let Some(rpc) = self.site.rpcs.get_mut(id.0 as usize).and_then(Option::as_mut) else { return };
        if rpc.place != Place::Running {
            return;
        }
        rpc.calls = 0;
        let answered = rpc.answered;
        self.site.put(id, Place::Waiting);
        if !answered {
            self.bulkhead.waiting.push(id);
        }
        self.pump(out);
    }

    pub fn called(&mut self, now: Time, id: RpcId, outcome: Outcome, took: Span, out: &mut dyn Outlet) {
        self.site.now = now;
        let Some(rpc) = self.site.get(id).filter(|rpc| rpc.place == Place::Calling) else { return };
        let (calls, answered, began) = (rpc.calls, rpc.answered, now - took);
        let method = self.site.methods[rpc.method];
        let ok = outcome == Outcome::Ok;
        self.circuit.result(&mut self.site, id, began, !ok, out);
        self.bulkhead.left(&self.site, outcome == Outcome::TimedOut);
        self.site.put(id, if ok { Place::Running } else { Place::Waiting });
        if !ok && !answered {
            let may = method.effect == Effect::Idempotent || outcome.proves_it_never_ran();
            if may && calls < CALLS_EACH {
                self.bulkhead.waiting.push(id);
            } else {
                self.without_call(id, self.circuit.shut(now).unwrap_or(ADVICE), out);
            }
        }
        self.pump(out);
    }

    pub fn gone(&mut self, now: Time, id: RpcId, out: &mut dyn Outlet) {
        self.site.now = now;
        let Some(rpc) = self.site.rpcs.get_mut(id.0 as usize).and_then(Option::as_mut) else { return };
        rpc.answered = true;
        let (place, effect) = (rpc.place, self.site.methods[rpc.method].effect);
        if place == Place::Running && effect == Effect::Idempotent && self.site.preemption != Preemption::Off
        {
            out.preempt(id);
        }
        self.site.ended(id);
        self.close(id, out);
        self.pump(out);
    }

    pub fn wind_down(&mut self, now: Time, stop: Time, out: &mut dyn Outlet) {
        self.site.now = now;
        (self.guard.noticed, self.guard.stop) = (Some(now), stop);
        out.health(false);
        self.advertise(out);
        self.pump(out);
    }

    pub fn timer(&mut self, now: Time, gauges: Gauges, out: &mut dyn Outlet) {
        let passed = now - self.site.now;
        self.site.now = now;
        self.site.tallied = self.site.tallied + passed.min(BEAT);
        out.timer(BEAT);
        let waits = !self.hold.held.is_empty();
        self.cores.adjust(&self.site, waits, gauges.busy);
        self.watch(out);
        for index in 0..self.site.rpcs.len() {
            self.check(RpcId(index as u32), out);
        }
        if now - self.halved >= HALVE {
            self.halved = now;
            let site = &mut self.site;
            site.tallied = site.tallied.share(0.5);
            site.runs.iter_mut().for_each(|runs| runs.0.iter_mut().for_each(|bin| *bin /= 2));
            for tally in site.asked.iter_mut().chain(&mut site.tenants) {
                (tally.asked, tally.ok) = (tally.asked / 2.0, tally.ok / 2.0);
            }
        }
        if now - self.advertised >= ADVERTISE {
            self.advertised = now;
            self.advertise(out);
        }
        self.pump(out);
    }

    /// Guards against a server that reads and holds but gets nothing done, whatever stopped its cores.
    fn watch(&mut self, out: &mut dyn Outlet) {
        let stalled = self.site.now - self.cores.moved > STALL;
        if stalled != self.cores.stalled {
            self.cores.stalled = stalled;
            out.log(format_args!("cores {}", if stalled { "stand still" } else { "move again" }));
            out.health(!stalled && self.guard.noticed.is_none());
        }
    }

    /// What time has done to one RPC.
    fn check(&mut self, id: RpcId, out: &mut dyn Outlet) {
        let now = self.site.now;
        let Some(rpc) = self.site.get(id) else { return };
        let method = self.site.methods[rpc.method];
        if rpc.place == Place::Over {
            if rpc.token_until.is_none_or(|until| until <= now) {
                self.close(id, out);
            }
            return;
        }
        if rpc.answered {
            return;
        }
        let age = now - rpc.arrived;
        let wasted = method.late == 0.0 && method.effect == Effect::Idempotent && age >= method.target;
        match rpc.place {
            Place::Held if now + LAST_ANSWERS >= self.guard.stop || self.cores.stalled => {
                self.site.push_back(id, self.guard.max_advice, out);
            }
            Place::Held if age >= Hold::limit(&method) || now + EARLY >= rpc.due => {
                self.site.push_back(id, ADVICE, out);
            }
            _ if now + EARLY >= rpc.due || now + LAST_ANSWERS >= self.guard.stop => self.site.abort(id, out),
            Place::Waiting if now - rpc.since >= PERMIT_WAIT => self.without_call(id, PERMIT_ADVICE, out),
            Place::Running if wasted && self.site.preemption != Preemption::Off => {
                self.site.push_back(id, ADVICE, out);
                out.preempt(id);
            }
            Place::Waiting | Place::Calling if wasted => self.site.push_back(id, ADVICE, out),
            _ => return,
        }
        self.close(id, out);
    }

    /// Ends what is over, back through the chain, and lets go of its index once its token is.
    fn close(&mut self, id: RpcId, out: &mut dyn Outlet) {
        let Some(rpc) = self.site.get(id) else { return };
        if rpc.answered || rpc.place != Place::Waiting {
            self.bulkhead.waiting.retain(|waiting| *waiting != id);
        }
        if rpc.place != Place::Over {
            return;
        }
        let keep = rpc.ran && rpc.token_until.is_some_and(|until| until > self.site.now);
        self.hold.held.retain(|held| *held != id);
        if !keep {
            self.repeats.forget(&mut self.site, id, out);
            if self.site.rpcs[id.0 as usize].take().is_some() {
                self.site.count[Place::Over as usize] -= 1;
                out.release(id);
            }
        }
    }

    fn abort_now(&mut self, id: RpcId, out: &mut dyn Outlet) {
        self.site.abort(id, out);
        self.site.put(id, Place::Over);
        self.close(id, out);
        self.pump(out);
    }

    /// The answer instead of a call: the fallback, a quick pushback, or an error for what may have had effect.
    fn without_call(&mut self, id: RpcId, after: Span, out: &mut dyn Outlet) {
        self.bulkhead.waiting.retain(|waiting| *waiting != id);
        let Some(rpc) = self.site.get(id) else { return };
        if self.site.methods[rpc.method].skip > 0.0 {
            out.skip(id);
            self.site.put(id, Place::Running);
        } else {
            self.site.push_back(id, after, out);
        }
    }

    /// Moves on whatever can move: calls first, for they hold memory and permits, then new runs.
    fn pump(&mut self, out: &mut dyn Outlet) {
        while let Some(id) = self.next_caller() {
            if let Some(left) = self.circuit.shut(self.site.now) {
                self.without_call(id, left, out);
                continue;
            }
            if !self.bulkhead.room(&self.site)
                || !matches!(self.circuit.enter(&self.site, id, out), Step::Pass)
            {
                break;
            }
            self.bulkhead.waiting.retain(|waiting| *waiting != id);
            self.site.put(id, Place::Calling);
            if let Some(rpc) = self.site.rpcs[id.0 as usize].as_mut() {
                rpc.calls += 1;
                out.call(id, (rpc.due - self.site.now) - EARLY);
            }
        }
        if self.cores.stalled {
            return;
        }
        while self.cores.room(&self.site) {
            // Guards against work that would only end in front of an open breaker or a long line for permits.
            let blocked = self.circuit.shut(self.site.now).is_some()
                || self.bulkhead.waiting.len() as f64 > self.bulkhead.permits.max(2.0);
            let room_kb = self.guard.memory_kb * MEMORY_RUN - self.site.used_kb;
            let factor = self.site.run_factor - 1.0;
            let methods = &self.site.methods;
            let may = |rpc: &Rpc| {
                let method = &methods[rpc.method];
                rpc.kb * factor <= room_kb && !(blocked && method.calls && method.skip == 0.0)
            };
            let Some(id) = self.hold.best(&self.site, may) else { break };
            self.hold.held.retain(|held| *held != id);
            self.site.put(id, Place::Running);
            if let Some(rpc) = self.site.rpcs[id.0 as usize].as_mut() {
                rpc.ran = true;
            }
            out.admit(id);
        }
    }

    fn next_caller(&self) -> Option<RpcId> {
        let mut best: Option<(f64, RpcId)> = None;
        for &id in &self.bulkhead.waiting {
            let Some(rpc) = self.site.get(id) else { continue };
            let value = self.site.methods[rpc.method].criticality;
            if best.is_none_or(|(top, _)| value > top) {
                best = Some((value, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// The free value: less is asked for while work waits long, nothing while leaving or standing still.
    fn advertise(&mut self, out: &mut dyn Outlet) {
        let site = &self.site;
        let oldest = |id: &RpcId| {
            let rpc = site.get(*id)?;
            Some((site.now - rpc.arrived).0 as f64 / Hold::limit(&site.methods[rpc.method]).0.max(1) as f64)
        };
        let wait = self.hold.held.iter().filter_map(oldest).fold(0.0, f64::max);
        self.shed = (self.shed + if wait > 0.5 { 0.05 } else { -0.05 }).clamp(0.0, 0.9);
        let away = self.guard.noticed.is_some() || self.cores.stalled;
        let open = if away { 0.0 } else { 1.0 - self.shed };
        let value = match self.advert {
            Advert::Off => return,
            Advert::Level => 1.0 - open,
            Advert::Weight => open,
            Advert::Credit => open * self.cores.cores as f64 * 4.0 / self.callers,
        };
        let value = (value * 100.0).round() / 100.0;
        if self.said != Some(value) {
            self.said = Some(value);
            out.advertise(value);
        }
    }
}
