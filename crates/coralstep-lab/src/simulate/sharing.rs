//! Health reports about the dependency that the servers exchange, evaluated by the real `coralstep-shared-health`. Each server sees the
//! others with the delay that gossip has in a fleet of processes.
use std::collections::VecDeque;

use coralstep::Span;
use coralstep_shared_health::aggregate::Aggregator;
use coralstep_shared_health::peer_report::{PeerId, PeerReport};
use coralstep_shared_health::report::MAX_REPORT_AGE_MS;
use coralstep_shared_health::{BreakerAdvice, ReportedBreakerState, SharingConfig};

use super::Simulation;

/// Age of the reports from peers, in samples. With real processes, half of a fleet of 60 receives a change within a third of a second
/// and nearly all of it within one second.
const REPORT_DELAY_SAMPLES: usize = 6;
/// Period whose calls are reported to peers, in ticks: two seconds, as in the server.
const REPORTED_PERIOD: u64 = 20_000;

/// State of one server in one sample.
#[derive(Clone, Copy, Debug, Default)]
struct HealthSample {
    running: bool,
    state: ReportedBreakerState,
    failures: u32,
    calls: u32,
    /// Time at which its last call ended, and time at which its breaker closed after a successful probe call, in ticks.
    called: u64,
    recovered: Option<u64>,
}

pub(super) struct Sharing {
    nodes: Vec<ServerHealth>,
    samples: VecDeque<Vec<HealthSample>>,
}

struct ServerHealth {
    aggregator: Aggregator,
    calls: VecDeque<(u64, bool)>,
    seen: HealthSample,
}

impl Sharing {
    pub(super) fn new(count: usize, seed: u64) -> Sharing {
        let node = |at: usize| ServerHealth {
            aggregator: Aggregator::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ at as u64),
            calls: VecDeque::new(),
            seen: HealthSample::default(),
        };
        Sharing {
            nodes: (0..count).map(node).collect(),
            samples: VecDeque::new(),
        }
    }

    /// Records the end of a server's call.
    pub(super) fn record_call(&mut self, at: usize, now: u64, failed: bool) {
        self.nodes[at].calls.push_back((now, failed));
        self.nodes[at].seen.called = now;
    }

    fn sample(&mut self, at: usize, now: u64, state: Option<&str>) {
        let node = &mut self.nodes[at];
        while node
            .calls
            .front()
            .is_some_and(|(of, _)| of + REPORTED_PERIOD < now)
        {
            node.calls.pop_front();
        }
        let all = [
            ReportedBreakerState::Closed,
            ReportedBreakerState::Open,
            ReportedBreakerState::HalfOpen,
        ];
        let now_is = all
            .into_iter()
            .find(|one| Some(one.name()) == state)
            .unwrap_or_default();
        if state.is_none() {
            // A restarted server has no history.
            node.seen = HealthSample::default();
        }
        node.seen.recovered = match (node.seen.state, now_is) {
            (ReportedBreakerState::Closed, ReportedBreakerState::Closed) => node.seen.recovered,
            (_, ReportedBreakerState::Closed) => Some(now),
            _ => None,
        };
        node.seen.running = state.is_some();
        node.seen.state = now_is;
        node.seen.failures = node.calls.iter().filter(|(_, failed)| *failed).count() as u32;
        node.seen.calls = node.calls.len() as u32;
    }

    fn advise(&mut self, at: usize, now: u64) -> BreakerAdvice {
        let Some(before) = self
            .samples
            .front()
            .filter(|_| self.samples.len() >= REPORT_DELAY_SAMPLES)
        else {
            return BreakerAdvice::default();
        };
        let ms = |of: u64| now.saturating_sub(of) / 10;
        let others: Vec<PeerReport> = before
            .iter()
            .enumerate()
            .filter(|(other, seen)| *other != at && seen.running)
            .map(|(other, seen)| PeerReport {
                peer: PeerId(other as u64),
                state: seen.state,
                failures: seen.failures,
                calls: seen.calls,
                since_call_ms: if seen.called == 0 {
                    MAX_REPORT_AGE_MS + 1
                } else {
                    ms(seen.called)
                },
                since_recovery_ms: seen.recovered.map(ms),
            })
            .collect();
        let node = &mut self.nodes[at];
        node.aggregator
            .advise(now / 10, SharingConfig::default(), node.seen.state, &others)
    }
}

impl Simulation<'_> {
    /// Gives each server the reports of its peers, which advise its breaker.
    pub(super) fn exchange_health_reports(&mut self) {
        let now = self.now;
        for at in 0..self.nodes.len() {
            let state = self.nodes[at]
                .server
                .as_ref()
                .and_then(|server| server.breaker_state());
            self.sharing.sample(at, now, state);
        }
        let seen: Vec<HealthSample> = self.sharing.nodes.iter().map(|node| node.seen).collect();
        self.sharing.samples.push_back(seen);
        if self.sharing.samples.len() > REPORT_DELAY_SAMPLES {
            self.sharing.samples.pop_front();
        }
        for at in 0..self.nodes.len() {
            if self.nodes[at].server.is_none() || self.nodes[at].paused {
                continue;
            }
            let advice = self.sharing.advise(at, now);
            let left = advice.cooldown_left_ms.map(Span::ms);
            self.with_server(at, |server, now, _| {
                server.apply_peer_reports(now, advice.min_outcomes, left)
            });
        }
    }
}
