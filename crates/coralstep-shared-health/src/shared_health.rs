//! Exchange of health reports as an extension of the fleet's gossip.
//!
//! This server's reports are sent to all members by gossip, and additionally in urgent messages after
//! a change. Reports of peers are aggregated for each dependency, identified by its name.
use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use coralstep_fleet::extension::{GossipExtension, MembershipView, Message};
use coralstep_fleet::gossip::{Disseminator, Received};
use coralstep_fleet::{Member, Millis};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::aggregate::{Aggregator, BreakerAdvice};
use crate::config::SharingConfig;
use crate::dependency::Dependency;
use crate::fault_source::FaultSource;
use crate::operator_view::{DependencyRow, FaultSourceChanged};
use crate::peer_report::{PeerCounts, PeerId, PeerReport};
use crate::report::{
    HealthReport, LocalHealth, MAX_DEPENDENCIES, MAX_REPORT_AGE_MS, NodeHealth,
    ReportedBreakerState,
};

/// Interval at which this server's report is renewed if nothing changes, in ms.
const REPORT_INTERVAL_MS: Millis = 1_000;
/// Time for which urgent messages are sent after a change on this server, in ms.
const URGENT_MS: Millis = 2_500;
/// Time for which urgent messages are sent after a change reported by a peer, in ms.
const URGENT_RELAY_MS: Millis = URGENT_MS / 2;
/// Interval between urgent messages, in ms.
const URGENT_INTERVAL_MS: Millis = 150;
/// Number of urgent messages sent in each interval, each to a random peer.
const URGENT_PEERS: usize = 2;
/// Maximum size of an urgent message, in bytes.
const MAX_URGENT_BYTES: usize = 1_000;
/// Maximum number of pending events. Further events are dropped.
const MAX_PENDING_EVENTS: usize = 64;
/// Constant mixed into the seed, so that other generators with the same seed produce different
/// random numbers.
const RNG_STREAM: u64 = 3;

/// Exchanges health reports with the fleet and advises this server's breakers.
///
/// All times are in ms by a clock that the caller reads.
pub struct SharedHealth {
    own: Member,
    config: SharingConfig,
    dependencies: BTreeMap<String, Dependency>,
    disseminator: Disseminator<NodeHealth>,
    /// The peers whose reports are used.
    current_peers: HashSet<Member>,
    sequence: u64,
    next_report_at: Millis,
    urgent_until: Millis,
    next_urgent_at: Millis,
    seed: u64,
    rng: SmallRng,
    events: Vec<FaultSourceChanged>,
}

impl SharedHealth {
    /// Returns the extension of the server `own`, without any dependency or peer.
    pub fn new(own: &Member, config: SharingConfig, seed: u64) -> SharedHealth {
        SharedHealth {
            own: own.clone(),
            config,
            dependencies: BTreeMap::new(),
            disseminator: Disseminator::default(),
            current_peers: HashSet::new(),
            sequence: 0,
            next_report_at: 0,
            urgent_until: 0,
            next_urgent_at: 0,
            seed,
            rng: SmallRng::seed_from_u64(seed ^ own.incarnation ^ RNG_STREAM),
            events: Vec::new(),
        }
    }

