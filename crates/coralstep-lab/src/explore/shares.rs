//! Limits of a fleet in a small scope: three servers that may all give, on clocks that run apart, one limit on what is in hand and one on the
//! rate. Whatever happens to letters and processes, the limits hold at every moment, one gives at the most, and when the trouble is
//! over all that is free is in use again within the stated bound.
use std::hash::{DefaultHasher, Hash, Hasher};

use coralstep_quota::LimitKind;
use coralstep_quota::config::CutOff;
use coralstep_quota::election::TERM_MS;
use coralstep_quota::guarantees::{max_failover_time, max_reclaim_time};
use coralstep_quota::lease::lengthen_by_drift;

use super::Play;
use crate::shares::{Defect, QuotaSimulation, limit};

const SERVERS: usize = 3;
pub const LEASE: u64 = 4_000;
/// RPCs are answered within so long.
const HOLDS: u64 = 1_500;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Prelude {
    /// All have just been started.
    #[default]
    Fresh,
    /// One gives, and all have shares in use.
    Settled,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Scope {
    pub prelude: Prelude,
    pub cheat: Defect,
}

pub struct Shares {
    world: QuotaSimulation,
}

const KINDS: [&str; 12] = [
    "50 ms pass",
    "700 ms pass",
    "3 s pass",
    "RPCs come to a server",
    "RPCs come to all",
    "the next letter is lost",
    "the next letter comes again 5 s later",
    "a server is killed and starts anew",
    "a server is stopped, or goes on",
    "a server is cut off",
    "all links heal",
    "a server leaves",
];

impl Shares {
    fn rpcs(&mut self, server: usize, count: usize) {
        for _ in 0..count {
            let _ = self.world.rpc(server, HOLDS);
        }
    }
}

impl Play for Shares {
    type Scope = Scope;

    fn start(scope: &Scope) -> Shares {
        let limits = [
            limit(LimitKind::InFlight(5), CutOff::Strict),
            limit(LimitKind::Rate { rps: 4.0, burst: 8 }, CutOff::Strict),
        ];
        let mut world = QuotaSimulation::new(SERVERS, SERVERS, &limits, LEASE, 7, scope.cheat);
        if scope.prelude == Prelude::Settled {
            world.advance(lengthen_by_drift(LEASE) + max_failover_time() + 1_000);
            let mut shares = Shares { world };
            for _ in 0..6 {
                (0..SERVERS).for_each(|server| shares.rpcs(server, 2));
                shares.world.advance(250);
            }
            return shares;
        }
        Shares { world }
    }

    fn moves(&self) -> Vec<u8> {
        let possible = |what: &u8| {
            let (kind, _) = (what / SERVERS as u8, what % SERVERS as u8);
            match kind {
                // One of a kind: these concern no server.
                0 | 1 | 2 | 4 | 10 => what.is_multiple_of(SERVERS as u8),
                5 | 6 => what.is_multiple_of(SERVERS as u8) && self.world.messages_in_transit() > 0,
                _ => true,
            }
        };
        (0..(KINDS.len() * SERVERS) as u8)
            .filter(possible)
            .collect()
    }

    fn step(&mut self, what: u8) {
        let (kind, server) = (what / SERVERS as u8, usize::from(what) % SERVERS);
        match kind {
            0 => self.world.advance(50),
            1 => self.world.advance(700),
            2 => self.world.advance(3_000),
            3 => self.rpcs(server, 6),
            4 => (0..SERVERS).for_each(|server| self.rpcs(server, 3)),
            5 => self.world.drop_next_message(),
            6 => self.world.duplicate_next_message(5_000),
            7 => self.world.start(server),
            8 => self.world.pause(server, self.world.is_up(server)),
            9 => {
                let others: Vec<usize> = (0..SERVERS).filter(|other| *other != server).collect();
                self.world.cut(&[server], &others);
            }
            10 => self.world.heal(),
            _ => self.world.leave(server),
        }
        // What follows from it at once is looked at, too.
        self.world.advance(10);
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.world.digest_text().hash(&mut hasher);
        hasher.finish()
    }

    fn broken(&self) -> Option<&str> {
        self.world.violation.as_deref()
    }

    fn comes_free(mut self) -> Option<String> {
        self.world.heal();
        for server in 0..SERVERS {
            self.world.pause(server, false);
        }
        // Who left is replaced.
        (0..SERVERS).for_each(|server| self.world.start(server));
        self.world
            .advance(max_failover_time() + lengthen_by_drift(TERM_MS));
        let kept = self.world.leader().is_some();
        self.world.advance(max_reclaim_time(LEASE, 500));
        // All demand is at one: it gets all.
        let mut most = 0;
        for _ in 0..24 {
            while self.world.rpc(1, HOLDS).is_ok() {}
            self.world.advance(250);
            most = most.max(self.world.units(1));
        }
        let broken = self.world.violation.clone();
        let stuck = (!kept).then(|| "nobody gives".to_owned());
        broken
            .or(stuck)
            .or_else(|| (most < 5).then(|| format!("{most} of 5 units are in use")))
    }

    fn name(what: u8) -> &'static str {
        KINDS[usize::from(what) / SERVERS % KINDS.len()]
    }
}

#[cfg(test)]
mod tests;
