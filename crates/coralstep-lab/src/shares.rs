//! Limits of a whole fleet in virtual time, on the real decisions: servers with clocks that run apart, letters that are lost, late, doubled,
//! cuts, stops, kills. Judged at every moment by the formulas of `coralstep_quota::guarantees` alone: what all admit together, and that no
//! more than one gives.
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

/// Between two ticks of a server, on its own clock; and the step of the world.
const TICK: u64 = 50;
pub const STEP: u64 = 25;

/// A promise broken by intent, so that the checks show that they catch it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cheat {
    #[default]
    None,
    /// A clock that stands still while the process is stopped.
    StaleClock,
    /// A voter that was started anew promises at once, and a keeper knows no wake.
    Forgets,
    /// Clocks run apart by more than is stated.
    Drifts,
    /// One server admits what it has no share for.
    Admits,
}

struct Server {
    part: QuotaExtension,
    member: Member,
    /// Its clock's speed, and what it showed at the start of the world.
    rate: f64,
    paused: Option<u64>,
    /// What its clock has missed: none, but for a clock that stands still with the process.
    missed: u64,
    ticked: u64,
    /// RPCs in hand: until when, by the world's clock.
    hands: Vec<(u64, QuotaPermit)>,
    leaving: bool,
}

/// What one limit has seen.
#[derive(Clone, Debug, Default)]
struct Seen {
    /// Of a rate: what is over the rate so far, as a bucket that leaks.
    level: f64,
    at: u64,
    greatest: f64,
    admitted: u64,
    turned_away: u64,
}

pub struct World {
    pub now: u64,
    pub cheat: Cheat,
    pub loss: f64,
    pub delay: (u64, u64),
    pub doubled: f64,
    servers: BTreeMap<usize, Server>,
    keepers: Vec<String>,
    pub limits: Vec<Limit>,
    lease: u64,
    way: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    cut: BTreeSet<(usize, usize)>,
    sent: u64,
    pub bytes: u64,
    chance: SmallRng,
    seen: BTreeMap<u64, Seen>,
    pub broken: Option<String>,
    starts: u64,
}

fn at(server: usize) -> SocketAddr {
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

/// A limit on all RPCs of the one method there is.
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
    /// Its own clock.
    fn local(&self, now: u64) -> u64 {
        (now.saturating_sub(self.missed) as f64 * self.rate) as u64
    }
}

impl World {
    pub fn new(
        count: usize,
        keepers: usize,
        limits: &[Limit],
        lease: u64,
        seed: u64,
        cheat: Cheat,
    ) -> World {
        let mut world = World {
            now: 0,
            cheat,
            loss: 0.0,
            delay: (0, 2),
            doubled: 0.0,
            servers: BTreeMap::new(),
            keepers: (0..keepers).map(|at| format!("n{at}")).collect(),
            limits: limits.to_vec(),
            lease,
            way: BTreeMap::new(),
            cut: BTreeSet::new(),
            sent: 0,
            bytes: 0,
            chance: SmallRng::seed_from_u64(seed),
            seen: BTreeMap::new(),
            broken: None,
            starts: 0,
        };
        (0..count).for_each(|server| world.start(server));
        world
    }

    fn breaks(&mut self, why: String) {
        let now = self.now;
        self.broken
            .get_or_insert_with(|| format!("at {now} ms: {why}"));
    }