    /// Updates the local health of a dependency and returns the advice for its breaker.
    ///
    /// For dependencies beyond the first [`MAX_DEPENDENCIES`] the default advice is returned.
    pub fn observe(&mut self, now: Millis, dependency: &str, local: LocalHealth) -> BreakerAdvice {
        if !self.ensure_dependency(dependency) {
            return BreakerAdvice::default();
        }
        let reports = self.peer_reports(now, dependency);
        let Some(entry) = self.dependencies.get_mut(dependency) else {
            return BreakerAdvice::default();
        };
        if entry.update(now, local) {
            self.urgent_until = now + URGENT_MS;
            self.next_report_at = now;
        }
        let peers = PeerCounts::from_reports(&reports);
        let source = FaultSource::infer(local.state != ReportedBreakerState::Closed, peers);
        if std::mem::replace(&mut entry.fault_source, source) != source
            && self.events.len() < MAX_PENDING_EVENTS
        {
            self.events.push(FaultSourceChanged {
                dependency: dependency.to_owned(),
                source,
                peers,
            });
        }
        entry
            .aggregator
            .advise(now, self.config, local.state, &reports)
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<FaultSourceChanged> {
        std::mem::take(&mut self.events)
    }

    /// Returns the reports of all servers on all dependencies, ordered by dependency, then by server.
    pub fn rows(&self, now: Millis) -> Vec<DependencyRow> {
        let own_rows = self
            .dependencies
            .iter()
            .map(|(name, dependency)| dependency.row(now, name, &self.own));
        let peer_rows = self.disseminator.iter().flat_map(|received| {
            let reports = received.value.reports.iter();
            reports.map(move |report| peer_row(now, received, report))
        });
        let mut rows: Vec<DependencyRow> = own_rows.chain(peer_rows).collect();
        rows.sort_by(|a, b| (&a.dependency, &a.server).cmp(&(&b.dependency, &b.server)));
        rows
    }

    /// Iterates over the names of the dependencies and the sources of their faults.
    pub fn fault_sources(&self) -> impl Iterator<Item = (&str, FaultSource)> {
        self.dependencies
            .iter()
            .map(|(name, dependency)| (name.as_str(), dependency.fault_source))
    }

    /// Adds a dependency if it is not known yet. Returns false if there are too many.
    fn ensure_dependency(&mut self, name: &str) -> bool {
        if self.dependencies.contains_key(name) {
            return true;
        }
        if self.dependencies.len() >= MAX_DEPENDENCIES {
            return false;
        }
        let mut hasher = DefaultHasher::new();
        (name, self.seed, self.own.incarnation).hash(&mut hasher);
        let aggregator = Aggregator::new(hasher.finish());
        self.dependencies
            .insert(name.to_owned(), Dependency::new(aggregator));
        true
    }

    /// Returns the reports of current peers on a dependency that are not too old.
    fn peer_reports(&self, now: Millis, dependency: &str) -> Vec<PeerReport> {
        self.disseminator
            .iter()
            .filter(|received| {
                now.saturating_sub(received.sent_at) <= MAX_REPORT_AGE_MS
                    && self.current_peers.contains(&received.value.origin)
            })
            .filter_map(|received| peer_report(now, received, dependency))
            .collect()
    }

    fn renew_report(&mut self, now: Millis) {
        self.sequence += 1;
        let reports = self
            .dependencies
            .iter()
            .map(|(name, dependency)| dependency.report(now, name))
            .collect();
        self.disseminator.set_own(NodeHealth {
            origin: self.own.clone(),
            sequence: self.sequence,
            reports,
        });
    }

    fn receive(&mut self, now: Millis, own: &Member, bytes: &[u8]) {
        let new_values = self.disseminator.receive(now, own, bytes);
        let mut reports = new_values.iter().flat_map(|node| &node.reports);
        if reports.any(is_urgent_report) {
            self.urgent_until = now + URGENT_RELAY_MS;
        }
    }

    fn urgent_messages(&mut self, now: Millis, peers: &[&Member]) -> Vec<Message> {
        let mut messages = Vec::new();
        for _ in 0..URGENT_PEERS {
            let peer = peers[self.rng.random_range(0..peers.len())];
            let payload = self.disseminator.next_payload(now, MAX_URGENT_BYTES);
            messages.extend(payload.map(|payload| Message::new(peer.address, payload)));
        }
        messages
    }
}

/// Returns whether a report shows an open breaker or a recent recovery.
fn is_urgent_report(report: &HealthReport) -> bool {
    report.state != ReportedBreakerState::Closed
        || report
            .since_recovery_ms
            .is_some_and(|age_ms| Millis::from(age_ms) <= URGENT_MS)
}

fn peer_id(member: &Member) -> PeerId {
    let mut hasher = DefaultHasher::new();
    member.hash(&mut hasher);
    PeerId(hasher.finish())
}

/// Returns a peer's report on a dependency with current ages, or `None` if it sent none.
fn peer_report(
    now: Millis,
    received: &Received<NodeHealth>,
    dependency: &str,
) -> Option<PeerReport> {
    let reports = &received.value.reports;
    let report = reports
        .iter()
        .find(|report| report.dependency == dependency)?;
    let age_ms = now.saturating_sub(received.sent_at);
    Some(PeerReport {
        peer: peer_id(&received.value.origin),
        state: report.state,
        failures: u32::from(report.failures),
        calls: u32::from(report.calls),
        since_call_ms: age_ms + Millis::from(report.since_call_ms),
        since_recovery_ms: report
            .since_recovery_ms
            .map(|recovery_ms| age_ms + Millis::from(recovery_ms)),
    })
}

fn peer_row(now: Millis, received: &Received<NodeHealth>, report: &HealthReport) -> DependencyRow {
    DependencyRow {
        dependency: report.dependency.clone(),
        server: received.value.origin.name.clone(),
        state: report.state,
        failures: u32::from(report.failures),
        calls: u32::from(report.calls),
        age_ms: now.saturating_sub(received.sent_at) + Millis::from(report.since_call_ms),
    }
}

impl GossipExtension for SharedHealth {
    fn next_gossip(&mut self, now: Millis, max_bytes: usize) -> Option<Vec<u8>> {
        if self.dependencies.is_empty() {
            return None;
        }
        self.disseminator.next_payload(now, max_bytes)
    }

    fn handle_gossip(&mut self, now: Millis, own: &Member, payload: &[u8]) {
        self.receive(now, own, payload);
    }

    fn handle_message(&mut self, now: Millis, _from: &Member, payload: &[u8]) -> Vec<Message> {
        let own = self.own.clone();
        self.receive(now, &own, payload);
        Vec::new()
    }

    fn handle_timeout(&mut self, now: Millis, view: &MembershipView<'_>) -> Vec<Message> {
        self.own = view.own.clone();
        self.current_peers = view.current.iter().copied().cloned().collect();
        if self.dependencies.is_empty() {
            return Vec::new();
        }
        if now >= self.next_report_at {
            self.next_report_at = now + REPORT_INTERVAL_MS;
            self.disseminator.expire(now);
            self.renew_report(now);
        }
        let is_urgent = now < self.urgent_until && now >= self.next_urgent_at;
        if !is_urgent || view.current.is_empty() {
            return Vec::new();
        }
        self.next_urgent_at = now + URGENT_INTERVAL_MS;
        self.urgent_messages(now, &view.current)
    }
}
