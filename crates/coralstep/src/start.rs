//! A server put together from its terms: every stage as it is before the first RPC. Decides nothing; the figures are in `constants.rs`.
use super::{Bulkhead, Cores, Guard, Repeats, Server};
use crate::breaker::Breaker;
use crate::constants::*;
use crate::door::*;
use crate::site::{Hand, Site};

impl Breaker {
    /// Closed, and nothing seen or heard.
    pub fn new(now: Time) -> Breaker {
        Breaker {
            state: State::Closed,
            window: 0,
            seen: 0,
            cooldown: COOLDOWN,
            since: now,
            need: WINDOW,
        }
    }
}

impl Server {
    pub fn start(terms: &Terms, seed: u64, now: Time, out: &mut dyn Outlet) -> Server {
        let least = f64::from(terms.cores).max(TIER_LEAST);
        let share = terms.below.share();
        let range = share.map_or((least, least * TIER_MOST), |all| {
            (all * SHARE_LEAST, all * SHARE_MOST)
        });
        let warm_after = if terms.cold {
            terms.warm_after
        } else {
            Span::ZERO
        };
        out.timer(BEAT);
        Server {
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
                crowd: terms.survivable_crowd.max(1.0),
                cold_until: now + warm_after,
                lack: (1.0 - terms.cold_speed) / warm_after.0.max(1) as f64,
                moved: now,
                stalled: false,
            },
            bulkhead: Bulkhead {
                permits: share.map_or(least, |all| all * SHARE_FIRST),
                range,
                share,
                hand: Hand::new(share.map_or(Span::ZERO, |_| terms.linger), now),
                ..Bulkhead::default()
            },
            breaker: Breaker::new(now),
            advert: terms.advert,
            callers: f64::from(terms.callers.max(1)),
            shed: 0.0,
            idle: terms.caller_idle,
            max_idle: terms.caller_idle,
            unread: 0.0,
            drowned: false,
            worn: false,
            beat: now + BEAT,
            reviewed: now,
        }
    }
}
