//! Model of fleet-wide limits in a small scope: three servers that may all become leader, with drifting clocks, one limit on
//! concurrency and one on the rate. Invariants under any loss of messages or processes: the limits hold at all times, at most one
//! leader grants units, and all free units are in use again within the guaranteed time after the faults end.
use std::hash::{DefaultHasher, Hash, Hasher};

use coralstep_quota::LimitKind;
use coralstep_quota::config::CutOff;
use coralstep_quota::election::TERM_MS;
use coralstep_quota::guarantees::{max_failover_time, max_reclaim_time};
use coralstep_quota::lease::lengthen_by_drift;

use super::Model;
use crate::shares::{Defect, QuotaSimulation, limit};

const SERVERS: usize = 3;
/// Duration of a lease, in milliseconds.
pub const LEASE_MS: u64 = 4_000;
/// Duration of each RPC, in milliseconds.
const RPC_DURATION_MS: u64 = 1_500;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InitialState {
    /// All servers have just started.
    #[default]
    Fresh,
    /// A leader is elected, and all servers use their shares.
    Settled,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Scope {
    pub initial_state: InitialState,
    pub injected_fault: Defect,
}

pub struct Shares {
    world: QuotaSimulation,
}

const ACTIONS: [&str; 12] = [
    "50 ms pass",
    "700 ms pass",
    "3 s pass",
    "RPCs arrive at a server",
    "RPCs arrive at all servers",
    "the next message is lost",
    "the next message is delivered again 5 s later",
    "a server is killed and restarted",
    "a server is paused or resumed",
    "a server is partitioned",
    "all links heal",
    "a server leaves",
];

impl Shares {
    fn send_rpcs(&mut self, server: usize, count: usize) {
        for _ in 0..count {
            let _ = self.world.rpc(server, RPC_DURATION_MS);
        }
    }
}

impl Model for Shares {
    type Scope = Scope;

    fn start(scope: &Scope) -> Shares {
        let limits = [
            limit(LimitKind::InFlight(5), CutOff::Strict),
            limit(LimitKind::Rate { rps: 4.0, burst: 8 }, CutOff::Strict),
        ];
        let mut world =
            QuotaSimulation::new(SERVERS, SERVERS, &limits, LEASE_MS, 7, scope.injected_fault);
        if scope.initial_state == InitialState::Settled {
            world.advance(lengthen_by_drift(LEASE_MS) + max_failover_time() + 1_000);
            let mut shares = Shares { world };
            for _ in 0..6 {
                (0..SERVERS).for_each(|server| shares.send_rpcs(server, 2));
                shares.world.advance(250);
            }
            return shares;
        }
        Shares { world }
    }

    fn actions(&self) -> Vec<u8> {
        let possible = |action: &u8| {
            let (kind, _) = (action / SERVERS as u8, action % SERVERS as u8);
            match kind {
                // These actions concern no single server and exist once.
                0 | 1 | 2 | 4 | 10 => action.is_multiple_of(SERVERS as u8),
                5 | 6 => {
                    action.is_multiple_of(SERVERS as u8) && self.world.messages_in_transit() > 0
                }
                _ => true,
            }
        };
        (0..(ACTIONS.len() * SERVERS) as u8)
            .filter(possible)
            .collect()
    }

    fn apply(&mut self, action: u8) {
        let (kind, server) = (action / SERVERS as u8, usize::from(action) % SERVERS);
        match kind {
            0 => self.world.advance(50),
            1 => self.world.advance(700),
            2 => self.world.advance(3_000),
            3 => self.send_rpcs(server, 6),
            4 => (0..SERVERS).for_each(|server| self.send_rpcs(server, 3)),
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
        // Immediate consequences are checked, too.
        self.world.advance(10);
    }

    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.world.digest_text().hash(&mut hasher);
        hasher.finish()
    }

    fn violation(&self) -> Option<&str> {
        self.world.violation.as_deref()
    }

    fn check_recovery(mut self) -> Option<String> {
        self.world.heal();
        for server in 0..SERVERS {
            self.world.pause(server, false);
        }
        // Servers that left are replaced.
        (0..SERVERS).for_each(|server| self.world.start(server));
        self.world
            .advance(max_failover_time() + lengthen_by_drift(TERM_MS));
        let has_leader = self.world.leader().is_some();
        self.world.advance(max_reclaim_time(LEASE_MS, 500));
        // All demand is at one server, which must receive all units.
        let mut max_units = 0;
        for _ in 0..24 {
            while self.world.rpc(1, RPC_DURATION_MS).is_ok() {}
            self.world.advance(250);
            max_units = max_units.max(self.world.units(1));
        }
        let violation = self.world.violation.clone();
        let no_leader = (!has_leader).then(|| "there is no leader".to_owned());
        violation
            .or(no_leader)
            .or_else(|| (max_units < 5).then(|| format!("only {max_units} of 5 units are in use")))
    }

    fn action_name(action: u8) -> &'static str {
        ACTIONS[usize::from(action) / SERVERS % ACTIONS.len()]
    }
}

#[cfg(test)]
mod tests;
