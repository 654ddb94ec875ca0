//! The records that the stages in `choice.rs` share: the RPCs, where each is, and what was measured.
//! Bookkeeping only; nothing is decided here.
use nanorand::WyRand;

use crate::door::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    Held,
    Running,
    /// At a call, without a permit.
    Waiting,
    Calling,
    /// Waits for the result of the RPC that it repeats.
    Replaying,
    Over,
}

pub(crate) struct Rpc {
    pub method: usize,
    pub tenant: Option<usize>,
    pub arrived: Time,
    pub due: Time,
    pub held_kb: f64,
    pub work: Option<Span>,
    pub place: Place,
    /// When it came to its place.
    pub since: Time,
    pub on_cores: Span,
    pub ran: bool,
    pub answered: bool,
    /// Calls made for its present need.
    pub calls: u32,
    pub token_until: Option<Time>,
    /// The try that took its token over.
    pub heir: Option<RpcId>,
}

impl Rpc {
    pub fn kb(&self, place: Place, run_factor: f64) -> f64 {
        match place {
            Place::Held | Place::Replaying => self.held_kb,
            Place::Running | Place::Waiting | Place::Calling => self.held_kb * run_factor,
            Place::Over => 0.0,
        }
    }
}

/// Times in bins that double, from 12.8 ms up.
#[derive(Clone, Default)]
pub(crate) struct Histogram([u32; 12]);

impl Histogram {
    pub fn add(&mut self, span: Span) {
        let bin = (span.0 >> 7).checked_ilog2().map_or(0, |log| log as usize + 1);
        self.0[bin.min(11)] += 8;
    }

    pub fn halve(&mut self) {
        self.0.iter_mut().for_each(|bin| *bin /= 2);
    }

    /// `guess` while nothing was seen.
    pub fn mean(&self, guess: Span) -> Span {
        let seen = |bin: usize| u64::from(self.0[bin]);
        let sum: u64 = (0..12).map(|bin| seen(bin) * (96 << bin)).sum();
        sum.checked_div((0..12).map(seen).sum()).map_or(guess, Span)
    }
}

/// What was asked for and what got its answer in time, of one method or tenant.
#[derive(Clone, Default)]
pub(crate) struct Tally {
    pub asked: f64,
    pub ok: f64,
}

impl Tally {
    pub fn halve(&mut self) {
        (self.asked, self.ok) = (self.asked / 2.0, self.ok / 2.0);
    }
}

pub(crate) struct Site {
    pub now: Time,
    pub methods: Vec<Method>,
    /// Time on the cores of each method's runs.
    pub runs: Vec<Histogram>,
    pub calls: Histogram,
    pub asked: Vec<Tally>,
    pub tenants: Vec<Tally>,
    pub tenant_rates: Vec<f64>,
    /// The time that the tallies cover.
    pub tallied: Span,
    pub over_share: f64,
    pub goal: [f64; 3],
    pub by_work: bool,
    pub run_factor: f64,
    pub may_stop: bool,
    rpcs: Vec<Option<Rpc>>,
    count: [usize; 6],
    pub used_kb: f64,
    pub chance: WyRand,
}

impl Site {
    pub fn new(terms: &Terms, seed: u64, now: Time) -> Site {
        Site {
            now,
            methods: terms.methods.clone(),
            runs: vec![Histogram::default(); terms.methods.len()],
            calls: Histogram::default(),
            asked: vec![Tally::default(); terms.methods.len()],
            tenants: vec![Tally::default(); terms.tenant_rates.len()],
            tenant_rates: terms.tenant_rates.clone(),
            tallied: Span::ZERO,
            over_share: terms.over_share,
            goal: if terms.goal.iter().sum::<f64>() > 0.0 { terms.goal } else { [1.0, 0.0, 0.0] },
            by_work: terms.worth_by_work,
            run_factor: terms.run_factor.max(1.0),
            may_stop: terms.preemption != Preemption::Off,
            rpcs: Vec::new(),
            count: [0; 6],
            used_kb: 0.0,
            chance: WyRand::new_seed(seed),
        }
    }

    pub fn get(&self, id: RpcId) -> Option<&Rpc> {
        self.rpcs.get(id.0 as usize)?.as_ref()
    }

    pub fn get_mut(&mut self, id: RpcId) -> Option<&mut Rpc> {
        self.rpcs.get_mut(id.0 as usize)?.as_mut()
    }

    pub fn ids(&self) -> impl Iterator<Item = RpcId> + use<> {
        (0..self.rpcs.len() as u32).map(RpcId)
    }

    pub fn count(&self, place: Place) -> usize {
        self.count[place as usize]
    }

    /// Begun and not over, on the cores or at a call.
    pub fn started(&self) -> usize {
        self.count(Place::Running) + self.count(Place::Waiting) + self.count(Place::Calling)
    }

    pub fn arrive(&mut self, arrival: &Arrival) {
        let method = &self.methods[arrival.method];
        let arrived = self.now - arrival.age;
        let rpc = Rpc {
            method: arrival.method,
            tenant: arrival.tenant.filter(|tenant| *tenant < self.tenants.len()),
            arrived,
            due: arrival.due.unwrap_or(arrived + method.deadline).max(self.now),
            held_kb: arrival.held_kb,
            work: arrival.work,
            place: Place::Held,
            since: self.now,
            on_cores: Span::ZERO,
            ran: false,
            answered: false,
            calls: 0,
            token_until: None,
            heir: None,
        };
        if !arrival.retry {
            self.asked[rpc.method].asked += 1.0;
            rpc.tenant.inspect(|tenant| self.tenants[*tenant].asked += 1.0);
        }
        self.used_kb += rpc.held_kb;
        self.count[Place::Held as usize] += 1;
        let index = arrival.id.0 as usize;
        if self.rpcs.len() <= index {
            self.rpcs.resize_with(index + 1, || None);
        }
        self.rpcs[index] = Some(rpc);
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
        let more = rpc.kb(place, factor) - rpc.kb(was, factor);
        self.used_kb += more;
        self.count[was as usize] -= 1;
        self.count[place as usize] += 1;
    }

    pub fn remove(&mut self, id: RpcId) -> Option<Rpc> {
        let rpc = self.rpcs.get_mut(id.0 as usize)?.take()?;
        self.used_kb -= rpc.kb(rpc.place, self.run_factor);
        self.count[rpc.place as usize] -= 1;
        Some(rpc)
    }

    pub fn halve(&mut self) {
        self.tallied = self.tallied.share(0.5);
        self.runs.iter_mut().chain([&mut self.calls]).for_each(Histogram::halve);
        self.asked.iter_mut().chain(&mut self.tenants).for_each(Tally::halve);
    }
}
