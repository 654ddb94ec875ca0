//! Advice to a circuit breaker, derived from peer reports on its dependency: the number of its own
//! outcomes that it needs before it may open, and when its cooldown ends.
//!
//! Each peer counts once, and no single peer can open or close a breaker.
use coralstep_fleet::Millis;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::config::SharingConfig;
use crate::peer_report::{PeerCounts, PeerId, PeerReport};
use crate::report::ReportedBreakerState;

/// Number of its own outcomes that a breaker needs before it may open, without peer reports.
pub const WINDOW_OUTCOMES: u32 = 20;
/// Minimum number of its own outcomes that a breaker needs, regardless of peer reports, so that the
/// first failure never opens it.
pub const MIN_OUTCOMES: u32 = 2;
/// Minimum number of informed peers for a reduction of the needed outcomes.
pub const MIN_INFORMED_PEERS: usize = 2;
/// Minimum fraction of the informed peers that must report failure for a reduction of the needed
/// outcomes.
pub const MIN_FAILING_FRACTION: f64 = 0.5;

/// Probe calls per second from the whole fleet while the breakers of several servers are open.
pub const FLEET_PROBES_PER_SECOND: f64 = 1.2;
/// Minimum time between two probe calls of one server, in ms, counted from the opening of its
/// breaker.
pub const MIN_PROBE_INTERVAL_MS: Millis = 750;
/// Remaining cooldown while breakers of peers are open as well, in ms, plus up to half as much
/// jitter. It is renewed until the server is selected for a probe call, and bounds the Retry-After
/// of rejected requests.
pub const EXTENDED_COOLDOWN_MS: Millis = 2_000;
/// Maximum elapsed time that counts towards the probability of a probe call, in ms.
const MAX_PROBE_ELAPSED_MS: Millis = 1_000;

/// Mean interval between the steps in which cooldowns end after a recovery, in ms.
pub const RECOVERY_STEP_MS: Millis = 300;
/// Expected number of cooldowns that end in one step, per recovered server.
pub const RECOVERY_GROWTH: f64 = 2.0;
/// Maximum age of a peer's recovery, in ms. Older ones are ignored.
pub const MAX_RECOVERY_AGE_MS: Millis = 4_000;
/// Time for which the recovery reports of a peer are ignored after one proved wrong, in ms.
pub const DISTRUST_MS: Millis = 30_000;

/// Advice to a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerAdvice {
    /// Number of its own outcomes that the breaker needs before it may open, from [`MIN_OUTCOMES`]
    /// to [`WINDOW_OUTCOMES`].
    pub min_outcomes: u32,
    /// Remaining time of the current cooldown in ms, or `None` to leave the cooldown unchanged.
    pub cooldown_left_ms: Option<Millis>,
}

impl Default for BreakerAdvice {
    /// Returns the advice without peer reports.
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

/// Derives the advice for one breaker. All times are in ms by a clock that the caller reads.
#[derive(Clone, Debug)]
pub struct Aggregator {
    rng: SmallRng,
    last_state: ReportedBreakerState,
    last_advised_at: Millis,
    /// When the breaker last opened.
    open_since: Millis,
    /// Jitter added to [`EXTENDED_COOLDOWN_MS`], so that the cooldowns of servers differ.
    cooldown_jitter_ms: Millis,
    /// Whether the server was selected for a probe call whose outcome is not known yet.
    is_selected_for_probe: bool,
    next_recovery_step_at: Millis,
    /// Peers whose recovery reports led to the pending probe call.
    recovery_reporters: Vec<PeerId>,
    distrusted_peers: Vec<DistrustedPeer>,
}

impl Aggregator {
    /// Returns the aggregator of a closed breaker. `seed` initializes the random number generator.
    pub fn new(seed: u64) -> Aggregator {
        Aggregator {
            rng: SmallRng::seed_from_u64(seed),
            last_state: ReportedBreakerState::Closed,
            last_advised_at: 0,
            open_since: 0,
            cooldown_jitter_ms: 0,
            is_selected_for_probe: false,
            next_recovery_step_at: 0,
            recovery_reporters: Vec::new(),
            distrusted_peers: Vec::new(),
        }
    }

