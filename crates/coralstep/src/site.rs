//! The records that the stages in `choice.rs` share: the RPCs, where each is, and what was measured.
//! Bookkeeping only; nothing is decided here.
use nanorand::WyRand;

use crate::config::*;
use crate::constants::PERMIT_LINE;
use crate::degradation::DegradationLevel;
use crate::request::*;
use crate::time::*;

/// Versions of the settings that RPCs here may have been read under: more come only if several change within one deadline.
const VERSIONS: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    Held,
    Running,
    /// At a call, without a permit.
    Waiting,
    Calling,
    /// Waits for the result of the RPC that it repeats.
    Replaying,
    /// Begun, answered, and without an end for too long: its place is made good, all else is counted on.
    Lost,
    /// Begun, answered, and without an end at a call that is over: nobody feeds it any more, so it can't come back to the cores.
    Stranded,
    Over,
}

#[derive(Debug)]
pub(crate) struct Rpc {
    pub method: usize,
    pub tenant: Option<usize>,
    pub arrived: Time,
    pub due: Time,
    pub held_kb: f64,
    pub retry: bool,
    pub place: Place,
    /// When it came to its place.
    pub since: Time,
    pub on_cores: Span,
    pub ran: bool,
    pub answered: bool,
    pub answered_at: Time,
    /// When its run was last asked after; its answer counts as the first time.
    pub asked_at: Time,
    /// Until when its call is waited for.
    pub patience: Time,
    /// Its own time ran out while it was at its call.
    pub overran: bool,
    /// Calls made for its present need.
    pub calls: u32,
    pub token_until: Option<Time>,
    /// The settings' version that it was read under.
    pub version: u32,
    /// The try that took its token over.
    pub heir: Option<RpcId>,
}

impl Rpc {
    pub fn kb(&self, place: Place, run_factor: f64) -> f64 {
        match place {
            Place::Held | Place::Replaying => self.held_kb,
            Place::Running | Place::Waiting | Place::Calling | Place::Lost | Place::Stranded => {
                self.held_kb * run_factor
            }
            Place::Over => 0.0,
        }
    }
}

/// Times in bins that double, from 12.8 ms up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Histogram([u32; 12]);

impl Histogram {
    pub fn of(bins: [u32; 12]) -> Histogram {
        Histogram(bins)
    }

    pub fn bins(&self) -> [u32; 12] {
        self.0
    }

    pub fn add(&mut self, span: Span) {
        let bin = (span.0 >> 7)
            .checked_ilog2()
            .map_or(0, |log| log as usize + 1);
        self.0[bin.min(11)] += 8;
    }

    pub fn halve(&mut self) {
        self.0.iter_mut().for_each(|bin| *bin /= 2);
    }

    /// Halves itself where it holds more than `most`.
    pub fn fade(&mut self, most: u64) {
        if self.count() > most {
            self.halve();
        }
    }

    pub fn count(&self) -> u64 {
        self.0.iter().map(|bin| u64::from(*bin)).sum::<u64>() / 8
    }

    /// The bin of the middle one; `guess` while nothing was seen.
    pub fn middle(&self, guess: Span) -> Span {
        let half = self.0.iter().sum::<u32>().div_ceil(2);
        let mut seen = 0;
        let bin = self.0.iter().position(|bin| {
            seen += bin;
            seen >= half.max(1)
        });
        bin.map_or(guess, |bin| Span(96 << bin))
    }

    /// `guess` while nothing was seen.
    pub fn mean(&self, guess: Span) -> Span {
        let seen = |bin: usize| u64::from(self.0[bin]);
        let sum: u64 = (0..12).map(|bin| seen(bin) * (96 << bin)).sum();
        sum.checked_div((0..12).map(seen).sum()).map_or(guess, Span)
    }
}

/// What was asked for and what got its answer in time, of one method or tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub asked: f64,
    pub ok: f64,
}

impl Tally {
    /// The part served in time; all of it before anything was asked.
    pub fn service(&self) -> f64 {
        (self.ok + 1.0) / (self.asked + 1.0)
    }

    pub fn halve(&mut self) {
        (self.asked, self.ok) = (self.asked / 2.0, self.ok / 2.0);
    }
}

