//! Simulated servers: drive the real scheduler and carry out its actions.
use std::collections::HashMap;

use coralstep::{Gauges, Outcome, RpcId, Span, Time};
use coralstep_balancer::{Pool, PoolConfig};
use coralstep_degradation::LevelStateMachine;
use rand::Rng;

use super::{Defect, Event, Rpc, Simulation, scheduler_config, ticks_from_ms};
use crate::acts::{Action, RecordedActions};
use crate::baseline::ServerScheduler;
use crate::record::Loss;
use crate::rules::AnswerKind;
use crate::world::Effect;

impl Simulation<'_> {
    pub(super) fn start_server(&mut self, at: usize, cold: bool) {
        let mut acts = RecordedActions::default();
        let seed = self.chance.random();
        let server = ServerScheduler::start(
            self.policy,
            &scheduler_config(self.world, cold),
            seed,
            Time(self.now),
            &mut acts,
        );
        let (now, list) = (self.now, self.health_propagation_time());
        // The levels were validated when the world was read, so this doesn't fail.
        let levels = self
            .world
            .levels
            .as_ref()
            .and_then(|levels| LevelStateMachine::new(levels, Time(now)).ok());
        let pool = self.world.applications.as_ref().map(|of| {
            let mut pool = Pool::new(
                PoolConfig {
                    max_in_flight: of.each_most,
                    ..PoolConfig::default()
                },
                seed ^ 1,
            );
            pool.set_applications(Time(now), &(0..of.count).collect::<Vec<_>>());
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
        self.reset_breaker_and_level_counts(at);
        let node = &mut self.nodes[at];
        node.life += 1;
        node.server = Some(server);
        (node.levels, node.pool, node.apps) = (levels, pool, apps);
        node.cold = cold.then_some(now);
        (node.rpcs, node.free, node.jobs, node.held) = (Vec::new(), Vec::new(), Vec::new(), 0);
        node.tokens = HashMap::new();
        (node.since, node.version) = (now, node.version + 1);
        (node.listed_from, node.unlisted_from) = (if cold { now + list } else { 0 }, u64::MAX);
        self.apply_actions(at, acts);
    }

    /// Passes an input to a server's scheduler and carries out the resulting actions.
    pub(super) fn with_server(
        &mut self,
        at: usize,
        what: impl FnOnce(&mut ServerScheduler, Time, &mut RecordedActions),
    ) {
        let (now, mut acts) = (Time(self.now), RecordedActions::default());
        if let Some(server) = self.nodes[at].server.as_mut() {
            what(server, now, &mut acts);
        }
        self.apply_actions(at, acts);
    }

    /// Takes a server out of the counts of breakers that aren't closed and of degraded servers.
    pub(super) fn reset_breaker_and_level_counts(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        self.shut -= u32::from(std::mem::take(&mut node.shut));
        self.reduced -= u32::from(std::mem::take(&mut node.reduced));
    }

    pub(super) fn update_degradation_level(&mut self, at: usize) {
        let now = Time(self.now);
        let node = &mut self.nodes[at];
        let (Some(levels), Some(signals)) = (
            node.levels.as_mut(),
            node.server.as_ref().and_then(ServerScheduler::signals),
        ) else {
            return;
        };
        if levels.observe(now, &signals).is_some() {
            let effect = levels.degradation_level();
            let reduced = effect != coralstep::DegradationLevel::default();
            self.reduced -= u32::from(node.reduced);
            self.reduced += u32::from(reduced);
            node.reduced = reduced;
            self.with_server(at, |server, now, out| {
                server.set_degradation(now, effect, out)
            });
        }
    }

    pub(super) fn rpc(&mut self, at: usize, id: RpcId) -> Option<&mut Rpc> {
        self.nodes[at].rpcs.get_mut(id.0 as usize)?.as_mut()
    }

    pub(super) fn apply_actions(&mut self, at: usize, acts: RecordedActions) {
        for act in acts.0 {
            match act {
                Action::Admit(id) => self.start_run(at, id),
                Action::Reject(..) if self.defect == Defect::Silent => {}
                Action::Reject(id, ..) if self.defect == Defect::RunAll => self.start_run(at, id),
                Action::Reject(id, after, last) => {
                    let after = if self.defect == Defect::NoAdvice {
                        Span::ZERO
                    } else {
                        after
                    };
                    self.handle_answer(at, id, AnswerKind::PushedBack, Some((after, last)));
                }
                Action::Fail(id) if self.defect == Defect::PushBackRan => {
                    self.handle_answer(
                        at,
                        id,
                        AnswerKind::PushedBack,
                        Some((Span::ms(250), false)),
                    );
                }
                Action::Fail(id) => self.handle_answer(at, id, AnswerKind::Aborted, None),
                Action::Call(id, patience) => self.start_call(at, id, patience),
                Action::SkipCall(id) => {
                    if let Some(rpc) = self.rpc(at, id) {
                        (rpc.bare, rpc.calls) = (true, false);
                    }
                    self.run_next_part(at, id);
                }
                Action::Preempt(id) => {
                    self.advance_service(at);
                    self.nodes[at].jobs.retain(|(job, _)| *job != id);
                    self.schedule_completion(at);
                    self.complete_run(at, id, Outcome::Cancelled);
                }
                Action::RetainKey(id) => {
                    let request = self.rpc(at, id).map(|rpc| rpc.request);
                    let token = request
                        .and_then(|request| self.requests[request].as_ref())
                        .map(|request| request.token);
                    token.map(|token| self.nodes[at].tokens.insert(token, id));
                }
                Action::ReleaseKey(id) => self.nodes[at].tokens.retain(|_, of| *of != id),
                Action::Replay(id) => self.replay_result(at, id),
                Action::ReleaseId(id) => self.release_rpc(at, id),
                Action::SetHealth(good) => {
                    let node = &mut self.nodes[at];
                    let seen = self.now + ticks_from_ms(self.world.gateways.health_ms);
                    match good {
                        true => (node.listed_from, node.unlisted_from) = (seen, u64::MAX),
                        false => node.unlisted_from = node.unlisted_from.min(seen),
                    }
                }
                Action::SetTimer(span) => {
                    let node = &mut self.nodes[at];
                    node.beat += 1;
                    let (life, beat) = (node.life, node.beat);
                    self.push(self.now + span.0, Event::Timer(at, life, beat));
                }
                Action::BreakerTransition(turn) => {
                    self.day.breaker_turns += 1;
                    let shut = turn.to != coralstep::BreakerState::Closed;
                    self.shut -= u32::from(self.nodes[at].shut);
                    self.shut += u32::from(shut);
                    self.nodes[at].shut = shut;
                }
            }
        }
    }

    pub(super) fn start_run(&mut self, at: usize, id: RpcId) {
        let Some(rpc) = self.rpc(at, id) else { return };
        rpc.running = true;
        let (attempt, index) = (rpc.attempt, rpc.request);
        self.nodes[at].held = self.nodes[at].held.saturating_sub(1);
        let token = self.requests[index].as_ref().and_then(|request| {
            let of = &self.world.methods[request.method];
            (of.effect == Effect::Tokened)
                .then(|| (request.token, self.now + ticks_from_ms(of.window_ms)))
        });
        self.rules.record_start(self.now, attempt, token);
        if self.defect == Defect::Again {
            self.rules.record_start(self.now, attempt, token);
            self.run_next_part(at, id);
        }
        if self.world.applications.is_some() {
            self.dispatch_to_application(at, id)
        } else {
            self.run_next_part(at, id)
        }
    }

    pub(super) fn complete_run(&mut self, at: usize, id: RpcId, outcome: Outcome) {
        self.abandon_application_attempt(at, id);
        let Some(rpc) = self.rpc(at, id) else { return };
        rpc.running = false;
        rpc.ended = Some(outcome == Outcome::Ok);
        let waiting = std::mem::take(&mut rpc.waiting);
        self.with_server(at, |server, now, out| {
            server.handle_completion(now, id, outcome, out)
        });
        for id in waiting {
            self.answer_replay(at, id, outcome == Outcome::Ok);
        }
    }

    /// Answers a retry with the result of the earlier attempt, now or as soon as there is one.
    pub(super) fn replay_result(&mut self, at: usize, id: RpcId) {
        let prior = self.rpc(at, id).and_then(|rpc| rpc.prior);
        let ended = prior.and_then(|prior| self.rpc(at, prior)).map(|prior| {
            if prior.ended.is_none() {
                prior.waiting.push(id);
            }
            prior.ended
        });
        match ended {
            Some(None) => {}
            Some(Some(good)) => self.answer_replay(at, id, good),
            None => self.answer_replay(at, id, false),
        }
    }

    pub(super) fn answer_replay(&mut self, at: usize, id: RpcId, good: bool) {
        self.handle_answer(
            at,
            id,
            if good {
                AnswerKind::Ok
            } else {
                AnswerKind::Aborted
            },
            None,
        );
        let outcome = if good { Outcome::Ok } else { Outcome::Error };
        self.with_server(at, |server, now, out| {
            server.handle_completion(now, id, outcome, out)
        });
    }

    pub(super) fn release_rpc(&mut self, at: usize, id: RpcId) {
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
        self.rules.record_release(self.now, rpc.attempt);
        self.nodes[at].free.push(id);
    }

    pub(super) fn handle_timer(&mut self, at: usize) {
        self.advance_service(at);
        self.schedule_completion(at);
        let (node, servers) = (&self.nodes[at], &self.world.servers);
        let busy = (node.jobs.len() as f64 / f64::from(servers.cores)).min(1.0);
        let running = node.rpcs.iter().flatten().filter(|rpc| rpc.running).count() as f64;
        let memory = (node.held as f64 + running * servers.run_factor) * servers.held_kb
            + node.tokens.len() as f64 * servers.key_kb;
        let (jobs, paused) = (node.jobs.len(), node.paused);
        self.rules.record_usage(self.now, at, memory, jobs);
        if paused {
            let (life, beat) = (node.life, node.beat);
            return self.push(self.now + 200, Event::Timer(at, life, beat));
        }
        let busy = self.world.applications.is_none().then_some(busy);
        let gauges = Gauges {
            cpu_busy: busy,
            open_connections: None,
        };
        self.with_server(at, |server, now, out| {
            server.handle_timeout(now, gauges, out)
        });
        // A run whose RPC was answered while it waited for a call ends there.
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
            .for_each(|id| self.complete_run(at, id, Outcome::Cancelled));
    }

    pub(super) fn stop_server(&mut self, at: usize, crash: bool) {
        self.rules.record_stop(self.now, at, crash);
        self.reset_breaker_and_level_counts(at);
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
                .method_of(index)
                .is_some_and(|method| method.effect == Effect::Idempotent);
            self.handle_failed_attempt(index, at, Loss::Unreached, again);
        }
    }
}