    /// Returns the advice for the breaker, which is in `state`. `reports` contains one report for each
    /// current peer.
    pub fn advise(
        &mut self,
        now: Millis,
        config: SharingConfig,
        state: ReportedBreakerState,
        reports: &[PeerReport],
    ) -> BreakerAdvice {
        let elapsed_ms = now
            .saturating_sub(self.last_advised_at)
            .min(MAX_PROBE_ELAPSED_MS);
        self.last_advised_at = now;
        self.track_state(now, state);

        let peers = PeerCounts::from_reports(reports);
        let mut advice = BreakerAdvice::default();
        if config.follow_failure {
            advice.min_outcomes = min_outcomes(peers);
        }
        // A selected server gets no further advice on its cooldown until its probe call has ended.
        if state != ReportedBreakerState::Open || self.is_selected_for_probe {
            return advice;
        }
        if config.limit_probe_rate && peers.open > 0 {
            advice.cooldown_left_ms = Some(self.extended_cooldown(now, elapsed_ms, peers));
        }
        if config.follow_recovery
            && !self.is_selected_for_probe
            && now >= self.next_recovery_step_at
        {
            let ends_in_ms = self.recovery_step(now, peers, reports);
            advice.cooldown_left_ms = ends_in_ms.or(advice.cooldown_left_ms);
        }
        advice
    }

    /// Returns the remaining cooldown while breakers of peers are open as well: 0 if the server is
    /// selected for a probe call.
    ///
    /// The selection is random and stateless, with a probability that depends on the number of open
    /// breakers. So servers need no coordination, and one that fails after its selection does not
    /// reduce the probe rate of the others.
    fn extended_cooldown(&mut self, now: Millis, elapsed_ms: Millis, peers: PeerCounts) -> Millis {
        if now >= self.open_since + MIN_PROBE_INTERVAL_MS {
            let open_servers = (peers.open + 1) as f64;
            let probability = FLEET_PROBES_PER_SECOND * elapsed_ms as f64 / 1000.0 / open_servers;
            if self.rng.random_bool(probability.min(1.0)) {
                self.is_selected_for_probe = true;
                return 0;
            }
        }
        EXTENDED_COOLDOWN_MS + self.cooldown_jitter_ms
    }

    /// Returns the remaining cooldown if it ends in this step after a recovery.
    ///
    /// Guards against overloading a recovered dependency by simultaneous calls of all servers.
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
        self.is_selected_for_probe = true;
        self.recovery_reporters = recovered;
        Some(self.rng.random_range(0..RECOVERY_STEP_MS))
    }

    /// Returns the peers that report a recent recovery and are not distrusted.
    fn recovered_peers(&self, reports: &[PeerReport]) -> Vec<PeerId> {
        let is_recent = |report: &&PeerReport| {
            report
                .since_recovery_ms
                .is_some_and(|age_ms| age_ms <= MAX_RECOVERY_AGE_MS)
        };
        let is_distrusted = |peer: PeerId| {
            self.distrusted_peers
                .iter()
                .any(|distrusted| distrusted.peer == peer)
        };
        reports
            .iter()
            .filter(|report| !report.reports_failure())
            .filter(is_recent)
            .map(|report| report.peer)
            .filter(|peer| !is_distrusted(*peer))
            .collect()
    }

    /// Updates the aggregator after a state change of the breaker. The breaker's own probe call shows
    /// whether a peer's recovery report was correct.
    fn track_state(&mut self, now: Millis, state: ReportedBreakerState) {
        self.distrusted_peers
            .retain(|distrusted| now < distrusted.until_ms);
        let previous = std::mem::replace(&mut self.last_state, state);
        if state == ReportedBreakerState::Open && previous != ReportedBreakerState::Open {
            self.open_since = now;
            self.is_selected_for_probe = false;
            self.cooldown_jitter_ms = self.rng.random_range(0..EXTENDED_COOLDOWN_MS / 2);
        }
        match state {
            ReportedBreakerState::Open if previous == ReportedBreakerState::HalfOpen => {
                self.distrust_recovery_reporters(now);
            }
            ReportedBreakerState::Closed => self.recovery_reporters.clear(),
            _ => {}
        }
    }

    /// Guards against a peer that reports recovery regardless of the outcome of its calls.
    ///
    /// A recovery reported by many peers may have been real but short, so peers are distrusted only if
    /// few of them reported it.
    fn distrust_recovery_reporters(&mut self, now: Millis) {
        let reporters = std::mem::take(&mut self.recovery_reporters);
        if reporters.len() > MIN_INFORMED_PEERS {
            return;
        }
        let until_ms = now + DISTRUST_MS;
        let distrusted = reporters
            .into_iter()
            .map(|peer| DistrustedPeer { peer, until_ms });
        self.distrusted_peers.extend(distrusted);
    }
}

/// Returns the number of its own outcomes that a breaker needs. It decreases as the fraction of
/// informed peers that report failure grows.
fn min_outcomes(peers: PeerCounts) -> u32 {
    let failing_fraction = peers.failing_fraction();
    if peers.informed < MIN_INFORMED_PEERS || failing_fraction < MIN_FAILING_FRACTION {
        return WINDOW_OUTCOMES;
    }
    let needed = (f64::from(WINDOW_OUTCOMES) * (1.0 - failing_fraction)).round() as u32;
    needed.clamp(MIN_OUTCOMES, WINDOW_OUTCOMES)
}

#[cfg(test)]
mod tests;
