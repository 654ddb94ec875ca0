//! Gateways: requests arrive, and attempts are sent and retried according to their answers.
use coralstep::{EarlierAttempt, RpcId, Span};
use rand::Rng;
use rand_distr::Distribution;

use super::{Event, ORIGIN, Request, Rpc, SUBJECTS, Simulation, ticks_from_ms};
use crate::record::{Loss, RecordedRequest};
use crate::rules::AnswerKind;
use crate::world::Effect;

impl<'a> Simulation<'a> {
    pub(super) fn schedule_next_arrival(&mut self) {
        let rate = self.world.rate() * self.jump / 10_000.0;
        if rate <= 0.0 {
            return;
        }
        let gap = match self.gaps {
            Some(gaps) => gaps.sample(&mut self.chance) / rate,
            None => -(1.0 - self.chance.random_range(0.0..1.0f64)).ln() / rate,
        };
        // Guards against truncating gaps shorter than a tick to zero, which would raise the request rate of a large fleet far above the world's.
        self.arrival = self.arrival.max((self.now - ORIGIN) as f64) + gap.max(0.0);
        let at = ORIGIN + self.arrival as u64;
        if at < ORIGIN + ticks_from_ms(self.world.seconds * 1000.0) {
            self.push(at, Event::Arrive);
        }
    }

    pub(super) fn create_request(&mut self) {
        let mut part = self.chance.random_range(0.0..self.shares);
        let methods = &self.world.methods;
        let method = methods.iter().position(|method| {
            part -= method.share;
            part < 0.0
        });
        let method = method.unwrap_or(methods.len() - 1);
        self.tokens += 1;
        let gateway = self.chance.random_range(0..self.world.gateways.count);
        let (tenant, subject) = self.choose_tenant_and_subject();
        let request = Request {
            method,
            token: self.tokens,
            first: self.now,
            tries: 0,
            gateway,
            tenant,
            subject,
        };
        self.day.requests += 1;
        self.asked += methods[method].criticality;
        self.record
            .record_request(self.now - ORIGIN, method, methods[method].criticality);
        let index = match self.free.pop() {
            Some(index) => {
                self.requests[index] = Some(request);
                index
            }
            None => {
                self.requests.push(Some(request));
                self.requests.len() - 1
            }
        };
        self.start_attempt(index);
    }

    /// Draws the tenant of a request, and the server of its first attempt if it isn't chosen at random.
    pub(super) fn choose_tenant_and_subject(&mut self) -> (Option<usize>, Option<usize>) {
        let tenants = &self.world.tenants;
        let mut tenant = None;
        if !tenants.is_empty() {
            let mut part = self
                .chance
                .random_range(0.0..tenants.iter().map(|tenant| tenant.share).sum::<f64>());
            tenant = tenants.iter().position(|tenant| {
                part -= tenant.share;
                part < 0.0
            });
            tenant = tenant.or(Some(tenants.len() - 1));
        }
        if let Some((part, server)) = self.hot
            && self.chance.random_range(0.0..1.0) < part
        {
            return (tenant.map(|_| 0), Some(server));
        }
        let by_subject = self.world.gateways.by_subject;
        let subject = (by_subject > 0.0 && self.chance.random_range(0.0..1.0) < by_subject)
            .then(|| self.chance.random_range(0..SUBJECTS) % self.nodes.len());
        (tenant, subject)
    }

    /// Draws a server that is on the endpoint list and didn't ask this gateway to stay away; after eight draws takes the last one.
    pub(super) fn choose_server(&mut self, gateway: usize) -> usize {
        let mut chosen = 0;
        for _ in 0..8 {
            chosen = self.chance.random_range(0..self.nodes.len());
            let node = &self.nodes[chosen];
            let listed = node.listed_from <= self.now && self.now < node.unlisted_from;
            let away = self
                .away
                .get(&(gateway, chosen))
                .is_some_and(|until| *until > self.now);
            if listed && !away {
                break;
            }
        }
        chosen
    }

