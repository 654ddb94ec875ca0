//! What the servers of a world tell each other of the dependency, on the real decisions (`coralstep-shared-health`): each sees the others as they
//! were a while ago, as long as words take in a fleet of processes.
use std::collections::VecDeque;

use coralstep::Span;
use coralstep_shared_health::aggregate::Aggregator;
use coralstep_shared_health::peer_report::{PeerId, PeerReport};
use coralstep_shared_health::report::MAX_REPORT_AGE_MS;
use coralstep_shared_health::{BreakerAdvice, ReportedBreakerState, SharingConfig};

use super::Sim;

/// What is heard is so old: by processes half of a fleet of 60 hears a change within a third of a second, nearly all within one. In looks.
const OLD: usize = 6;
/// Calls that others are told of, in ticks: as the server tells (two seconds).
const RECENT: u64 = 20_000;

/// One server at one look.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    there: bool,
    state: ReportedBreakerState,
    failures: u32,
    calls: u32,
    /// When its last call ended, and when its breaker closed by a trial, in ticks.
    called: u64,
    healed: Option<u64>,
}

pub(super) struct Sharing {
    nodes: Vec<Node>,
    looks: VecDeque<Vec<Seen>>,
}

struct Node {
    aggregator: Aggregator,
    calls: VecDeque<(u64, bool)>,
    seen: Seen,
}

impl Sharing {
    pub(super) fn new(count: usize, seed: u64) -> Sharing {
        let node = |at: usize| Node {
            aggregator: Aggregator::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ at as u64),
            calls: VecDeque::new(),
            seen: Seen::default(),
        };
        Sharing {
            nodes: (0..count).map(node).collect(),
            looks: VecDeque::new(),
        }
    }

    /// A call of a server ended.
    pub(super) fn called(&mut self, at: usize, now: u64, failed: bool) {
        self.nodes[at].calls.push_back((now, failed));
        self.nodes[at].seen.called = now;
    }

    fn look(&mut self, at: usize, now: u64, state: Option<&str>) {
        let node = &mut self.nodes[at];
        while node.calls.front().is_some_and(|(of, _)| of + RECENT < now) {
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
            // A successor knows nothing of it.
            node.seen = Seen::default();
        }
        node.seen.healed = match (node.seen.state, now_is) {
            (ReportedBreakerState::Closed, ReportedBreakerState::Closed) => node.seen.healed,
            (_, ReportedBreakerState::Closed) => Some(now),
            _ => None,
        };
        node.seen.there = state.is_some();
        node.seen.state = now_is;
        node.seen.failures = node.calls.iter().filter(|(_, failed)| *failed).count() as u32;
        node.seen.calls = node.calls.len() as u32;
    }

    fn advise(&mut self, at: usize, now: u64) -> BreakerAdvice {
        let Some(before) = self.looks.front().filter(|_| self.looks.len() >= OLD) else {
            return BreakerAdvice::default();
        };
        let ms = |of: u64| now.saturating_sub(of) / 10;
        let others: Vec<PeerReport> = before
            .iter()
            .enumerate()
            .filter(|(other, seen)| *other != at && seen.there)
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
                since_recovery_ms: seen.healed.map(ms),
            })
            .collect();
        let node = &mut self.nodes[at];
        node.aggregator
            .advise(now / 10, SharingConfig::default(), node.seen.state, &others)
    }
}

impl Sim<'_> {
    /// Each server hears of the others, and its breaker goes by it.
    pub(super) fn share(&mut self) {
        let now = self.now;
        for at in 0..self.nodes.len() {
            let state = self.nodes[at]
                .server
                .as_ref()
                .and_then(|server| server.breaker());
            self.sharing.look(at, now, state);
        }
        let seen: Vec<Seen> = self.sharing.nodes.iter().map(|node| node.seen).collect();
        self.sharing.looks.push_back(seen);
        if self.sharing.looks.len() > OLD {
            self.sharing.looks.pop_front();
        }
        for at in 0..self.nodes.len() {
            if self.nodes[at].server.is_none() || self.nodes[at].paused {
                continue;
            }
            let advice = self.sharing.advise(at, now);
            let left = advice.cooldown_left_ms.map(Span::ms);
            self.tell(at, |server, now, _| {
                server.hear(now, advice.min_outcomes, left)
            });
        }
    }
}