/// Calls in hand, and the permit time that they use.
#[derive(Debug, Default)]
pub(crate) struct Hand {
    linger: Span,
    lingering: Vec<Time>,
    /// Permit time not used yet, in permits x ticks.
    pub credit: f64,
    counted: Time,
}

impl Hand {
    /// `linger`: how long the dependency may keep a call that was given up.
    pub fn new(linger: Span, now: Time) -> Hand {
        Hand {
            linger,
            counted: now,
            ..Hand::default()
        }
    }

    /// Abandoned calls may still be in the hands of the dependency and count on.
    pub fn count(&mut self, site: &Site, permits: f64) -> f64 {
        let in_hand = (site.count(Place::Calling) + self.lingering.len()) as f64;
        let more = (permits - in_hand) * (site.now - self.counted).0 as f64;
        self.credit = (self.credit + more).min(permits * PERMIT_LINE.0 as f64);
        self.counted = site.now;
        self.lingering.retain(|until| *until > site.now);
        in_hand
    }

    pub fn left(&mut self, site: &Site, permits: f64, abandoned: bool) {
        self.count(site, permits);
        if abandoned && self.linger > Span::ZERO {
            self.lingering.push(site.now + self.linger);
        }
    }
}

#[derive(Debug)]
pub(crate) struct Site {
    pub now: Time,
    pub methods: Vec<Method>,
    /// Time on the cores of each method's runs.
    pub runs: Vec<Histogram>,
    pub calls: Histogram,
    /// When a call last ended.
    pub called: Time,
    /// The level of reduced service that holds.
    pub level: DegradationLevel,
    /// The version of the settings, and the last level under each of those before it.
    version: u32,
    before: [DegradationLevel; VERSIONS],
    /// How long RPCs waited unread.
    pub reads: Histogram,
    pub asked: Vec<Tally>,
    pub tenants: Vec<Tally>,
    pub tenant_rates: Vec<f64>,
    pub fleet: f64,
    /// Tries read of late, and begun.
    pub tries: Tally,
    /// Since when the tallies count.
    pub tallied: Time,
    pub over_share: f64,
    pub goal: GoalWeights,
    pub by_work: bool,
    pub run_factor: f64,
    pub may_stop: bool,
    pub cores: usize,
    /// Only this server is in trouble, as far as it can tell.
    pub alone: bool,
    rpcs: Vec<Option<Rpc>>,
    /// All that are not removed.
    pub live: Vec<RpcId>,
    count: [usize; 8],
    pub used_kb: f64,
    pub memory_kb: f64,
    pub chance: WyRand,
}

impl Site {
    pub fn new(terms: &SchedulerConfig, seed: u64, now: Time) -> Site {
        Site {
            now,
            methods: terms.methods.clone(),
            runs: vec![Histogram::default(); terms.methods.len()],
            calls: Histogram::default(),
            called: now,
            level: DegradationLevel::default(),
            version: 0,
            before: [DegradationLevel::default(); VERSIONS],
            reads: Histogram::default(),
            asked: vec![Tally::default(); terms.methods.len()],
            tenants: vec![Tally::default(); terms.tenant_quotas.len()],
            tries: Tally::default(),
            tenant_rates: terms.tenant_quotas.clone(),
            fleet: f64::from(terms.fleet_size.max(1)),
            tallied: now,
            over_share: terms.over_quota_weight,
            goal: terms.goal.or_overall(),
            by_work: terms.weight_per_work,
            run_factor: terms.run_memory_factor.max(1.0),
            alone: terms.warming_up,
            cores: terms.cores.max(1) as usize,
            may_stop: terms.preemption != Preemption::Off,
            rpcs: Vec::new(),
            live: Vec::new(),
            count: [0; 8],
            used_kb: 0.0,
            memory_kb: if terms.memory_kb > 0.0 {
                terms.memory_kb
            } else {
                f64::MAX
            },
            chance: WyRand::new_seed(seed),
        }
    }

    pub fn get(&self, id: RpcId) -> Option<&Rpc> {
        self.rpcs.get(id.0 as usize)?.as_ref()
    }

    pub fn get_mut(&mut self, id: RpcId) -> Option<&mut Rpc> {
        self.rpcs.get_mut(id.0 as usize)?.as_mut()
    }

