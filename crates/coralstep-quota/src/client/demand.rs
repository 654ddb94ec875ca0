//! How much of a limit this server's callers want, smoothed from round to round.
use crate::Millis;

/// Rounds for which tokens are requested ahead.
const ROUNDS_AHEAD: f64 = 2.0;
/// Weight of the newest round in the smoothed rates.
const SMOOTHING: f64 = 0.5;
/// A smoothed rate under this is none, in RPCs a second.
const MIN_OFFERED_RPS: f64 = 0.01;
/// A limit without RPCs for longer than this is not requested, in milliseconds.
const IDLE_AFTER_MS: Millis = 5_000;

/// The demand for one limit.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// Since the last round.
    admitted: u32,
    rejected: u32,
    peak_in_flight: u32,
    /// Smoothed RPCs a second: all of them, and those admitted.
    offered_rps: f64,
    admitted_rps: f64,
    last_rpc: Option<Millis>,
}

impl Demand {
    pub(super) fn note_admitted(&mut self, now: Millis) {
        self.admitted += 1;
        self.last_rpc = Some(now);
    }

    pub(super) fn note_rejected(&mut self, now: Millis) {
        self.rejected += 1;
        self.last_rpc = Some(now);
    }

    pub(super) fn note_in_flight(&mut self, in_flight: u32) {
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
    }

    /// RPCs admitted since the last round.
    pub(super) fn admitted(&self) -> u32 {
        self.admitted
    }

    /// Smoothed RPCs admitted a second.
    pub(super) fn admitted_rps(&self) -> f64 {
        self.admitted_rps
    }

    pub(super) fn is_idle(&self, now: Millis) -> bool {
        self.last_rpc
            .is_none_or(|last| now.saturating_sub(last) > IDLE_AFTER_MS)
    }

    /// Takes the rates of a round that lasted `seconds`.
    pub(super) fn smooth_rates(&mut self, seconds: f64) {
        let offered_rps = f64::from(self.admitted + self.rejected) / seconds;
        let admitted_rps = f64::from(self.admitted) / seconds;
        self.offered_rps += SMOOTHING * (offered_rps - self.offered_rps);
        self.admitted_rps += SMOOTHING * (admitted_rps - self.admitted_rps);
        if self.offered_rps < MIN_OFFERED_RPS {
            self.offered_rps = 0.0;
        }
    }

    /// Tokens wanted for the rounds to come; where few RPCs come, none.
    pub(super) fn tokens_ahead(&self, round: Millis) -> u32 {
        (self.offered_rps * round as f64 / 1000.0 * ROUNDS_AHEAD).round() as u32
    }

    /// RPCs in flight wanted for the round to come: a quarter more than the most of the last one.
    pub(super) fn in_flight_ahead(&self, in_flight: u32) -> u32 {
        self.peak_in_flight.max(in_flight) + self.peak_in_flight / 4
    }

    /// A new round begins.
    pub(super) fn begin_round(&mut self, in_flight: u32) {
        self.admitted = 0;
        self.rejected = 0;
        self.peak_in_flight = in_flight;
    }
}