    pub(super) fn start_attempt(&mut self, index: usize) {
        let Some(request) = self.requests[index].as_mut() else {
            return;
        };
        request.tries += 1;
        let (gateway, method, token, retry) = (
            request.gateway,
            request.method,
            request.token,
            request.tries > 1,
        );
        let (tenant, subject) = (request.tenant, request.subject.filter(|_| !retry));
        let at = subject.unwrap_or_else(|| self.choose_server(gateway));
        self.day.attempts += 1;
        if self.nodes[at].server.is_none() || self.nodes[at].cut_off {
            return self.handle_failed_attempt(index, at, Loss::Unreached, true);
        }
        let attempt = self.day.attempts;
        let of = &self.world.methods[method];
        let mut work = of.work_ms.draw(&mut self.chance);
        if let Some((part, size)) = self.tail
            && self.chance.random_range(0.0..1.0) < part
        {
            work *= size;
        }
        if !retry && let Some(requests) = &mut self.record.requests {
            requests.push(RecordedRequest {
                at_ms: (self.now - ORIGIN) as f64 / 10.0,
                method,
                work_ms: work,
            });
        }
        let tokened = of.effect == Effect::Tokened;
        let node = &mut self.nodes[at];
        let prior = node.tokens.get(&token).copied().filter(|_| tokened);
        let rpc = Rpc {
            attempt,
            request: index,
            work: work * 10.0,
            calls: of.calls,
            bare: false,
            answered: false,
            prior,
            ended: None,
            waiting: Vec::new(),
            running: false,
            call: 0,
            arrived: self.now,
            tenant,
            call_failed: false,
            pick: None,
        };
        let id = match node.free.pop() {
            Some(id) => id,
            None => {
                node.rpcs.push(None);
                RpcId(node.rpcs.len() as u32 - 1)
            }
        };
        node.rpcs[id.0 as usize] = Some(rpc);
        node.held += 1;
        let pause = self.nodes[at].pause_ends.saturating_sub(self.now);
        let due = self.now + ticks_from_ms(of.deadline_ms) + pause;
        self.rules
            .record_arrival(self.now, attempt, at, due, of.effect != Effect::Idempotent);
        let held_kb = self.world.servers.held_kb;
        let prior = prior.map_or(EarlierAttempt::None, EarlierAttempt::Known);
        let arrival = coralstep::Request {
            id,
            method,
            queued_kb: held_kb,
            is_retry: retry,
            earlier_attempt: prior,
            tenant,
            ..coralstep::Request::default()
        };
        self.with_server(at, |server, now, out| {
            server.handle_request(now, arrival, out)
        });
    }

