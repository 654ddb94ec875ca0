//! A server put together from its terms: every stage as it is before the first RPC. Decides nothing; the figures are in `constants.rs`.
use super::{Bulkhead, Cores, Guard, Repeats, Scheduler};
use crate::actions::*;
use crate::circuit_breaker::{BreakerState, CircuitBreaker};
use crate::config::*;
use crate::constants::*;
use crate::site::{Hand, Site};
use crate::time::*;

impl CircuitBreaker {
    /// Closed, and nothing seen or heard.
    pub fn new(now: Time) -> CircuitBreaker {
        CircuitBreaker {
            state: BreakerState::Closed,
            window: 0,
            outcomes: 0,
            cooldown: COOLDOWN,
            since: now,
            min_outcomes: WINDOW,
        }
    }
}

impl Scheduler {
    pub fn start(
        terms: &SchedulerConfig,
        seed: u64,
        now: Time,
        out: &mut dyn Actions,
    ) -> Scheduler {
        let least = f64::from(terms.cores).max(TIER_LEAST);
        let share = terms.dependency.share();
        let range = share.map_or((least, least * TIER_MOST), |all| {
            (all * SHARE_LEAST, all * SHARE_MOST)
        });
        let warm_after = if terms.warming_up {
            terms.warm_up_time
        } else {
            Span::ZERO
        };
        out.set_timer(BEAT);
        Scheduler {
            site: Site::new(terms, seed, now),
            repeats: Repeats {
                key_kb: terms.key_kb,
                kept: 0,
            },
            guard: Guard {
                grace: terms.drain_grace,
                noticed: None,
                stop: Time(u64::MAX),
            },
            cores: Cores {
                limit: terms.cores.max(1) as usize,
                crowd: terms.max_started_per_core.max(1.0),
                cold_until: now + warm_after,
                lack: (1.0 - terms.cold_speed) / warm_after.0.max(1) as f64,
                moved: now,
                stalled: false,
            },
            bulkhead: Bulkhead {
                permits: share.map_or(least, |all| all * SHARE_FIRST),
                range,
                share,
                hand: Hand::new(share.map_or(Span::ZERO, |_| terms.abandoned_call_time), now),
                ..Bulkhead::default()
            },
            breaker: CircuitBreaker::new(now),
            advert: terms.load_report,
            callers: f64::from(terms.callers.max(1)),
            shed: 0.0,
            idle: terms.max_idle_time,
            max_idle: terms.max_idle_time,
            unread: 0.0,
            drowned: false,
            worn: false,
            beat: now + BEAT,
            reviewed: now,
        }
    }
}
