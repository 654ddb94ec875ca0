//! Execution of RPCs: shared cores, applications, and calls of the dependency.
use coralstep::{Outcome, RpcId, Span, Time};
use coralstep_balancer::AttemptOutcome;
use rand::Rng;

use super::{ABANDONED_RUN_TIMEOUT, Event, Simulation, ticks_from_ms};
use crate::baseline::Policy;
use crate::rules::AnswerKind;

impl Simulation<'_> {
    /// Sends the run to an application.
    pub(super) fn dispatch_to_application(&mut self, at: usize, id: RpcId) {
        let Some(of) = &self.world.applications else {
            return;
        };
        let (now, fails) = (self.now, self.chance.random_range(0.0..1.0) < of.fails);
        let node = &mut self.nodes[at];
        let Some(pool) = node.pool.as_mut() else {
            return;
        };
        pool.record_request();
        let Ok(pick) = pool.start_attempt(Time(now), None) else {
            // No application may take it, so it never ran.
            return self.complete_run(at, id, Outcome::Rejected);
        };
        let app = *pool.key(&pick);
        node.apps[app].0 += 1;
        let (in_flight, hangs) = node.apps[app];
        let crowd = (f64::from(in_flight) / f64::from(of.cores)).max(1.0);
        let speed = node.speed;
        let Some(rpc) = self.rpc(at, id) else { return };
        rpc.pick = Some(pick);
        let took = (rpc.work / speed * crowd).ceil() as u64;
        let life = self.nodes[at].life;
        if !hangs {
            self.push(
                now + took.max(1),
                Event::ApplicationEnded {
                    node: at,
                    life,
                    rpc: id,
                    good: !fails,
                },
            );
        }
    }

    /// Ends the attempt at its application with the outcome `end`.
    pub(super) fn finish_application_attempt(&mut self, at: usize, id: RpcId, end: AttemptOutcome) {
        let now = self.now;
        let Some(pick) = self.rpc(at, id).and_then(|rpc| rpc.pick.take()) else {
            return;
        };
        let node = &mut self.nodes[at];
        if let Some(pool) = node.pool.as_mut() {
            let app = *pool.key(&pick);
            node.apps[app].0 = node.apps[app].0.saturating_sub(1);
            pool.finish_attempt(Time(now), pick, end);
        }
    }

    /// Abandons an attempt whose result nobody waits for. At a hanging application it stays open, like a connection that is never closed.
    pub(super) fn abandon_application_attempt(&mut self, at: usize, id: RpcId) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let life = node.life;
        let Some(pool) = node.pool.as_mut() else {
            return;
        };
        let rpc = node.rpcs.get_mut(id.0 as usize).and_then(Option::as_mut);
        let Some(mut pick) = rpc.and_then(|rpc| rpc.pick.take()) else {
            return;
        };
        let app = *pool.key(&pick);
        if node.apps[app].1 {
            pool.time_out_attempt(Time(now), &mut pick);
            return self.push(
                now + ABANDONED_RUN_TIMEOUT,
                Event::AbandonedAttemptExpired {
                    node: at,
                    life,
                    pick,
                },
            );
        }
        node.apps[app].0 = node.apps[app].0.saturating_sub(1);
        pool.finish_attempt(Time(now), pick, AttemptOutcome::Abandoned);
    }

    pub(super) fn handle_application_result(&mut self, at: usize, id: RpcId, good: bool) {
        if self.rpc(at, id).is_none_or(|rpc| rpc.pick.is_none()) {
            return;
        }
        self.finish_application_attempt(
            at,
            id,
            if good {
                AttemptOutcome::Answered
            } else {
                AttemptOutcome::Failed
            },
        );
        // The application's result, success or failure, is the answer.
        let answered = self.rpc(at, id).is_some_and(|rpc| rpc.answered);
        if good || !answered {
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
        }
        self.complete_run(at, id, if good { Outcome::Ok } else { Outcome::Error });
    }

    /// Puts the next part of the run onto the cores: half of the work before a call, the rest after it.
    pub(super) fn run_next_part(&mut self, at: usize, id: RpcId) {
        let Some(rpc) = self.rpc(at, id) else { return };
        let work = if rpc.calls || rpc.call > 0 || rpc.bare {
            rpc.work / 2.0
        } else {
            rpc.work
        };
        self.advance_service(at);
        let node = &mut self.nodes[at];
        node.jobs.push((id, node.service + work));
        self.schedule_completion(at);
    }

    /// Returns the present speed of a core.
    pub(super) fn core_speed(&self, at: usize) -> f64 {
        let (node, servers) = (&self.nodes[at], &self.world.servers);
        let warm = node.cold.map_or(1.0, |since| {
            let part = (self.now - since) as f64 / ticks_from_ms(servers.warm_ms).max(1) as f64;
            (servers.cold_speed + (1.0 - servers.cold_speed) * part).min(1.0)
        });
        if node.paused {
            0.0
        } else {
            node.speed * warm / node.slow
        }
    }

    /// Returns the service that each job gets per tick.
    pub(super) fn service_rate(&self, at: usize) -> f64 {
        let (node, servers) = (&self.nodes[at], &self.world.servers);
        let (jobs, cores) = (node.jobs.len().max(1) as f64, f64::from(servers.cores));
        // With more jobs than `crowd` per core, total throughput falls.
        let crowd = (servers.crowd * cores / jobs).min(1.0);
        self.core_speed(at) * (cores / jobs).min(1.0) * crowd
    }

    pub(super) fn advance_service(&mut self, at: usize) {
        let rate = self.service_rate(at);
        let node = &mut self.nodes[at];
        node.service += rate * (self.now - node.since) as f64;
        node.since = self.now;
    }

    /// Schedules the completion of the next job at the present service rate.
    pub(super) fn schedule_completion(&mut self, at: usize) {
        let rate = self.service_rate(at);
        let node = &mut self.nodes[at];
        node.version += 1;
        let (version, service) = (node.version, node.service);
        let least = node
            .jobs
            .iter()
            .map(|(_, done)| *done)
            .fold(f64::MAX, f64::min);
        if least < f64::MAX && rate > 0.0 {
            let span = ((least - service).max(0.0) / rate).ceil() as u64;
            self.push(self.now + span, Event::JobsCompleted(at, version));
        }
    }

    pub(super) fn handle_completed_jobs(&mut self, at: usize) {
        self.advance_service(at);
        let node = &mut self.nodes[at];
        let service = node.service + 1e-6;
        let over: Vec<RpcId> = node
            .jobs
            .iter()
            .filter(|(_, done)| *done <= service)
            .map(|(id, _)| *id)
            .collect();
        node.jobs.retain(|(_, done)| *done > service);
        self.schedule_completion(at);
        for id in over {
            let Some(rpc) = self.rpc(at, id) else {
                continue;
            };
            if rpc.calls {
                rpc.calls = false;
                self.with_server(at, |server, now, out| {
                    server.handle_call_needed(now, id, out)
                });
            } else {
                self.handle_answer(at, id, AnswerKind::Ok, None);
                self.complete_run(at, id, Outcome::Ok);
            }
        }
    }

    pub(super) fn start_call(&mut self, at: usize, id: RpcId, patience: Span) {
        let Some(dependency) = &self.world.dependency else {
            return;
        };
        let (now, life) = (self.now, self.nodes[at].life);
        self.calls += 1;
        let crowd = (self.calls as f64 / dependency.capacity.max(1e-9)).max(1.0);
        let usual = dependency.call_ms.draw(&mut self.chance) * self.slow_calls * crowd;
        let fails = self.chance.random_range(0.0..1.0) < dependency.fails;
        let (took, outcome) = match () {
            _ if self.dead || self.nodes[at].way_dead => (10, Outcome::Unreachable),
            // A dependency without capacity answers no call.
            _ if self.hangs
                || self.nodes[at].way_hangs
                || dependency.capacity <= 0.0
                || ticks_from_ms(usual) > patience.0 =>
            {
                (patience.0, Outcome::TimedOut)
            }
            _ if fails => (ticks_from_ms(usual), Outcome::Error),
            _ => (ticks_from_ms(usual), Outcome::Ok),
        };
        let Some(rpc) = self.rpc(at, id) else { return };
        rpc.call += 1;
        let call = rpc.call;
        self.push(
            now + took.max(1),
            Event::CallEnded {
                node: at,
                life,
                rpc: id,
                call,
                outcome,
                began: now,
            },
        );
    }

    pub(super) fn handle_call_result(
        &mut self,
        at: usize,
        id: RpcId,
        outcome: Outcome,
        began: u64,
    ) {
        let took = Span(self.now - began);
        if let Some(rpc) = self.rpc(at, id) {
            rpc.call_failed |= outcome != Outcome::Ok;
        }
        if self.policy == Policy::Sharing {
            self.sharing
                .record_call(at, self.now, outcome != Outcome::Ok);
        }
        self.with_server(at, |server, now, out| {
            server.handle_call_result(now, id, outcome, took, out)
        });
        let answered = self.rpc(at, id).is_some_and(|rpc| rpc.answered);
        if outcome == Outcome::Ok {
            self.run_next_part(at, id);
        } else if self.policy == Policy::NoBreaker {
            // This scheduler is told that every call succeeded, so the failure is handled here.
            if !answered {
                self.handle_answer(at, id, AnswerKind::Aborted, None);
            }
            self.complete_run(at, id, Outcome::Error);
        } else if answered {
            // The RPC was already answered, so the run ends at its call.
            self.complete_run(at, id, Outcome::Cancelled);
        }
    }
}
