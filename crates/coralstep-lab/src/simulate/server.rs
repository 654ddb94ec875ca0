//! The servers: the real decisions, and what they decide carried out.
use std::collections::HashMap;

use coralstep::{Gauges, Outcome, RpcId, Span, Time};
use coralstep_balancer::{Pool, PoolTerms};
use coralstep_degradation::LevelStateMachine;
use rand::Rng;

use super::{Cheat, Event, Rpc, Sim, terms, ticks};
use crate::acts::{Act, Acts};
use crate::baseline::Decider;
use crate::record::Loss;
use crate::rules::Told;
use crate::world::Effect;

impl Sim<'_> {
    pub(super) fn boot(&mut self, at: usize, cold: bool) {
        let mut acts = Acts::default();
        let seed = self.chance.random();
        let server = Decider::start(
            self.policy,
            &terms(self.world, cold),
            seed,
            Time(self.now),
            &mut acts,
        );
        let (now, list) = (self.now, self.list());
        // What was checked when the world was read starts.
        let levels = self
            .world
            .levels
            .as_ref()
            .and_then(|levels| LevelStateMachine::new(levels, Time(now)).ok());
        let pool = self.world.applications.as_ref().map(|of| {
            let mut pool = Pool::new(
                PoolTerms {
                    each_most: of.each_most,
                    ..PoolTerms::default()
                },
                seed ^ 1,
            );
            pool.set(Time(now), &(0..of.count).collect::<Vec<_>>());
            pool
        });
        let hangs = |at: usize| {
            self.nodes[at]
                .apps
                .iter()
                .map(|app| (0, app.1))
                .collect::<Vec<_>>()
        };
        let apps = match (&self.world.applications, self.nodes[at].apps.is_empty()) {
            (Some(of), true) => vec![(0, false); of.count],
            _ => hangs(at),
        };
        self.unshut(at);
        let node = &mut self.nodes[at];
        node.life += 1;
        node.server = Some(server);
        (node.levels, node.pool, node.apps) = (levels, pool, apps);
        node.cold = cold.then_some(now);
        (node.rpcs, node.free, node.jobs, node.held) = (Vec::new(), Vec::new(), Vec::new(), 0);
        node.tokens = HashMap::new();
        (node.since, node.version) = (now, node.version + 1);
        (node.listed_from, node.unlisted_from) = (if cold { now + list } else { 0 }, u64::MAX);
        self.acts(at, acts);
    }

    /// Lets something happen at a server, and all that follows.
    pub(super) fn tell(&mut self, at: usize, what: impl FnOnce(&mut Decider, Time, &mut Acts)) {
        let (now, mut acts) = (Time(self.now), Acts::default());
        if let Some(server) = self.nodes[at].server.as_mut() {
            what(server, now, &mut acts);
        }
        self.acts(at, acts);
    }

    /// The server's breaker is no longer there, or closed.
    pub(super) fn unshut(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        self.shut -= u32::from(std::mem::take(&mut node.shut));
        self.reduced -= u32::from(std::mem::take(&mut node.reduced));
    }

    pub(super) fn levels(&mut self, at: usize) {
        let now = Time(self.now);
        let node = &mut self.nodes[at];
        let (Some(levels), Some(signals)) = (
            node.levels.as_mut(),
            node.server.as_ref().and_then(Decider::signals),
        ) else {
            return;
        };
        if levels.observe(now, &signals).is_some() {
            let effect = levels.degradation_level();
            let reduced = effect != coralstep::DegradationLevel::default();
            self.reduced -= u32::from(node.reduced);
            self.reduced += u32::from(reduced);
            node.reduced = reduced;
            self.tell(at, |server, now, out| server.level(now, effect, out));
        }
    }

    pub(super) fn rpc(&mut self, at: usize, id: RpcId) -> Option<&mut Rpc> {
        self.nodes[at].rpcs.get_mut(id.0 as usize)?.as_mut()
    }

    pub(super) fn acts(&mut self, at: usize, acts: Acts) {
        for act in acts.0 {
            match act {
                Act::Admit(id) => self.begin(at, id),
                Act::PushBack(..) if self.cheat == Cheat::Silent => {}
                Act::PushBack(id, ..) if self.cheat == Cheat::RunAll => self.begin(at, id),
                Act::PushBack(id, after, last) => {
                    let after = if self.cheat == Cheat::NoAdvice {
                        Span::ZERO
                    } else {
                        after
                    };
                    self.answer(at, id, Told::PushedBack, Some((after, last)));
                }
                Act::Abort(id) if self.cheat == Cheat::PushBackRan => {
                    self.answer(at, id, Told::PushedBack, Some((Span::ms(250), false)));
                }
                Act::Abort(id) => self.answer(at, id, Told::Aborted, None),
                Act::Call(id, patience) => self.call(at, id, patience),
                Act::Skip(id) => {
                    if let Some(rpc) = self.rpc(at, id) {
                        (rpc.bare, rpc.calls) = (true, false);
                    }
                    self.run(at, id);
                }
                Act::Preempt(id) => {
                    self.advance(at);
                    self.nodes[at].jobs.retain(|(job, _)| *job != id);
                    self.schedule(at);
                    self.settle(at, id, Outcome::Cancelled);
                }
                Act::Keep(id) => {
                    let request = self.rpc(at, id).map(|rpc| rpc.request);
                    let token = request
                        .and_then(|request| self.requests[request].as_ref())
                        .map(|request| request.token);
                    token.map(|token| self.nodes[at].tokens.insert(token, id));
                }
                Act::Drop(id) => self.nodes[at].tokens.retain(|_, of| *of != id),
                Act::Replay(id) => self.replay(at, id),
                Act::Release(id) => self.release(at, id),
                Act::Health(good) => {
                    let node = &mut self.nodes[at];
                    let seen = self.now + ticks(self.world.gateways.health_ms);
                    match good {
                        true => (node.listed_from, node.unlisted_from) = (seen, u64::MAX),
                        false => node.unlisted_from = node.unlisted_from.min(seen),
                    }
                }
                Act::Timer(span) => {
                    let node = &mut self.nodes[at];
                    node.beat += 1;
                    let (life, beat) = (node.life, node.beat);
                    self.push(self.now + span.0, Event::Beat(at, life, beat));
                }
                Act::Turn(turn) => {
                    self.day.breaker_turns += 1;
                    let shut = turn.to != coralstep::BreakerState::Closed;
                    self.shut -= u32::from(self.nodes[at].shut);
                    self.shut += u32::from(shut);
                    self.nodes[at].shut = shut;
                }
            }
        }
    }

    pub(super) fn begin(&mut self, at: usize, id: RpcId) {
        let Some(rpc) = self.rpc(at, id) else { return };
        rpc.running = true;
        let (attempt, index) = (rpc.attempt, rpc.request);
        self.nodes[at].held = self.nodes[at].held.saturating_sub(1);
        let token = self.requests[index].as_ref().and_then(|request| {
            let of = &self.world.methods[request.method];
            (of.effect == Effect::Tokened).then(|| (request.token, self.now + ticks(of.window_ms)))
        });
        self.rules.began(self.now, attempt, token);
        if self.cheat == Cheat::Again {
            self.rules.began(self.now, attempt, token);
            self.run(at, id);
        }
        if self.world.applications.is_some() {
            self.hand_on(at, id)
        } else {
            self.run(at, id)
        }
    }

    pub(super) fn settle(&mut self, at: usize, id: RpcId, outcome: Outcome) {
        self.give_up(at, id);
        let Some(rpc) = self.rpc(at, id) else { return };
        rpc.running = false;
        rpc.ended = Some(outcome == Outcome::Ok);
        let waiting = std::mem::take(&mut rpc.waiting);
        self.tell(at, |server, now, out| server.settled(now, id, outcome, out));
        for id in waiting {
            self.replayed(at, id, outcome == Outcome::Ok);
        }
    }

    /// Answers with the result of the RPC that it repeats, now or when there is one.
    pub(super) fn replay(&mut self, at: usize, id: RpcId) {
        let prior = self.rpc(at, id).and_then(|rpc| rpc.prior);
        let ended = prior.and_then(|prior| self.rpc(at, prior)).map(|prior| {
            if prior.ended.is_none() {
                prior.waiting.push(id);
            }
            prior.ended
        });
        match ended {
            Some(None) => {}
            Some(Some(good)) => self.replayed(at, id, good),
            None => self.replayed(at, id, false),
        }
    }

    pub(super) fn replayed(&mut self, at: usize, id: RpcId, good: bool) {
        self.answer(at, id, if good { Told::Ok } else { Told::Aborted }, None);
        let outcome = if good { Outcome::Ok } else { Outcome::Error };
        self.tell(at, |server, now, out| server.settled(now, id, outcome, out));
    }

    pub(super) fn release(&mut self, at: usize, id: RpcId) {
        let Some(rpc) = self.nodes[at]
            .rpcs
            .get_mut(id.0 as usize)
            .and_then(Option::take)
        else {
            return;
        };
        if let Some(prior) = rpc.prior.and_then(|prior| self.rpc(at, prior)) {
            prior.waiting.retain(|waiting| *waiting != id);
        }
        self.rules.over(self.now, rpc.attempt);
        self.nodes[at].free.push(id);
    }

    pub(super) fn beat(&mut self, at: usize) {
        self.advance(at);
        self.schedule(at);
        let (node, servers) = (&self.nodes[at], &self.world.servers);
        let busy = (node.jobs.len() as f64 / f64::from(servers.cores)).min(1.0);
        let running = node.rpcs.iter().flatten().filter(|rpc| rpc.running).count() as f64;
        let memory = (node.held as f64 + running * servers.run_factor) * servers.held_kb
            + node.tokens.len() as f64 * servers.key_kb;
        let (jobs, paused) = (node.jobs.len(), node.paused);
        self.rules.stands(self.now, at, memory, jobs);
        if paused {
            let (life, beat) = (node.life, node.beat);
            return self.push(self.now + 200, Event::Beat(at, life, beat));
        }
        let busy = self.world.applications.is_none().then_some(busy);
        let gauges = Gauges {
            cpu_busy: busy,
            open_connections: None,
        };
        self.tell(at, |server, now, out| server.timer(now, gauges, out));
        // Runs whose RPC was answered at a call end there.
        let ended: Vec<RpcId> = self.nodes[at]
            .rpcs
            .iter()
            .enumerate()
            .filter_map(|(id, rpc)| {
                let rpc = rpc.as_ref()?;
                let on_cores = || {
                    self.nodes[at]
                        .jobs
                        .iter()
                        .any(|(job, _)| job.0 as usize == id)
                };
                (rpc.answered && rpc.running && rpc.ended.is_none() && !on_cores())
                    .then_some(RpcId(id as u32))
            })
            .collect();
        ended
            .into_iter()
            .for_each(|id| self.settle(at, id, Outcome::Cancelled));
    }

    pub(super) fn stop(&mut self, at: usize, crash: bool) {
        self.rules.stopped(self.now, at, crash);
        self.unshut(at);
        let node = &mut self.nodes[at];
        node.server = None;
        (node.life, node.version) = (node.life + 1, node.version + 1);
        node.jobs.clear();
        node.tokens.clear();
        let open: Vec<usize> = node
            .rpcs
            .drain(..)
            .flatten()
            .filter(|rpc| !rpc.answered)
            .map(|rpc| rpc.request)
            .collect();
        node.free.clear();
        for index in open {
            let again = self
                .method(index)
                .is_some_and(|method| method.effect == Effect::Idempotent);
            self.failed(index, at, Loss::Unreached, again);
        }
    }
}
