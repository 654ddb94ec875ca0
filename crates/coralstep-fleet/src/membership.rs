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

use crate::Millis;

/// One member is probed each period, and has so long to answer before others are asked to try.
pub const PROBE_PERIOD: Duration = Duration::from_millis(1_000);
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// A suspect has so long to speak up: a busy server is late, not dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Who is gone is remembered so long.
pub const DOWN_MEMBER_RETENTION: Duration = Duration::from_secs(60);
/// Bytes of a message of foca's; the rest of a datagram is the riders'.
pub const MAX_MESSAGE_BYTES: usize = 600;
/// Between two looks for the listed peers: at first and while nobody is known, and else (two halves that forgot each other meet so).
const SEEDS_FIRST: Millis = 1_000;
const SEEDS: Millis = 10_000;
/// Looks at first: those who start together meet in pairs, and the pairs have to meet, too.
const FIRST: usize = 15;
/// Membership that are known, gone ones among them; beyond that nobody is heard. Guards against a peer that invents them without end.
pub const MAX_MEMBERS: usize = 8_192;
/// Letters of a name.
pub const MAX_NAME_BYTES: usize = 64;
/// Timers that may wait; foca has a few for itself and two for each suspect.
const MAX_TIMERS: usize = 16_384;

/// A process: its name, where it is reached, and when it was started. The same name and place with another start is a restart; the same
/// name at two places at once is two processes with one name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub address: SocketAddr,
    pub incarnation: u64,
}

impl Member {
    pub fn new(name: &str, address: SocketAddr, incarnation: u64) -> Member {
        Member {
            name: name.to_owned(),
            address,
            incarnation,
        }
    }

    /// Whether a peer may have said so.
    pub fn is_valid(&self) -> bool {
        !self.name.is_empty() && self.name.len() <= MAX_NAME_BYTES && self.address.port() != 0
    }
}

impl Identity for Member {
    type Addr = SocketAddr;

    /// Who was taken for gone and is not comes back as if started anew.
    fn renew(&self) -> Option<Member> {
        Some(Member {
            incarnation: self.incarnation + 1,
            ..self.clone()
        })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.incarnation, &self.name) > (other.incarnation, &other.name)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Knows nobody yet.
    Joining,
    Alive,
    Suspect,
    #[serde(rename = "gone")]
    Down,
    /// Said that it leaves.
    Leaving,
}

impl MemberState {
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Joining => "joining",
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Down => "gone",
            MemberState::Leaving => "leaving",
        }
    }
}

/// What changed among the members.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipChange {
    Up(Member),
    Down(Member),
    /// The others took this server for gone; it is back under this identity.
    Rejoined(Member),
}

/// By time, then as they were asked for.
struct Waits(Millis, u64, Timer<Member>);

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
    now: Millis,
    number: u64,
    timers: BinaryHeap<Reverse<Waits>>,
    send: Vec<(Member, Vec<u8>)>,
    changes: Vec<MembershipChange>,
}

impl Runtime<Member> for Outside {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(member) => {
                self.changes.push(MembershipChange::Up(member.clone()))
            }
            Notification::MemberDown(member) => {
                self.changes.push(MembershipChange::Down(member.clone()))
            }
            Notification::Rename(before, member) => {
                self.changes.push(MembershipChange::Down(before.clone()));
                self.changes.push(MembershipChange::Up(member.clone()));
            }
            Notification::Rejoin(member) => self
                .changes
                .push(MembershipChange::Rejoined(member.clone())),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.send.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        if self.timers.len() < MAX_TIMERS {
            self.number += 1;
            self.timers.push(Reverse(Waits(
                self.now + after.as_millis() as u64,
                self.number,
                event,
            )));
        }
    }
}

pub struct Membership {
    foca: Foca<Member, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    outside: Outside,
    seeds: Vec<SocketAddr>,
    next_seed: usize,
    sought: Option<Millis>,
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
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_TIMEOUT,
        num_indirect_probes: some(3),
        max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: SUSPICION_TIMEOUT,
        remove_down_after: Some(DOWN_MEMBER_RETENTION),
        max_packet_size: some(MAX_MESSAGE_BYTES),
        notify_down_members: true,
        periodic_announce: every(10_000, 1),
        periodic_announce_to_down_members: every(3_000, 2),
        periodic_gossip: every(250, 2),
    }
}

impl Membership {
    pub fn new(own: Member, seeds: &[SocketAddr], seed: u64) -> Membership {
        let seeds = seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own.address)
            .collect();
        let foca = Foca::new(own, config(), SmallRng::seed_from_u64(seed), PostcardCodec);
        Membership {
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
    pub fn receive(&mut self, now: Millis, bytes: &[u8]) {
        self.outside.now = now;
        if self.foca.iter_membership_state().len() >= MAX_MEMBERS {
            return;
        }
        // What foca can't make sense of says nothing about the members.
        let _ = self.foca.handle_data(bytes, &mut self.outside);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) {
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
            let address = self.seeds[self.next_seed % self.seeds.len()];
            self.next_seed += 1;
            // Nobody knows its name yet: it is asked by its place alone.
            let _ = self.foca.announce(
                Member {
                    name: "?".to_owned(),
                    address,
                    incarnation: 0,
                },
                &mut self.outside,
            );
        }
    }

    /// Tells the others that this server leaves.
    pub fn leave(&mut self, now: Millis) {
        self.outside.now = now;
        let _ = self.foca.leave_cluster(&mut self.outside);
    }

    /// Messages to be sent.
    pub fn take_messages(&mut self) -> Vec<(Member, Vec<u8>)> {
        std::mem::take(&mut self.outside.send)
    }

    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.outside.changes)
    }

    /// All that are known, but for this server.
    pub fn iter(&self) -> impl Iterator<Item = (&Member, MemberState)> {
        self.foca.iter_membership_state().map(|member| {
            let state = match member.state() {
                foca::State::Alive => MemberState::Alive,
                foca::State::Suspect => MemberState::Suspect,
                foca::State::Down => MemberState::Down,
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
