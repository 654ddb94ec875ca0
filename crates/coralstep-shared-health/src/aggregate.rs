//! What a breaker may conclude from the peer reports of one dependency: how many outcomes of its
//! own it needs, when its next probe call is, and whether its cooldown ends sooner.
//!
//! Each peer counts once, and no peer alone opens or closes anything.
use coralstep_fleet::Millis;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::config::SharingConfig;
use crate::peer_report::{PeerCounts, PeerId, PeerReport};
use crate::report::ReportedBreakerState;

/// Outcomes of its own that a breaker looks at when there are no peer reports.
pub const WINDOW_OUTCOMES: u32 = 20;
/// Outcomes of its own that a breaker needs whatever peers report: the first failure never opens
/// it.
pub const MIN_OUTCOMES: u32 = 2;
/// Informed peers without which the number of outcomes stays at [`WINDOW_OUTCOMES`].
pub const MIN_INFORMED_PEERS: usize = 2;
/// Part of the informed peers that must report failure before fewer outcomes are needed.
pub const MIN_FAILING_PART: f64 = 0.5;

/// Probe calls a second from the whole fleet to a dependency that is open on several servers.
pub const FLEET_PROBES_PER_SECOND: f64 = 1.2;
/// Shortest time between two probe calls of one server, in ms.
pub const MIN_PROBE_INTERVAL_MS: Millis = 750;
/// While peers are open, too, a cooldown is always this far from its end and up to half as far
/// again, in ms, until the server's turn comes: a rejected caller is told to retry after no more
/// than that.
pub const HELD_COOLDOWN_MS: Millis = 2_000;
/// Longest time that counts towards the probability of a turn, in ms.
const MAX_PROBE_SPAN_MS: Millis = 1_000;

/// Usual time between two steps in which cooldowns end after a recovery, in ms.
pub const RECOVERY_STEP_MS: Millis = 300;
/// Cooldowns that end in a step, for each server that has recovered.
pub const RECOVERY_GROWTH: f64 = 2.0;
/// A peer's recovery counts for this long, in ms.
pub const MAX_RECOVERY_AGE_MS: Millis = 4_000;
/// A peer whose report of recovery proved wrong is not believed for this long, in ms.
pub const DISTRUST_MS: Millis = 30_000;

/// What a breaker may go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerAdvice {
    /// Outcomes of its own before it may open, from [`MIN_OUTCOMES`] to [`WINDOW_OUTCOMES`].
    pub min_outcomes: u32,
    /// When a running cooldown ends, in ms from now; `None` leaves it as it is.
    pub cooldown_left_ms: Option<Millis>,
}