    pub fn count(&self, place: Place) -> usize {
        self.count[place as usize]
    }

    pub fn method(&self, rpc: &Rpc) -> Method {
        self.methods[rpc.method]
    }

    /// The level that an RPC is decided under, from read to answer: that of the version it was read under. One that is out for every
    /// RPC holds for all.
    pub fn under(&self, rpc: &Rpc) -> &DegradationLevel {
        if rpc.version == self.version || self.level.fenced {
            return &self.level;
        }
        &self.before[rpc.version as usize % VERSIONS]
    }

    /// Another version of the settings holds from now on.
    pub fn versioned(&mut self) {
        self.before[self.version as usize % VERSIONS] = if self.level.fenced {
            DegradationLevel::default()
        } else {
            self.level
        };
        self.version = self.version.wrapping_add(1);
    }

    /// The try that `prior` stands for now.
    pub fn latest(&self, mut prior: EarlierAttempt) -> EarlierAttempt {
        while let EarlierAttempt::Known(old) = prior {
            match self.get(old).map(|old| (old.ran, old.heir)) {
                Some((false, Some(heir))) => prior = EarlierAttempt::Known(heir),
                Some(_) => break,
                None => prior = EarlierAttempt::Forgotten,
            }
        }
        prior
    }

    /// All at `place` that nobody has answered, as they came.
    pub fn at(&self, place: Place) -> impl Iterator<Item = (RpcId, &Rpc)> {
        let all = self
            .live
            .iter()
            .filter_map(|id| Some((*id, self.get(*id)?)));
        all.filter(move |(_, rpc)| rpc.place == place && !rpc.answered)
    }

    /// Begun RPCs that may have to call and have not done so. Those with an answer count on, for they still use the cores
    /// (without them the burst days lose 0.07); lost ones don't.
    pub fn before_calls(&self) -> usize {
        let before =
            |rpc: &Rpc| rpc.calls == 0 && matches!(rpc.place, Place::Running | Place::Waiting);
        let must = |rpc: &Rpc| self.method(rpc).calls && self.method(rpc).skip_value == 0.0;
        self.live
            .iter()
            .filter_map(|id| self.get(*id))
            .filter(|rpc| before(rpc) && must(rpc))
            .count()
    }

    /// Begun RPCs that must call and stand before or at their call.
    pub fn at_calls(&self) -> usize {
        let must = |rpc: &&Rpc| self.method(rpc).calls && self.method(rpc).skip_value == 0.0;
        let at = |rpc: &&Rpc| match rpc.place {
            Place::Running => rpc.calls == 0,
            place => matches!(place, Place::Waiting | Place::Calling),
        };
        self.live
            .iter()
            .filter_map(|id| self.get(*id))
            .filter(must)
            .filter(at)
            .count()
    }

    /// Begun and not over, on the cores or at a call; lost ones may still be on the cores, stranded ones can't.
    pub fn started(&self) -> usize {
        [Place::Running, Place::Waiting, Place::Calling, Place::Lost]
            .map(|place| self.count(place))
            .iter()
            .sum()
    }

    pub fn arrive(&mut self, arrival: &Request) {
        let method = &self.methods[arrival.method];
        let arrived = self.now - arrival.age;
        let rpc = Rpc {
            method: arrival.method,
            tenant: arrival.tenant.filter(|tenant| *tenant < self.tenants.len()),
            arrived,
            due: arrival
                .deadline
                .unwrap_or(arrived + method.deadline)
                .max(self.now),
            held_kb: arrival.queued_kb,
            retry: arrival.is_retry,
            place: Place::Held,
            since: self.now,
            on_cores: Span::ZERO,
            ran: false,
            answered: false,
            answered_at: self.now,
            asked_at: self.now,
            patience: self.now,
            overran: false,
            calls: 0,
            token_until: None,
            version: self.version,
            heir: None,
        };
        if !arrival.is_retry {
            self.asked[rpc.method].asked += 1.0;
            rpc.tenant
                .inspect(|tenant| self.tenants[*tenant].asked += 1.0);
        }
        self.tries.asked += 1.0;
        if !arrival.untrusted_age {
            self.reads.add(arrival.age);
        }
        self.used_kb += rpc.held_kb;
        self.count[Place::Held as usize] += 1;
        let index = arrival.id.0 as usize;
        if self.rpcs.len() <= index {
            self.rpcs.resize_with(index + 1, || None);
        }
        self.rpcs[index] = Some(rpc);
        self.live.push(arrival.id);
    }

