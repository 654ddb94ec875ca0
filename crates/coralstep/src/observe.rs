//! What the decisions tell of themselves, and another level taken up.
use super::{Bulkhead, Hold, Scheduler};
use crate::actions::*;
use crate::circuit_breaker::{BreakerState, CircuitBreaker};
use crate::degradation::{DegradationLevel, Signals};
use crate::request::*;
use crate::site::{Place, Site};
use crate::time::*;

/// So long after the last call ended nothing is known of its dependency's present slowness.
const CALLS_TOLD: Span = Span::ms(5_000);

impl CircuitBreaker {
    pub fn state_name(&self) -> &'static str {
        self.state.name()
    }

    pub fn is_closed(&self) -> bool {
        self.state == BreakerState::Closed
    }
}

impl Bulkhead {
    /// The usual time of a call, in ticks.
    pub(super) fn usual(&self, site: &Site) -> u64 {
        let (calls, guess) = (&site.calls, Span(self.best));
        if self.share.is_some() {
            calls.mean(guess).0
        } else {
            calls.middle(guess).0
        }
    }

    /// The usual time of a call, as a multiple of the best that was usual.
    fn slowness(&self, site: &Site) -> Option<f64> {
        (self.best > 0).then(|| self.usual(site) as f64 / self.best as f64)
    }
}

impl Scheduler {
    /// Another level holds from now on. What is held and is not let in any more is answered at once; what has run is untouched.
    pub fn set_degradation(&mut self, now: Time, level: DegradationLevel, out: &mut dyn Actions) {
        self.site.now = now;
        let sheds = level != self.site.level;
        self.site.level = level;
        let held: Vec<RpcId> = self.site.at(Place::Held).map(|(id, _)| id).collect();
        held.into_iter()
            .filter(|_| sheds)
            .for_each(|id| self.check(id, out));
    }

    /// Another version of the settings holds for what is read from now on; what was read before is decided under the one it was read under.
    pub fn begin_config_version(&mut self) {
        self.site.versioned();
    }

    /// The breaker, to be told to others.
    pub fn breaker(&self) -> &CircuitBreaker {
        &self.breaker
    }

    /// What others saw of the dependency: so much evidence of its own does, and a cooldown that runs ends after `left`, where it says so.
    pub fn apply_peer_reports(&mut self, now: Time, need: u32, left: Option<Span>) {
        self.breaker
            .apply_peer_reports(need, left.map(|left| now + left));
    }

    pub fn signals(&self) -> Signals {
        let site = &self.site;
        let flag = |is: bool| Some(f64::from(u8::from(is)));
        let told = site.calls.count() > 0 && site.now - site.called <= CALLS_TOLD;
        // While nothing is asked for, nobody is pushed back.
        let begun = if site.tries.asked < 1.0 {
            1.0
        } else {
            (site.tries.ok / site.tries.asked).min(1.0)
        };
        Signals {
            queue_wait: Some(Hold::waited(site)),
            rejected: Some(1.0 - begun),
            concurrency: Some(site.count(Place::Running) as f64 / self.cores.limit.max(1) as f64),
            breaker_open: flag(!self.breaker.is_closed()),
            call_slowness: told.then(|| self.bulkhead.slowness(site)).flatten(),
            memory: Some(site.used_kb / site.memory_kb),
            read_delay: Some(self.unread),
            warming_up: flag(site.now < self.cores.cold_until),
        }
    }
}

#[cfg(test)]
#[path = "observe/tests.rs"]
mod tests;
