//! Who is there: SWIM by `foca`, which knows no sockets and no clock either. Here are its timers, and its members by our words.
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, Foca, Identity, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::Ms;

/// One member is probed each period, and has so long to answer before others are asked to try.
pub const PROBE: Duration = Duration::from_millis(1_000);
pub const PROBE_RTT: Duration = Duration::from_millis(400);
/// A suspect has so long to speak up: a busy server is late, not dead.
pub const SUSPECT: Duration = Duration::from_millis(5_000);
/// Who is gone is remembered so long.
pub const FORGET: Duration = Duration::from_secs(60);
/// Bytes of a message of foca's; the rest of a datagram is the riders'.
pub const PACKET: usize = 600;
/// Between two looks for the listed peers: at first and while nobody is known, and else (two halves that forgot each other meet so).
const SEEDS_FIRST: Ms = 1_000;
const SEEDS: Ms = 10_000;
/// Looks at first: those who start together meet in pairs, and the pairs have to meet, too.
const FIRST: usize = 15;
/// Members that are known, gone ones among them; beyond that nobody is heard. Guards against a peer that invents them without end.
pub const MEMBERS_MOST: usize = 8_192;
/// Letters of a name.
pub const NAME_MOST: usize = 64;
/// Timers that may wait; foca has a few for itself and two for each suspect.
const TIMERS_MOST: usize = 16_384;

/// A process: its name, where it is reached, and when it was started. The same name and place with another start is a restart; the same
/// name at two places at once is two processes with one name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub at: SocketAddr,
    pub started: u64,
}

impl Member {
    pub fn new(name: &str, at: SocketAddr, started: u64) -> Member {
        Member {
            name: name.to_owned(),
            at,
            started,
        }
    }

    /// Whether a peer may have said so.
    pub fn is_sound(&self) -> bool {
        !self.name.is_empty() && self.name.len() <= NAME_MOST && self.at.port() != 0
    }
}

impl Identity for Member {
    type Addr = SocketAddr;

    /// Who was taken for gone and is not comes back as if started anew.
    fn renew(&self) -> Option<Member> {
        Some(Member {
            started: self.started + 1,
            ..self.clone()
        })
    }

    fn addr(&self) -> SocketAddr {
        self.at
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.started, &self.name) > (other.started, &other.name)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Knows nobody yet.
    Joining,
    Alive,
    Suspect,
    Gone,
    /// Said that it leaves.
    Leaving,
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::Joining => "joining",
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Gone => "gone",
            State::Leaving => "leaving",
        }
    }
}

/// What changed among the members.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Up(Member),
    Down(Member),
    /// The others took this server for gone; it is back under this identity.
    Back(Member),
}

/// By time, then as they were asked for.
struct Waits(Ms, u64, Timer<Member>);

impl PartialEq for Waits {
    fn eq(&self, other: &Waits) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Waits {}
impl PartialOrd for Waits {
    fn partial_cmp(&self, other: &Waits) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Waits {
    fn cmp(&self, other: &Waits) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// What foca asks for, until it is done.
#[derive(Default)]
struct Outside {
    now: Ms,
    number: u64,
    timers: BinaryHeap<Reverse<Waits>>,
    send: Vec<(Member, Vec<u8>)>,
    changes: Vec<Change>,
}

impl Runtime<Member> for Outside {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(member) => self.changes.push(Change::Up(member.clone())),
            Notification::MemberDown(member) => self.changes.push(Change::Down(member.clone())),
            Notification::Rename(before, member) => {
                self.changes.push(Change::Down(before.clone()));
                self.changes.push(Change::Up(member.clone()));
            }
            Notification::Rejoin(member) => self.changes.push(Change::Back(member.clone())),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.send.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        if self.timers.len() < TIMERS_MOST {
            self.number += 1;
            self.timers.push(Reverse(Waits(
                self.now + after.as_millis() as u64,
                self.number,
                event,
            )));
        }
    }
}

pub struct Members {
    foca: Foca<Member, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    outside: Outside,
    seeds: Vec<SocketAddr>,
    next_seed: usize,
    sought: Option<Ms>,
}

fn some(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}

fn config() -> Config {
    let every = |ms, count| {
        Some(PeriodicParams {
            frequency: Duration::from_millis(ms),
            num_members: some(count),
        })
    };
    Config {
        probe_period: PROBE,
        probe_rtt: PROBE_RTT,
        num_indirect_probes: some(3),
        max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: SUSPECT,
        remove_down_after: Some(FORGET),
        max_packet_size: some(PACKET),
        notify_down_members: true,
        periodic_announce: every(10_000, 1),
        periodic_announce_to_down_members: every(3_000, 2),
        periodic_gossip: every(250, 2),
    }
}

impl Members {
    pub fn new(own: Member, seeds: &[SocketAddr], seed: u64) -> Members {
        let seeds = seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own.at)
            .collect();
        let foca = Foca::new(own, config(), SmallRng::seed_from_u64(seed), PostcardCodec);
        Members {
            foca,
            outside: Outside::default(),
            seeds,
            next_seed: 0,
            sought: None,
        }
    }

    pub fn own(&self) -> &Member {
        self.foca.identity()
    }

    /// A message of foca's came.
    pub fn heard(&mut self, now: Ms, bytes: &[u8]) {
        self.outside.now = now;
        if self.foca.iter_membership_state().len() >= MEMBERS_MOST {
            return;
        }
        // What foca can't make sense of says nothing about the members.
        let _ = self.foca.handle_data(bytes, &mut self.outside);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Ms) {
        self.outside.now = now;
        while self
            .outside
            .timers
            .peek()
            .is_some_and(|Reverse(waits)| waits.0 <= now)
        {
            let Some(Reverse(Waits(_, _, event))) = self.outside.timers.pop() else {
                break;
            };
            let _ = self.foca.handle_timer(event, &mut self.outside);
        }
        let first = self.foca.num_members() == 0 || self.next_seed < FIRST;
        let every = if first { SEEDS_FIRST } else { SEEDS };
        if !self.seeds.is_empty() && self.sought.is_none_or(|sought| now >= sought + every) {
            self.sought = Some(now);
            let at = self.seeds[self.next_seed % self.seeds.len()];
            self.next_seed += 1;
            // Nobody knows its name yet: it is asked by its place alone.
            let _ = self.foca.announce(
                Member {
                    name: "?".to_owned(),
                    at,
                    started: 0,
                },
                &mut self.outside,
            );
        }
    }

    /// Tells the others that this server leaves.
    pub fn leave(&mut self, now: Ms) {
        self.outside.now = now;
        let _ = self.foca.leave_cluster(&mut self.outside);
    }

    /// Messages to be sent.
    pub fn send(&mut self) -> Vec<(Member, Vec<u8>)> {
        std::mem::take(&mut self.outside.send)
    }

    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.outside.changes)
    }

    /// All that are known, but for this server.
    pub fn all(&self) -> impl Iterator<Item = (&Member, State)> {
        self.foca.iter_membership_state().map(|member| {
            let state = match member.state() {
                foca::State::Alive => State::Alive,
                foca::State::Suspect => State::Suspect,
                foca::State::Down => State::Gone,
            };
            (member.id(), state)
        })
    }

    /// Those that are there as far as anybody knows.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(foca::Member::id)
    }

    pub fn count(&self) -> usize {
        self.foca.num_members()
    }
}
