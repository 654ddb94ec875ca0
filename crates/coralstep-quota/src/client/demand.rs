//! Demand for one limit at this server, smoothed over rounds.
use crate::Millis;

/// Number of rounds for which tokens are requested in advance.
const PREFETCH_ROUNDS: f64 = 2.0;
/// Weight of the newest round in the smoothed rates.
const SMOOTHING: f64 = 0.5;
/// A lower smoothed rate counts as 0, in RPCs per second.
const MIN_OFFERED_RPS: f64 = 0.01;
/// No units are requested for a limit that has had no RPCs for longer than this, in milliseconds.
const IDLE_AFTER_MS: Millis = 5_000;

/// The demand for one limit.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// Number of RPCs since the last round.
    admitted: u32,
    rejected: u32,
    peak_in_flight: u32,
    /// Smoothed RPCs per second, admitted and rejected.
    offered_rps: f64,
    /// Smoothed admitted RPCs per second.
    admitted_rps: f64,
    last_rpc: Option<Millis>,
}

impl Demand {
    pub(super) fn record_admitted(&mut self, now: Millis) {
        self.admitted += 1;
        self.last_rpc = Some(now);
    }

    pub(super) fn record_rejected(&mut self, now: Millis) {
        self.rejected += 1;
        self.last_rpc = Some(now);
    }

    pub(super) fn record_in_flight(&mut self, in_flight: u32) {
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
    }

    /// Returns the number of RPCs admitted since the last round.
    pub(super) fn admitted(&self) -> u32 {
        self.admitted
    }

    /// Returns the smoothed rate of admitted RPCs per second.
    pub(super) fn admitted_rps(&self) -> f64 {
        self.admitted_rps
    }

    pub(super) fn is_idle(&self, now: Millis) -> bool {
        self.last_rpc
            .is_none_or(|last| now.saturating_sub(last) > IDLE_AFTER_MS)
    }

    /// Updates the smoothed rates after a round of `seconds`.
    pub(super) fn smooth_rates(&mut self, seconds: f64) {
        let offered_rps = f64::from(self.admitted + self.rejected) / seconds;
        let admitted_rps = f64::from(self.admitted) / seconds;
        self.offered_rps += SMOOTHING * (offered_rps - self.offered_rps);
        self.admitted_rps += SMOOTHING * (admitted_rps - self.admitted_rps);
        if self.offered_rps < MIN_OFFERED_RPS {
            self.offered_rps = 0.0;
        }
    }

    /// Returns the tokens wanted for the next rounds; rounds to 0 if there are few RPCs.
    pub(super) fn wanted_tokens(&self, round_interval: Millis) -> u32 {
        (self.offered_rps * round_interval as f64 / 1000.0 * PREFETCH_ROUNDS).round() as u32
    }

    /// Returns the units for RPCs in flight wanted for the next round: a quarter more than the last round's peak.
    pub(super) fn wanted_in_flight(&self, in_flight: u32) -> u32 {
        self.peak_in_flight.max(in_flight) + self.peak_in_flight / 4
    }

    /// Resets the counts for a new round.
    pub(super) fn begin_round(&mut self, in_flight: u32) {
        self.admitted = 0;
        self.rejected = 0;
        self.peak_in_flight = in_flight;
    }
}