    /// Notes its token, and that it stands for an earlier try.
    pub fn kept(&mut self, id: RpcId, until: Time, earlier: Option<RpcId>) {
        if let Some(rpc) = self.get_mut(id) {
            rpc.token_until = Some(until);
        }
        if let Some(earlier) = earlier.and_then(|earlier| self.get_mut(earlier)) {
            earlier.heir = Some(id);
        }
    }

    /// Moves an RPC; all counts follow.
    pub fn put(&mut self, id: RpcId, place: Place) {
        let (now, factor) = (self.now, self.run_factor);
        let Some(rpc) = self.get_mut(id) else { return };
        let was = rpc.place;
        if was == Place::Running {
            rpc.on_cores = rpc.on_cores + (now - rpc.since);
        }
        (rpc.place, rpc.since) = (place, now);
        rpc.ran |= place == Place::Running;
        rpc.calls += u32::from(place == Place::Calling);
        let more = rpc.kb(place, factor) - rpc.kb(was, factor);
        self.used_kb += more;
        self.count[was as usize] -= 1;
        self.count[place as usize] += 1;
    }

    pub fn call_took(&mut self, took: Span) {
        self.calls.add(took);
        self.called = self.now;
    }

    pub fn never_ran(&mut self, id: RpcId) {
        if let Some(rpc) = self.get_mut(id) {
            rpc.ran = false;
        }
    }

    /// Lets `answer` answer it, for its own time has run out at its call.
    pub fn overrun(&mut self, id: RpcId, answer: impl FnOnce(&mut Site)) {
        if let Some(rpc) = self.get_mut(id) {
            rpc.overran = true;
        }
        answer(self);
    }

    /// Its call is waited for so long.
    pub fn patience(&mut self, id: RpcId, span: Span) {
        let until = self.now + span;
        if let Some(rpc) = self.get_mut(id) {
            rpc.patience = until;
        }
    }

    /// Held work is over with its answer; started work only when it settles.
    pub fn answered(&mut self, id: RpcId) {
        let now = self.now;
        let Some(rpc) = self.get_mut(id) else { return };
        if !rpc.answered {
            (rpc.answered, rpc.answered_at, rpc.asked_at) = (true, now, now);
        }
        if matches!(rpc.place, Place::Held | Place::Replaying) {
            self.put(id, Place::Over);
        }
    }

    pub fn remove(&mut self, id: RpcId) -> Option<Rpc> {
        let rpc = self.rpcs.get_mut(id.0 as usize)?.take()?;
        self.live.retain(|live| *live != id);
        self.used_kb -= rpc.kb(rpc.place, self.run_factor);
        self.count[rpc.place as usize] -= 1;
        Some(rpc)
    }

    /// Counts an end at `place`, where it was a good one.
    pub fn record(&mut self, id: RpcId, place: Place, outcome: Outcome) {
        let Some(rpc) = self.get(id).filter(|_| outcome == Outcome::Ok) else {
            return;
        };
        let (method, tenant, took) = (rpc.method, rpc.tenant, rpc.on_cores);
        let in_time = !rpc.answered && self.now - rpc.arrived <= self.method(rpc).latency_objective;
        if place == Place::Running {
            self.runs[method].add(took);
        }
        if in_time {
            self.asked[method].ok += 1.0;
            tenant.inspect(|tenant| self.tenants[*tenant].ok += 1.0);
        }
    }

    pub fn halve(&mut self) {
        self.tallied = self.now - (self.now - self.tallied).scaled(0.5);
        self.reads.halve();
        self.runs.iter_mut().for_each(Histogram::halve);
        self.asked
            .iter_mut()
            .chain(&mut self.tenants)
            .for_each(Tally::halve);
    }
}

/// The one with the greatest value; the first of several.
pub(crate) fn greatest(values: impl Iterator<Item = (f64, RpcId)>) -> Option<RpcId> {
    values
        .reduce(|best, next| if next.0 > best.0 { next } else { best })
        .map(|(_, id)| id)
}