    /// Starts a server, in place of the one that was there.
    pub fn start(&mut self, server: usize) {
        self.starts += 1;
        let member = Member::new(&format!("n{server}"), at(server), self.starts);
        let spread = if self.cheat == Cheat::Drifts {
            0.3
        } else {
            MAX_CLOCK_DRIFT / 2.0
        };
        let rate = [1.0 - spread, 1.0, 1.0 + spread][(self.starts % 3) as usize];
        let local = (self.now as f64 * rate) as u64;
        let begins = if self.cheat == Cheat::Forgets {
            local.saturating_sub(60_000)
        } else {
            local
        };
        let mut part = QuotaExtension::new(
            &member,
            &self.keepers,
            self.lease,
            self.chance.random_range(1..u64::MAX),
            begins,
        );
        part.set_limits(local, &self.limits);
        let server_ = Server {
            part,
            member,
            rate,
            paused: None,
            missed: 0,
            ticked: 0,
            hands: Vec::new(),
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
            if let (Cheat::StaleClock, Some(was), false) = (self.cheat, was, paused) {
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

    /// Other figures from now on, at one server.
    pub fn set(&mut self, server: usize, limits: &[Limit]) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(&server) {
            server.part.set_limits(server.local(now), limits);
        }
    }

    fn post(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let to = server_at(to);
        self.bytes += bytes.len() as u64;
        if self.cut.contains(&(from, to)) || self.chance.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(self.chance.random_bool(self.doubled));
        for _ in 0..copies {
            let late = self.chance.random_range(self.delay.0..=self.delay.1);
            self.sent += 1;
            self.way
                .insert((self.now + late, self.sent), (from, to, bytes.clone()));
        }
    }

    /// Letters under way, and what may happen to the next one.
    pub fn under_way(&self) -> usize {
        self.way.len()
    }

    pub fn lose_next(&mut self) {
        self.way.pop_first();
    }

    /// The next letter comes a second time, so much later.
    pub fn double_next(&mut self, late: u64) {
        if let Some((_, letter)) = self
            .way
            .first_key_value()
            .map(|(at, letter)| (*at, letter.clone()))
        {
            self.sent += 1;
            self.way.insert((self.now + late, self.sent), letter);
        }
    }

    /// So much time passes.
    pub fn pass(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        while let Some(entry) = self
            .way
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
                // It lies in the socket until the process goes on.
                self.sent += 1;
                self.way.insert((now + TICK, self.sent), (from, to, bytes));
                continue;
            }
            let letters = server
                .part
                .handle_message(server.local(now), &member, &bytes);
            letters
                .into_iter()
                .for_each(|message| self.post(to, message.to, message.payload));
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
                .hands
                .extract_if(.., |(until, _)| *until <= now)
                .map(|(_, pass)| pass)
                .collect();
            over.into_iter().for_each(|pass| server.part.release(pass));
            let local = server.local(now);
            if local < server.ticked + TICK {
                continue;
            }
            server.ticked = local;
            // Who is cut off is still taken for a member for a while; that it can't be reached is found out by silence.
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
                    .part
                    .handle_timeout(local, &view)
                    .into_iter()
                    .map(|message| (*at, message.to, message.payload)),
            );
        }
        for (from, to, bytes) in out {
            self.post(from, to, bytes);
        }
        self.judge();
    }

    /// At every moment: one gives at the most, and what is in hand is within the limit.
    fn judge(&mut self) {
        let now = self.now;
        let gives =
            |server: &&Server| server.paused.is_none() && server.part.is_leader(server.local(now));
        let keepers: Vec<String> = self
            .servers
            .values()
            .filter(gives)
            .map(|server| server.member.name.clone())
            .collect();
        if keepers.len() > 1 {
            self.breaks(format!("{keepers:?} give at the same time"));
        }
        for limit in self.limits.clone() {
            if let LimitKind::InFlight(most) = limit.kind {
                let hands = |server: &Server| {
                    server
                        .hands
                        .iter()
                        .filter(|(until, _)| *until > now)
                        .count()
                };
                let hands: usize = self.servers.values().map(hands).sum();
                let seen = self.seen.entry(limit.key.0).or_default();
                seen.greatest = seen.greatest.max(hands as f64);
                if hands as f64 > max_admitted(limit.kind, 0) && limit.cut_off == CutOff::Strict {
                    self.breaks(format!("{hands} in hand of {most}"));
                }
            }
        }
    }

    /// An RPC comes to `server`, and is answered within `holds`. Whether it was admitted.
    pub fn rpc(&mut self, server: usize, holds: u64) -> Result<(), u64> {
        let (now, cheat) = (self.now, self.cheat);
        let Some(of) = self
            .servers
            .get_mut(&server)
            .filter(|server| server.paused.is_none())
        else {
            return Err(0);
        };
        let local = of.local(now);
        let admitted = of.part.admit(local, RequestKey::default(), holds);
        let admitted = match admitted {
            Err(_) if cheat == Cheat::Admits && server == 0 => Ok(QuotaPermit::default()),
            other => other,
        };
        let pass = match admitted {
            Ok(pass) => pass,
            Err(exhausted) => {
                self.seen
                    .values_mut()
                    .for_each(|seen| seen.turned_away += 1);
                return Err(exhausted.retry_after_ms);
            }
        };
        of.hands.push((now + holds, pass));
        for limit in self.limits.clone() {
            let seen = self.seen.entry(limit.key.0).or_default();
            seen.admitted += 1;
            if let LimitKind::Rate { rps, burst } = limit.kind {
                // For every window at once: what is over the rate never exceeds the burst.
                let leaks = rps * (1.0 + MAX_CLOCK_DRIFT) * (now - seen.at) as f64 / 1000.0;
                (seen.level, seen.at) = ((seen.level - leaks).max(0.0) + 1.0, now);
                seen.greatest = seen.greatest.max(seen.level);
                if seen.level > f64::from(burst) + 1e-6 && limit.cut_off == CutOff::Strict {
                    let level = seen.level;
                    self.breaks(format!("{level:.2} over the rate, {burst} may be"));
                }
            }
        }
        self.judge();
        Ok(())
    }

    /// Who gives now.
    pub fn keeper(&self) -> Option<usize> {
        let now = self.now;
        let gives = |(_, server): &(&usize, &Server)| server.part.is_leader(server.local(now));
        self.servers
            .iter()
            .filter(|(_, server)| server.paused.is_none())
            .find(gives)
            .map(|(at, _)| *at)
    }

    /// Waits for somebody to give; the time it took.
    pub fn until_kept(&mut self, most: u64) -> u64 {
        let start = self.now;
        while self.keeper().is_none() && self.now < start + most {
            self.pass(STEP);
        }
        self.now - start
    }

    /// Admitted, turned away, and the greatest ever over the rate or in hand.
    pub fn figures(&self, key: u64) -> (u64, u64, f64) {
        self.seen.get(&key).map_or((0, 0, 0.0), |seen| {
            (seen.admitted, seen.turned_away, seen.greatest)
        })
    }

    /// Units in the hands of a server.
    pub fn units(&self, server: usize) -> u32 {
        let Some(server) = self.servers.get(&server) else {
            return 0;
        };
        server
            .part
            .client()
            .statuses(server.local(self.now))
            .iter()
            .map(|have| have.units)
            .sum()
    }

    /// RPCs in hand of all servers.
    pub fn in_hand(&self) -> usize {
        let now = self.now;
        self.servers
            .values()
            .flat_map(|server| &server.hands)
            .filter(|(until, _)| *until > now)
            .count()
    }

    pub fn count(&self) -> usize {
        self.servers.len()
    }

    pub fn digest_text(&self) -> String {
        let of = |(at, server): (&usize, &Server)| {
            let local = server.local(self.now);
            let have = server.part.client().statuses(local);
            format!(
                "{at} {have:?} {} {} {}",
                server.paused.is_some(),
                server.hands.len(),
                server.part.is_leader(local)
            )
        };
        let way: Vec<_> = self
            .way
            .iter()
            .map(|((due, _), (from, to, bytes))| (due - self.now.min(*due), from, to, bytes))
            .collect();
        format!(
            "{:?} {way:?} {:?} {}",
            self.servers.iter().map(of).collect::<Vec<_>>(),
            self.cut,
            self.now
        )
    }
}