    pub(super) fn method_of(&self, request: usize) -> Option<&'a crate::world::OneMethod> {
        let world = self.world;
        self.requests[request]
            .as_ref()
            .map(|request| &world.methods[request.method])
    }

    /// Returns the time that a change of a server's health takes to reach the gateways, in ticks.
    pub(super) fn health_propagation_time(&self) -> u64 {
        ticks_from_ms(self.world.gateways.health_ms)
    }

    /// Handles the first answer to an attempt. A successful end after it changes nothing.
    pub(super) fn handle_answer(
        &mut self,
        at: usize,
        id: RpcId,
        kind: AnswerKind,
        advice: Option<(Span, bool)>,
    ) {
        let now = self.now;
        let Some(rpc) = self.rpc(at, id) else { return };
        if rpc.answered && kind == AnswerKind::Ok {
            return;
        }
        rpc.answered = true;
        let (attempt, index, bare, began) = (
            rpc.attempt,
            rpc.request,
            rpc.bare,
            rpc.running || rpc.ended.is_some(),
        );
        let (waited, tenant, call_failed, calls) =
            (now - rpc.arrived, rpc.tenant, rpc.call_failed, rpc.calls);
        if !began {
            self.nodes[at].held = self.nodes[at].held.saturating_sub(1);
        }
        self.rules.record_answer(now, attempt, kind);
        if let Some((after, nowhere)) = advice {
            let retry = self.requests[index]
                .as_ref()
                .is_some_and(|request| request.tries > 1);
            self.rules
                .record_retry_advice(now, at, after.0, nowhere, retry);
        }
        self.update_trace(now ^ attempt << 20 ^ kind as u64);
        match kind {
            AnswerKind::Ok => {
                let Some(request) = self.requests[index].take() else {
                    return;
                };
                self.free.push(index);
                let of = &self.world.methods[request.method];
                let took = now - request.first;
                self.took.saturating_record(took.max(1));
                self.day.ok += 1;
                let part = if bare { of.skip } else { 1.0 };
                let in_time = if took <= ticks_from_ms(of.target_ms) {
                    1.0
                } else {
                    of.late
                };
                let in_time = if took > ticks_from_ms(of.deadline_ms) {
                    0.0
                } else {
                    in_time
                };
                let kept = of.criticality * part * in_time;
                self.good += kept;
                // The loss by the skipped call is recorded apart from the loss by lateness.
                let skipped = of.criticality * (1.0 - part);
                self.record
                    .record_partial_loss(request.method, Loss::Skipped, skipped);
                let took_ms = took as f64 / 10.0;
                self.record.record_success(
                    now - ORIGIN,
                    at,
                    request.method,
                    took_ms,
                    kept,
                    of.criticality - skipped,
                );
            }
            AnswerKind::PushedBack => {
                let (after, last) = advice.unwrap_or((Span::ZERO, false));
                if let Some(request) = &self.requests[index]
                    && self.heeds[request.gateway]
                    && after > Span::ZERO
                {
                    self.away.insert((request.gateway, at), now + after.0);
                }
                let loss = self.rejection_loss(at, calls, tenant, waited);
                self.handle_failed_attempt(index, at, loss, !last);
            }
            AnswerKind::Aborted => {
                let again = self
                    .method_of(index)
                    .is_some_and(|method| method.effect == Effect::Idempotent);
                let loss = if call_failed {
                    Loss::Dependency
                } else {
                    Loss::Late
                };
                self.handle_failed_attempt(index, at, loss, again);
            }
        }
    }

    /// Returns the reason of a rejection as far as it can be seen from outside the scheduler.
    pub(super) fn rejection_loss(
        &self,
        at: usize,
        calls: bool,
        tenant: Option<usize>,
        waited: u64,
    ) -> Loss {
        let node = &self.nodes[at];
        let over = |tenant: usize| {
            let of = &self.world.tenants;
            let part = of[tenant].share / of.iter().map(|tenant| tenant.share).sum::<f64>();
            (self.hot.is_some() && tenant == 0)
                || part * self.world.rate() * self.jump > of[tenant].rate
        };
        match () {
            () if calls && node.shut => Loss::Breaker,
            () if node.cold.is_some() && self.core_speed(at) < node.speed / node.slow => Loss::Cold,
            () if tenant.is_some_and(over) => Loss::OverShare,
            () if waited > 10 => Loss::Hold,
            () => Loss::Room,
        }
    }

    /// Handles a failed attempt: retries if allowed, otherwise records the loss.
    pub(super) fn handle_failed_attempt(
        &mut self,
        index: usize,
        at: usize,
        loss: Loss,
        again: bool,
    ) {
        let Some(request) = &self.requests[index] else {
            return;
        };
        let of = &self.world.methods[request.method];
        let pause = ticks_from_ms(self.world.gateways.pause_ms);
        let in_time = self.now + pause < request.first + ticks_from_ms(of.deadline_ms);
        if again && in_time && request.tries <= self.world.gateways.retries {
            return self.push(self.now + pause, Event::StartAttempt(index));
        }
        self.record
            .record_loss(self.now - ORIGIN, at, request.method, loss, of.criticality);
        self.requests[index] = None;
        self.free.push(index);
        match loss {
            Loss::Unreached => self.day.unreached += 1,
            Loss::Late | Loss::Dependency => self.day.aborted += 1,
            _ => self.day.pushed_back += 1,
        }
    }
}
