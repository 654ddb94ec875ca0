//! Simulates fleet-wide limits in virtual time with the real `QuotaExtension`: clock drift, lost, delayed and duplicated messages,
//! partitions, paused and killed servers. After every step the fleet-wide admissions are checked against the formulas of
//! `coralstep_quota::guarantees`, and that at most one server is the leader.
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use coralstep_fleet::Member;
use coralstep_fleet::extension::{GossipExtension, MembershipView};
use coralstep_quota::config::CutOff;
use coralstep_quota::guarantees::max_admitted;
use coralstep_quota::lease::MAX_CLOCK_DRIFT;
use coralstep_quota::limit::{LimitKey, LimitScope};
use coralstep_quota::{Limit, LimitKind, QuotaExtension, QuotaPermit, RequestKey};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Interval between two timeouts of a server, in ms of its own clock.
const TIMEOUT_INTERVAL: u64 = 50;
/// Step of the simulation, in ms.
pub const STEP: u64 = 25;

/// Violates one guarantee on purpose, to test the checks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Defect {
    #[default]
    None,
    /// The clock stands still while the process is stopped.
    StaleClock,
    /// A restarted server behaves as if it had run for a minute: it votes and leads without the wait after a restart.
    Forgets,
    /// Clocks drift by more than `MAX_CLOCK_DRIFT`.
    Drifts,
    /// One server admits requests that its share doesn't cover.
    Admits,
}

struct Server {
    quota: QuotaExtension,
    member: Member,
    /// Speed of its clock; 1 is exact.
    rate: f64,
    paused: Option<u64>,
    /// Time that its clock has missed; not 0 only if the clock stands still while the process is paused.
    missed: u64,
    last_timeout: u64,
    /// RPCs in flight with their end, in simulation time.
    in_flight: Vec<(u64, QuotaPermit)>,
    leaving: bool,
}

/// Admissions under one limit.
#[derive(Clone, Debug, Default)]
struct LimitStats {
    /// Excess over the rate so far, as the level of a leaky bucket; for rate limits only.
    level: f64,
    at: u64,
    maximum: f64,
    admitted: u64,
    rejected: u64,
}

pub struct QuotaSimulation {
    pub now: u64,
    pub defect: Defect,
    pub loss: f64,
    pub delay: (u64, u64),
    pub duplication: f64,
    servers: BTreeMap<usize, Server>,
    keepers: Vec<String>,
    pub limits: Vec<Limit>,
    lease: u64,
    in_transit: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    cut: BTreeSet<(usize, usize)>,
    sent: u64,
    pub bytes: u64,
    chance: SmallRng,
    seen: BTreeMap<u64, LimitStats>,
    pub violation: Option<String>,
    start_count: u64,
}

fn address_of(server: usize) -> SocketAddr {
    SocketAddr::from((
        [127, 1, (server / 250) as u8, (server % 250) as u8 + 1],
        7946,
    ))
}

fn server_at(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else { return 0 };
    let [.., high, low] = at.ip().octets();
    usize::from(high) * 250 + usize::from(low) - 1
}

/// Returns a limit on all RPCs of the only method.
pub fn limit(kind: LimitKind, cut_off: CutOff) -> Limit {
    let key = if matches!(kind, LimitKind::Rate { .. }) {
        1
    } else {
        2
    };
    Limit {
        key: LimitKey(key),
        name: format!("limit {key}"),
        scope: LimitScope {
            method: Some(0),
            ..LimitScope::default()
        },
        kind,
        cut_off,
    }
}

impl Server {
    /// Returns the time of the server's own clock.
    fn local_time(&self, now: u64) -> u64 {
        (now.saturating_sub(self.missed) as f64 * self.rate) as u64
    }
}

