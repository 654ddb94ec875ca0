//! Event loop: dispatches events in order, samples the fleet ten times a second, and finishes the run.
use coralstep::Time;
use coralstep_balancer::AttemptOutcome;
use rand::Rng;

use super::{Day, Event, ORIGIN, SAMPLE_INTERVAL, Simulation, ticks_from_ms};
use crate::record::{Loss, Record};

impl Simulation<'_> {
    pub(super) fn play(mut self) -> (Day, Record) {
        while let Some((now, event)) = self.queue.pop() {
            self.now = now;
            self.day.events += 1;
            if matches!(event, Event::End) {
                break;
            }
            self.handle_event(event);
        }
        self.finish()
    }

    pub(super) fn push(&mut self, at: u64, event: Event) {
        let tie = self.chance.random();
        self.queue.push(at, tie, event);
    }

    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                self.create_request();
                self.schedule_next_arrival();
            }
            Event::StartAttempt(request) => self.start_attempt(request),
            Event::Timer(node, life, beat) => {
                if self.nodes[node].life == life && self.nodes[node].beat == beat {
                    self.handle_timer(node);
                }
            }
            Event::JobsCompleted(node, version) => {
                if self.nodes[node].version == version {
                    self.handle_completed_jobs(node);
                }
            }
            Event::CallEnded {
                node,
                life,
                rpc,
                call,
                outcome,
                began,
            } => {
                self.calls = self.calls.saturating_sub(1);
                let known = self.nodes[node].life == life;
                let of = self.nodes[node]
                    .rpcs
                    .get(rpc.0 as usize)
                    .and_then(Option::as_ref);
                if known && of.is_some_and(|of| of.call == call) {
                    self.handle_call_result(node, rpc, outcome, began);
                }
            }
            Event::ApplicationEnded {
                node,
                life,
                rpc,
                good,
            } => {
                if self.nodes[node].life == life {
                    self.handle_application_result(node, rpc, good);
                }
            }
            Event::AbandonedAttemptExpired { node, life, pick } => {
                let node = &mut self.nodes[node];
                if let Some(pool) = node.pool.as_mut().filter(|_| node.life == life) {
                    let app = *pool.key(&pick);
                    node.apps[app].0 = node.apps[app].0.saturating_sub(1);
                    pool.finish_attempt(Time(self.now), pick, AttemptOutcome::Interrupted);
                }
            }
            Event::Trouble(at, begins) => self.apply_trouble(at, begins),
            Event::Sample => self.sample(),
            Event::BeginDrain(node) => {
                let stop = self.now + ticks_from_ms(self.world.servers.stop_ms);
                self.rules.record_drain_notice(
                    node,
                    self.now + ticks_from_ms(self.world.servers.grace_ms),
                );
                self.nodes[node].unlisted_from = self.now + self.health_propagation_time();
                self.with_server(node, |server, now, out| {
                    server.begin_drain(now, Time(stop), out)
                });
                let life = self.nodes[node].life;
                self.push(stop, Event::Stop(node, life));
            }
            Event::Stop(node, life) => {
                if self.nodes[node].life == life {
                    self.stop_server(node, false);
                    self.start_server(node, true);
                }
            }
            Event::Restart(node) => {
                if self.nodes[node].server.is_none() {
                    self.start_server(node, true);
                }
            }
            Event::End => {}
        }
    }

    /// Samples the fleet, ten times a second: degradation levels, capacity of cores and dependency, breakers that aren't closed.
    pub(super) fn sample(&mut self) {
        let now = self.now;
        if now >= ORIGIN + ticks_from_ms(self.world.seconds * 1000.0) {
            return;
        }
        let mut possible_work = 0.0;
        let cores = match &self.world.applications {
            Some(of) => of.all_cores(),
            None => f64::from(self.world.servers.cores),
        };
        for at in 0..self.nodes.len() {
            if self.nodes[at].server.is_none() {
                continue;
            }
            let core_fraction = match self.world.applications {
                Some(_) => {
                    self.nodes[at].apps.iter().filter(|app| !app.1).count() as f64
                        / self.nodes[at].apps.len() as f64
                }
                None => self.core_speed(at),
            };
            possible_work += core_fraction * cores * SAMPLE_INTERVAL as f64 / 10.0;
            if self.nodes[at].levels.is_some() {
                self.update_degradation_level(at);
            }
        }
        if self.policy == crate::baseline::Policy::Sharing {
            self.exchange_health_reports();
        }
        let mut calls = 0.0;
        if let Some(of) = &self.world.dependency
            && !self.hangs
            && !self.dead
        {
            calls = of.capacity / (of.call_ms.mean() * self.slow_calls).max(0.1)
                * SAMPLE_INTERVAL as f64
                / 10.0;
        }
        let at = self.record.slice_index(now - ORIGIN);
        let slice = &mut self.record.slices[at];
        slice.capacity += possible_work;
        slice.calls += calls;
        slice.breakers = slice.breakers.max(self.shut);
        slice.reduced = slice.reduced.max(self.reduced);
        self.push(now + SAMPLE_INTERVAL, Event::Sample);
    }

    pub(super) fn update_trace(&mut self, what: u64) {
        self.day.trace = (self.day.trace ^ what)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(23);
    }

    pub(super) fn finish(mut self) -> (Day, Record) {
        self.rules.finish(self.now);
        self.record.finish();
        for request in self.requests.iter().flatten() {
            let worth = self.world.methods[request.method].criticality;
            self.record
                .record_partial_loss(request.method, Loss::Open, worth);
        }
        let ms = |quantile: f64| self.took.value_at_quantile(quantile) as f64 / 10.0;
        if !self.took.is_empty() {
            (self.day.p50_ms, self.day.p99_ms) = (ms(0.5), ms(0.99));
        }
        self.day.open = self.requests.iter().flatten().count() as u64;
        self.day.kept = if self.asked > 0.0 {
            self.good / self.asked
        } else {
            1.0
        };
        self.day.breaches = self.rules.count;
        self.day.by_rule = self
            .rules
            .by_rule
            .iter()
            .map(|(rule, count)| (format!("{rule:?}"), *count))
            .collect();
        self.day.told = self
            .rules
            .breaches
            .iter()
            .map(ToString::to_string)
            .collect();
        (self.day, self.record)
    }
}
