//! What runs the RPCs: cores that they share, applications, the calls to the dependency.
use coralstep::{Outcome, RpcId, Span, Time};
use coralstep_balancer::AttemptOutcome;
use rand::Rng;

use super::{Event, STUCK, Sim, ticks};
use crate::baseline::Policy;
use crate::rules::Told;

impl Sim<'_> {
    /// Its run goes to an application.
    pub(super) fn hand_on(&mut self, at: usize, id: RpcId) {
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
            // None may run it: it never ran, and says so.
            return self.settle(at, id, Outcome::Rejected);
        };
        let app = *pool.key(&pick);
        node.apps[app].0 += 1;
        let (in_hand, hangs) = node.apps[app];
        let crowd = (f64::from(in_hand) / f64::from(of.cores)).max(1.0);
        let speed = node.speed;
        let Some(rpc) = self.rpc(at, id) else { return };
        rpc.pick = Some(pick);
        let took = (rpc.work / speed * crowd).ceil() as u64;
        let life = self.nodes[at].life;
        if !hangs {
            self.push(
                now + took.max(1),
                Event::Ran {
                    node: at,
                    life,
                    rpc: id,
                    good: !fails,
                },
            );
        }
    }

    /// An application is done with it, or given up.
    pub(super) fn let_go(&mut self, at: usize, id: RpcId, end: AttemptOutcome) {
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

    /// Nobody waits for it any more. Where its application hangs it stays in its hands, as a connection does that nobody closes.
    pub(super) fn give_up(&mut self, at: usize, id: RpcId) {
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
                now + STUCK,
                Event::LetGo {
                    node: at,
                    life,
                    pick,
                },
            );
        }
        node.apps[app].0 = node.apps[app].0.saturating_sub(1);
        pool.finish_attempt(Time(now), pick, AttemptOutcome::Abandoned);
    }

    pub(super) fn ran(&mut self, at: usize, id: RpcId, good: bool) {
        if self.rpc(at, id).is_none_or(|rpc| rpc.pick.is_none()) {
            return;
        }
        self.let_go(
            at,
            id,
            if good {
                AttemptOutcome::Answered
            } else {
                AttemptOutcome::Failed
            },
        );
        // The application's own word, good or bad, is the answer.
        let answered = self.rpc(at, id).is_some_and(|rpc| rpc.answered);
        if good || !answered {
            self.answer(at, id, if good { Told::Ok } else { Told::Aborted }, None);
        }
        self.settle(at, id, if good { Outcome::Ok } else { Outcome::Error });
    }

    /// Its next part goes onto the cores: half the work before a call, the rest behind it.
    pub(super) fn run(&mut self, at: usize, id: RpcId) {
        let Some(rpc) = self.rpc(at, id) else { return };
        let work = if rpc.calls || rpc.call > 0 || rpc.bare {
            rpc.work / 2.0
        } else {
            rpc.work
        };
        self.advance(at);
        let node = &mut self.nodes[at];
        node.jobs.push((id, node.service + work));
        self.schedule(at);
    }

    /// How fast a core is now.
    pub(super) fn speed(&self, at: usize) -> f64 {
        let (node, servers) = (&self.nodes[at], &self.world.servers);
        let warm = node.cold.map_or(1.0, |since| {
            let part = (self.now - since) as f64 / ticks(servers.warm_ms).max(1) as f64;
            (servers.cold_speed + (1.0 - servers.cold_speed) * part).min(1.0)
        });
        if node.paused {
            0.0
        } else {
            node.speed * warm / node.slow
        }
    }

    /// Service a tick that each job gets now.
    pub(super) fn rate(&self, at: usize) -> f64 {
        let (node, servers) = (&self.nodes[at], &self.world.servers);
        let (jobs, cores) = (node.jobs.len().max(1) as f64, f64::from(servers.cores));
        // Past the crowd less gets done in total.
        let crowd = (servers.crowd * cores / jobs).min(1.0);
        self.speed(at) * (cores / jobs).min(1.0) * crowd
    }

    pub(super) fn advance(&mut self, at: usize) {
        let rate = self.rate(at);
        let node = &mut self.nodes[at];
        node.service += rate * (self.now - node.since) as f64;
        node.since = self.now;
    }

    /// When the next job is done, as things stand.
    pub(super) fn schedule(&mut self, at: usize) {
        let rate = self.rate(at);
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
            self.push(self.now + span, Event::Done(at, version));
        }
    }

    pub(super) fn done(&mut self, at: usize) {
        self.advance(at);
        let node = &mut self.nodes[at];
        let service = node.service + 1e-6;
        let over: Vec<RpcId> = node
            .jobs
            .iter()
            .filter(|(_, done)| *done <= service)
            .map(|(id, _)| *id)
            .collect();
        node.jobs.retain(|(_, done)| *done > service);
        self.schedule(at);
        for id in over {
            let Some(rpc) = self.rpc(at, id) else {
                continue;
            };
            if rpc.calls {
                rpc.calls = false;
                self.tell(at, |server, now, out| server.needs_call(now, id, out));
            } else {
                self.answer(at, id, Told::Ok, None);
                self.settle(at, id, Outcome::Ok);
            }
        }
    }

    pub(super) fn call(&mut self, at: usize, id: RpcId, patience: Span) {
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
            // A dependency of no capacity answers nobody.
            _ if self.hangs
                || self.nodes[at].way_hangs
                || dependency.capacity <= 0.0
                || ticks(usual) > patience.0 =>
            {
                (patience.0, Outcome::TimedOut)
            }
            _ if fails => (ticks(usual), Outcome::Error),
            _ => (ticks(usual), Outcome::Ok),
        };
        let Some(rpc) = self.rpc(at, id) else { return };
        rpc.call += 1;
        let call = rpc.call;
        self.push(
            now + took.max(1),
            Event::Called {
                node: at,
                life,
                rpc: id,
                call,
                outcome,
                began: now,
            },
        );
    }

    pub(super) fn called(&mut self, at: usize, id: RpcId, outcome: Outcome, began: u64) {
        let took = Span(self.now - began);
        if let Some(rpc) = self.rpc(at, id) {
            rpc.call_failed |= outcome != Outcome::Ok;
        }
        if self.policy == Policy::Sharing {
            self.sharing.called(at, self.now, outcome != Outcome::Ok);
        }
        self.tell(at, |server, now, out| {
            server.called(now, id, outcome, took, out)
        });
        let answered = self.rpc(at, id).is_some_and(|rpc| rpc.answered);
        if outcome == Outcome::Ok {
            self.run(at, id);
        } else if self.policy == Policy::NoBreaker {
            // Who thinks that all calls go well leaves the failure to the edge.
            if !answered {
                self.answer(at, id, Told::Aborted, None);
            }
            self.settle(at, id, Outcome::Error);
        } else if answered {
            // Its RPC is over, so the run ends at its call.
            self.settle(at, id, Outcome::Cancelled);
        }
    }
}