impl QuotaSimulation {
    pub fn new(
        count: usize,
        keepers: usize,
        limits: &[Limit],
        lease: u64,
        seed: u64,
        defect: Defect,
    ) -> QuotaSimulation {
        let mut world = QuotaSimulation {
            now: 0,
            defect,
            loss: 0.0,
            delay: (0, 2),
            duplication: 0.0,
            servers: BTreeMap::new(),
            keepers: (0..keepers).map(|at| format!("n{at}")).collect(),
            limits: limits.to_vec(),
            lease,
            in_transit: BTreeMap::new(),
            cut: BTreeSet::new(),
            sent: 0,
            bytes: 0,
            chance: SmallRng::seed_from_u64(seed),
            seen: BTreeMap::new(),
            violation: None,
            start_count: 0,
        };
        (0..count).for_each(|server| world.start(server));
        world
    }

    fn record_violation(&mut self, why: String) {
        let now = self.now;
        self.violation
            .get_or_insert_with(|| format!("at {now} ms: {why}"));
    }

    /// Starts a server, replacing the present one.
    pub fn start(&mut self, server: usize) {
        self.start_count += 1;
        let member = Member::new(&format!("n{server}"), address_of(server), self.start_count);
        let spread = if self.defect == Defect::Drifts {
            0.3
        } else {
            MAX_CLOCK_DRIFT / 2.0
        };
        let rate = [1.0 - spread, 1.0, 1.0 + spread][(self.start_count % 3) as usize];
        let local = (self.now as f64 * rate) as u64;
        let begins = if self.defect == Defect::Forgets {
            local.saturating_sub(60_000)
        } else {
            local
        };
        let mut quota = QuotaExtension::new(
            &member,
            &self.keepers,
            self.lease,
            self.chance.random_range(1..u64::MAX),
            begins,
        );
        quota.set_limits(local, &self.limits);
        let server_ = Server {
            quota,
            member,
            rate,
            paused: None,
            missed: 0,
            last_timeout: 0,
            in_flight: Vec::new(),
            leaving: false,
        };
        self.servers.insert(server, server_);
    }

    pub fn kill(&mut self, server: usize) {
        self.servers.remove(&server);
    }

    pub fn is_up(&self, server: usize) -> bool {
        self.servers
            .get(&server)
            .is_some_and(|server| server.paused.is_none())
    }