impl Default for BreakerAdvice {
    /// Advice without any peer report.
    fn default() -> BreakerAdvice {
        BreakerAdvice {
            min_outcomes: WINDOW_OUTCOMES,
            cooldown_left_ms: None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct DistrustedPeer {
    peer: PeerId,
    until_ms: Millis,
}

/// Draws conclusions for one breaker. All times are in ms of one clock, passed by the caller.
#[derive(Clone, Debug)]
pub struct Aggregator {
    rng: SmallRng,
    last_state: ReportedBreakerState,
    last_advised_at: Millis,
    /// When the breaker opened last.
    open_since: Millis,
    /// How much longer than [`HELD_COOLDOWN_MS`] its cooldown is held, so that servers differ.
    cooldown_jitter_ms: Millis,
    /// Its turn for a probe call has come, and the call has not shown anything yet.
    has_turn: bool,
    next_recovery_step_at: Millis,
    /// Peers whose reports of recovery led to the probe call that is awaited.
    believed_peers: Vec<PeerId>,
    distrusted_peers: Vec<DistrustedPeer>,
}

impl Aggregator {
    /// Returns an aggregator for a closed breaker, with jitter drawn by `seed`.
    pub fn new(seed: u64) -> Aggregator {
        Aggregator {
            rng: SmallRng::seed_from_u64(seed),
            last_state: ReportedBreakerState::Closed,
            last_advised_at: 0,
            open_since: 0,
            cooldown_jitter_ms: 0,
            has_turn: false,
            next_recovery_step_at: 0,
            believed_peers: Vec::new(),
            distrusted_peers: Vec::new(),
        }
    }

    /// Advises the breaker, which is in `state`, by the reports of current peers, of which each has
    /// one.
    pub fn advise(
        &mut self,
        now: Millis,
        config: SharingConfig,
        state: ReportedBreakerState,
        reports: &[PeerReport],
    ) -> BreakerAdvice {
        let elapsed_ms = now
            .saturating_sub(self.last_advised_at)
            .min(MAX_PROBE_SPAN_MS);
        self.last_advised_at = now;
        self.track_state(now, state);

        let peers = PeerCounts::of(reports);
        let mut advice = BreakerAdvice::default();
        if config.follow_failure {
            advice.min_outcomes = min_outcomes(peers);
        }
        // A server whose turn has come is left alone until its probe call has shown something.
        if state != ReportedBreakerState::Open || self.has_turn {
            return advice;
        }
        if config.limit_probe_rate && peers.open > 0 {
            advice.cooldown_left_ms = Some(self.held_cooldown(now, elapsed_ms, peers));
        }
        if config.follow_recovery && !self.has_turn && now >= self.next_recovery_step_at {
            let ends_in_ms = self.recovery_step(now, peers, reports);
            advice.cooldown_left_ms = ends_in_ms.or(advice.cooldown_left_ms);
        }
        advice
    }

    /// What is left of the cooldown while peers are open, too: nothing if the server's turn for a
    /// probe call has come.
    ///
    /// Turns are drawn without memory by how many are open now, so that a server that dies with its
    /// turn takes none from the others, and servers need not agree on anything.
    fn held_cooldown(&mut self, now: Millis, elapsed_ms: Millis, peers: PeerCounts) -> Millis {
        if now >= self.open_since + MIN_PROBE_INTERVAL_MS {
            let open_servers = (peers.open + 1) as f64;
            let probability = FLEET_PROBES_PER_SECOND * elapsed_ms as f64 / 1000.0 / open_servers;
            if self.rng.random_bool(probability.min(1.0)) {
                self.has_turn = true;
                return 0;
            }
        }
        HELD_COOLDOWN_MS + self.cooldown_jitter_ms
    }

    /// What is left of the cooldown if it ends in this step after a recovery.
    ///
    /// Guards against all servers calling at once, which would overload a dependency that has just
    /// recovered.
    fn recovery_step(
        &mut self,
        now: Millis,
        peers: PeerCounts,
        reports: &[PeerReport],
    ) -> Option<Millis> {
        let jitter_ms = self.rng.random_range(0..RECOVERY_STEP_MS);
        self.next_recovery_step_at = now + RECOVERY_STEP_MS / 2 + jitter_ms;
        let recovered = self.recovered_peers(reports);
        let open_servers = (peers.open + 1) as f64;
        let probability = (RECOVERY_GROWTH * recovered.len() as f64 / open_servers).min(1.0);
        if recovered.is_empty() || !self.rng.random_bool(probability) {
            return None;
        }
        self.has_turn = true;
        self.believed_peers = recovered;
        Some(self.rng.random_range(0..RECOVERY_STEP_MS))
    }

    /// Peers that report a recent recovery and are not distrusted.
    fn recovered_peers(&self, reports: &[PeerReport]) -> Vec<PeerId> {
        let is_recent = |report: &&PeerReport| {
            report
                .since_recovery_ms
                .is_some_and(|age_ms| age_ms <= MAX_RECOVERY_AGE_MS)
        };
        let is_distrusted = |peer: PeerId| self.distrusted_peers.iter().any(|of| of.peer == peer);
        reports
            .iter()
            .filter(|report| !report.reports_failure())
            .filter(is_recent)
            .map(|report| report.peer)
            .filter(|peer| !is_distrusted(*peer))
            .collect()
    }

    /// Follows the breaker from state to state: its own probe call shows whether a report of
    /// recovery was true.
    fn track_state(&mut self, now: Millis, state: ReportedBreakerState) {
        self.distrusted_peers.retain(|of| now < of.until_ms);
        let previous = std::mem::replace(&mut self.last_state, state);
        if state == ReportedBreakerState::Open && previous != ReportedBreakerState::Open {
            self.open_since = now;
            self.has_turn = false;
            self.cooldown_jitter_ms = self.rng.random_range(0..HELD_COOLDOWN_MS / 2);
        }
        match state {
            ReportedBreakerState::Open if previous == ReportedBreakerState::HalfOpen => {
                self.distrust_believed_peers(now);
            }
            ReportedBreakerState::Closed => self.believed_peers.clear(),
            _ => {}
        }
    }

    /// Guards against a peer that reports recovery whatever it sees. Many peers may have told the
    /// truth of a moment, so only few are distrusted.
    fn distrust_believed_peers(&mut self, now: Millis) {
        let believed = std::mem::take(&mut self.believed_peers);
        if believed.len() > MIN_INFORMED_PEERS {
            return;
        }
        let until_ms = now + DISTRUST_MS;
        let distrusted = believed
            .into_iter()
            .map(|peer| DistrustedPeer { peer, until_ms });
        self.distrusted_peers.extend(distrusted);
    }
}

/// How many outcomes of its own a breaker needs: fewer, the larger the part of the informed peers
/// that report failure.
fn min_outcomes(peers: PeerCounts) -> u32 {
    let failing_part = peers.failing_part();
    if peers.informed < MIN_INFORMED_PEERS || failing_part < MIN_FAILING_PART {
        return WINDOW_OUTCOMES;
    }
    let needed = (f64::from(WINDOW_OUTCOMES) * (1.0 - failing_part)).round() as u32;
    needed.clamp(MIN_OUTCOMES, WINDOW_OUTCOMES)
}

#[cfg(test)]
mod tests;