    pub fn pause(&mut self, server: usize, paused: bool) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(&server) {
            let was = server.paused.take();
            server.paused = paused.then(|| was.unwrap_or(now));
            if let (Defect::StaleClock, Some(was), false) = (self.defect, was, paused) {
                server.missed += now - was;
            }
        }
    }

    pub fn leave(&mut self, server: usize) {
        self.servers
            .entry(server)
            .and_modify(|server| server.leaving = true);
    }

    pub fn cut(&mut self, one: &[usize], other: &[usize]) {
        for (one, other) in one
            .iter()
            .flat_map(|one| other.iter().map(move |other| (*one, *other)))
        {
            self.cut.extend([(one, other), (other, one)]);
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Changes the limits at one server.
    pub fn set_limits(&mut self, server: usize, limits: &[Limit]) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(&server) {
            server.quota.set_limits(server.local_time(now), limits);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let to = server_at(to);
        self.bytes += bytes.len() as u64;
        if self.cut.contains(&(from, to)) || self.chance.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(self.chance.random_bool(self.duplication));
        for _ in 0..copies {
            let late = self.chance.random_range(self.delay.0..=self.delay.1);
            self.sent += 1;
            self.in_transit
                .insert((self.now + late, self.sent), (from, to, bytes.clone()));
        }
    }

    /// Returns the number of messages in transit.
    pub fn messages_in_transit(&self) -> usize {
        self.in_transit.len()
    }

    pub fn drop_next_message(&mut self) {
        self.in_transit.pop_first();
    }

    /// Delivers the next message a second time, `late` ms from now.
    pub fn duplicate_next_message(&mut self, late: u64) {
        if let Some((_, message)) = self
            .in_transit
            .first_key_value()
            .map(|(at, message)| (*at, message.clone()))
        {
            self.sent += 1;
            self.in_transit
                .insert((self.now + late, self.sent), message);
        }
    }

    /// Advances the simulation by `ms`.
    pub fn advance(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        while let Some(entry) = self
            .in_transit
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let (from, to, bytes) = entry.remove();
            let Some(member) = self.servers.get(&from).map(|server| server.member.clone()) else {
                continue;
            };
            let now = self.now;
            let Some(server) = self.servers.get_mut(&to) else {
                continue;
            };
            if server.paused.is_some() {
                // The message stays in the socket buffer until the process resumes.
                self.sent += 1;
                self.in_transit
                    .insert((now + TIMEOUT_INTERVAL, self.sent), (from, to, bytes));
                continue;
            }
            let messages = server
                .quota
                .handle_message(server.local_time(now), &member, &bytes);
            messages
                .into_iter()
                .for_each(|message| self.send(to, message.to, message.payload));
        }
        let all: Vec<(usize, Member)> = self
            .servers
            .iter()
            .map(|(at, server)| (*at, server.member.clone()))
            .collect();
        let (now, mut out) = (self.now, Vec::new());
        for (at, server) in self
            .servers
            .iter_mut()
            .filter(|(_, server)| server.paused.is_none())
        {
            let over: Vec<QuotaPermit> = server
                .in_flight
                .extract_if(.., |(until, _)| *until <= now)
                .map(|(_, permit)| permit)
                .collect();
            over.into_iter()
                .for_each(|permit| server.quota.release(permit));
            let local = server.local_time(now);
            if local < server.last_timeout + TIMEOUT_INTERVAL {
                continue;
            }
            server.last_timeout = local;
            // A partitioned server still counts as a member for a while; its peers find out by its silence that it is unreachable.
            let present: Vec<&Member> = all
                .iter()
                .filter(|(other, _)| other != at)
                .map(|(_, member)| member)
                .collect();
            let own = server.member.clone();
            let view = MembershipView {
                own: &own,
                current: present.clone(),
                present,
                excluded: Vec::new(),
                leaving: server.leaving,
            };
            out.extend(
                server
                    .quota
                    .handle_timeout(local, &view)
                    .into_iter()
                    .map(|message| (*at, message.to, message.payload)),
            );
        }
        for (from, to, bytes) in out {
            self.send(from, to, bytes);
        }
        self.check_invariants();
    }

    /// Checks that there is at most one leader and that the RPCs in flight are within their limits.
    fn check_invariants(&mut self) {
        let now = self.now;
        let is_leader = |server: &&Server| {
            server.paused.is_none() && server.quota.is_leader(server.local_time(now))
        };
        let leaders: Vec<String> = self
            .servers
            .values()
            .filter(is_leader)
            .map(|server| server.member.name.clone())
            .collect();
        if leaders.len() > 1 {
            self.record_violation(format!("{leaders:?} are leaders at the same time"));
        }
        for limit in self.limits.clone() {
            if let LimitKind::InFlight(most) = limit.kind {
                let in_flight = |server: &Server| {
                    server
                        .in_flight
                        .iter()
                        .filter(|(until, _)| *until > now)
                        .count()
                };
                let in_flight: usize = self.servers.values().map(in_flight).sum();
                let seen = self.seen.entry(limit.key.0).or_default();
                seen.maximum = seen.maximum.max(in_flight as f64);
                if in_flight as f64 > max_admitted(limit.kind, 0) && limit.cut_off == CutOff::Strict
                {
                    self.record_violation(format!("{in_flight} RPCs in flight, limit {most}"));
                }
            }
        }
    }

    /// Sends an RPC that takes `holds` ms to `server`. Returns the Retry-After in ms if it is rejected.
    pub fn rpc(&mut self, server: usize, holds: u64) -> Result<(), u64> {
        let (now, defect) = (self.now, self.defect);
        let Some(of) = self
            .servers
            .get_mut(&server)
            .filter(|server| server.paused.is_none())
        else {
            return Err(0);
        };
        let local = of.local_time(now);
        let admitted = of.quota.admit(local, RequestKey::default(), holds);
        let admitted = match admitted {
            Err(_) if defect == Defect::Admits && server == 0 => Ok(QuotaPermit::default()),
            other => other,
        };
        let permit = match admitted {
            Ok(permit) => permit,
            Err(exhausted) => {
                self.seen.values_mut().for_each(|seen| seen.rejected += 1);
                return Err(exhausted.retry_after_ms);
            }
        };
        of.in_flight.push((now + holds, permit));
        for limit in self.limits.clone() {
            let seen = self.seen.entry(limit.key.0).or_default();
            seen.admitted += 1;
            if let LimitKind::Rate { rps, burst } = limit.kind {
                // A leaky bucket checks all time windows at once: the excess over the rate must never exceed the burst.
                let leaks = rps * (1.0 + MAX_CLOCK_DRIFT) * (now - seen.at) as f64 / 1000.0;
                (seen.level, seen.at) = ((seen.level - leaks).max(0.0) + 1.0, now);
                seen.maximum = seen.maximum.max(seen.level);
                if seen.level > f64::from(burst) + 1e-6 && limit.cut_off == CutOff::Strict {
                    let level = seen.level;
                    self.record_violation(format!("{level:.2} over the rate, burst {burst}"));
                }
            }
        }
        self.check_invariants();
        Ok(())
    }

    /// Returns the present leader.
    pub fn leader(&self) -> Option<usize> {
        let now = self.now;
        let is_leader =
            |(_, server): &(&usize, &Server)| server.quota.is_leader(server.local_time(now));
        self.servers
            .iter()
            .filter(|(_, server)| server.paused.is_none())
            .find(is_leader)
            .map(|(at, _)| *at)
    }

    /// Advances until there is a leader, for at most `most` ms, and returns the time it took.
    pub fn wait_for_leader(&mut self, most: u64) -> u64 {
        let start = self.now;
        while self.leader().is_none() && self.now < start + most {
            self.advance(STEP);
        }
        self.now - start
    }

    /// Returns the admitted and the rejected RPCs of a limit, and its maximum excess over the rate or number of RPCs in flight.
    pub fn totals(&self, key: u64) -> (u64, u64, f64) {
        self.seen.get(&key).map_or((0, 0, 0.0), |seen| {
            (seen.admitted, seen.rejected, seen.maximum)
        })
    }

    /// Returns the units that a server holds.
    pub fn units(&self, server: usize) -> u32 {
        let Some(server) = self.servers.get(&server) else {
            return 0;
        };
        server
            .quota
            .client()
            .statuses(server.local_time(self.now))
            .iter()
            .map(|status| status.units)
            .sum()
    }

    /// Returns the number of RPCs in flight on all servers.
    pub fn in_flight(&self) -> usize {
        let now = self.now;
        self.servers
            .values()
            .flat_map(|server| &server.in_flight)
            .filter(|(until, _)| *until > now)
            .count()
    }

    pub fn count(&self) -> usize {
        self.servers.len()
    }

    pub fn digest_text(&self) -> String {
        let of = |(at, server): (&usize, &Server)| {
            let local = server.local_time(self.now);
            let status = server.quota.client().statuses(local);
            format!(
                "{at} {status:?} {} {} {}",
                server.paused.is_some(),
                server.in_flight.len(),
                server.quota.is_leader(local)
            )
        };
        let in_transit: Vec<_> = self
            .in_transit
            .iter()
            .map(|((due, _), (from, to, bytes))| (due - self.now.min(*due), from, to, bytes))
            .collect();
        format!(
            "{:?} {in_transit:?} {:?} {}",
            self.servers.iter().map(of).collect::<Vec<_>>(),
            self.cut,
            self.now
        )
    }
}
