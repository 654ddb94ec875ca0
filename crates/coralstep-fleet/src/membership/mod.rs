//! Membership of the fleet: SWIM by the `foca` library, with its timers and its members in this
//! crate's terms.
mod member;
mod runtime;

use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, Foca, PeriodicParams, PostcardCodec};
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use member::{MAX_NAME_BYTES, Member, MemberState};
use runtime::SwimRuntime;

use crate::Millis;

/// One member is probed in each period.
const PROBE_PERIOD: Duration = Duration::from_millis(1_000);
/// A member that has not answered for so long is probed through others.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Members through which a silent one is probed.
const INDIRECT_PROBES: usize = 3;
/// A suspect has so long to speak up: a busy server is late, not down.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(5_000);
/// A member that is down is remembered for so long.
const DOWN_MEMBER_RETENTION: Duration = Duration::from_secs(60);
/// Times that one update is passed on.
const MAX_TRANSMISSIONS: u8 = 10;
/// Bytes of a message; the rest of a datagram is for other payloads.
const MAX_MESSAGE_BYTES: usize = 600;
/// How often this server announces itself to other members, and to how many.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(10_000);
const ANNOUNCED_MEMBERS: usize = 1;
/// The same towards members that are down: they may only have been cut off.
const ANNOUNCE_TO_DOWN_PERIOD: Duration = Duration::from_millis(3_000);
const ANNOUNCED_DOWN_MEMBERS: usize = 2;
/// How often updates are passed on beside the probes, and to how many members.
const GOSSIP_PERIOD: Duration = Duration::from_millis(250);
const GOSSIPED_MEMBERS: usize = 2;
/// Between two announcements to the listed peers at first, and while no member is known.
const MIN_SEED_INTERVAL_MS: Millis = 1_000;
/// The same later on. Guards against two halves of a fleet that have forgotten each other.
const MAX_SEED_INTERVAL_MS: Millis = 10_000;
/// Announcements at the shorter interval: servers that start together meet in pairs first, and
/// the pairs have to meet as well.
const FREQUENT_SEED_ANNOUNCEMENTS: usize = 15;
/// Members that are known, those that are down among them; beyond that no message is read. Guards
/// against a peer that invents members without end.
pub const MAX_MEMBERS: usize = 8_192;

/// A change among the members.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipChange {
    /// A member joined or came back.
    Up(Member),
    /// A member failed or left.
    Down(Member),
    /// The others took this server for failed; it is back under this identity.
    Rejoined(Member),
}

/// A message of the membership protocol to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipMessage {
    /// The member that it is for.
    pub to: Member,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// The members of the fleet as this server knows them.
pub struct Membership {
    swim: Foca<Member, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    runtime: SwimRuntime,
    seeds: Vec<SocketAddr>,
    seed_announcements: usize,
    last_seed_announcement: Option<Millis>,
}

fn non_zero(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}

fn periodic(frequency: Duration, members: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams {
        frequency,
        num_members: non_zero(members),
    })
}

fn swim_config() -> Config {
    Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_TIMEOUT,
        num_indirect_probes: non_zero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: SUSPICION_TIMEOUT,
        remove_down_after: Some(DOWN_MEMBER_RETENTION),
        max_packet_size: non_zero(MAX_MESSAGE_BYTES),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_PERIOD, ANNOUNCED_MEMBERS),
        periodic_announce_to_down_members: periodic(
            ANNOUNCE_TO_DOWN_PERIOD,
            ANNOUNCED_DOWN_MEMBERS,
        ),
        periodic_gossip: periodic(GOSSIP_PERIOD, GOSSIPED_MEMBERS),
    }
}

impl Membership {
    /// Returns the membership of `own`, which announces itself to `seeds`. The same `seed` leads
    /// to the same choices.
    pub fn new(own: Member, seeds: &[SocketAddr], seed: u64) -> Membership {
        let is_other = |address: &SocketAddr| *address != own.address;
        let seeds = seeds.iter().copied().filter(is_other).collect();
        let rng = SmallRng::seed_from_u64(seed);
        Membership {
            swim: Foca::new(own, swim_config(), rng, PostcardCodec),
            runtime: SwimRuntime::default(),
            seeds,
            seed_announcements: 0,
            last_seed_announcement: None,
        }
    }

    /// Returns this server's identity.
    pub fn own(&self) -> &Member {
        self.swim.identity()
    }

    /// Takes in a message of another member; what can't be read is ignored.
    pub fn receive(&mut self, now: Millis, message: &[u8]) {
        self.runtime.now = now;
        if self.swim.iter_membership_state().len() >= MAX_MEMBERS {
            return;
        }
        // A message that the library rejects says nothing about the members.
        let _ = self.swim.handle_data(message, &mut self.runtime);
    }

    /// Lets time pass.
    pub fn handle_timeout(&mut self, now: Millis) {
        self.runtime.now = now;
        while let Some(timer) = self.runtime.pop_due_timer() {
            // A timer that is no longer of use is no fault.
            let _ = self.swim.handle_timer(timer, &mut self.runtime);
        }
        self.announce_to_next_seed(now);
    }

    fn announce_to_next_seed(&mut self, now: Millis) {
        let is_frequent =
            self.swim.num_members() == 0 || self.seed_announcements < FREQUENT_SEED_ANNOUNCEMENTS;
        let interval = if is_frequent {
            MIN_SEED_INTERVAL_MS
        } else {
            MAX_SEED_INTERVAL_MS
        };
        let is_due = self
            .last_seed_announcement
            .is_none_or(|last| now >= last + interval);
        if self.seeds.is_empty() || !is_due {
            return;
        }
        self.last_seed_announcement = Some(now);
        let address = self.seeds[self.seed_announcements % self.seeds.len()];
        self.seed_announcements += 1;
        // The seed's name and incarnation are not known yet; only its address counts.
        let unnamed = Member::new("?", address, 0);
        // The library has nothing to report of an announcement that it could not make.
        let _ = self.swim.announce(unnamed, &mut self.runtime);
    }

    /// Announces that this server leaves.
    pub fn leave(&mut self, now: Millis) {
        self.runtime.now = now;
        // Fails only where this server has left already.
        let _ = self.swim.leave_cluster(&mut self.runtime);
    }

    /// Returns the messages to be sent, and forgets them.
    pub fn take_messages(&mut self) -> Vec<MembershipMessage> {
        std::mem::take(&mut self.runtime.messages)
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.runtime.changes)
    }

    /// Iterates over all members but this server, those that are down among them.
    pub fn iter(&self) -> impl Iterator<Item = (&Member, MemberState)> {
        self.swim.iter_membership_state().map(|member| {
            let state = match member.state() {
                foca::State::Alive => MemberState::Alive,
                foca::State::Suspect => MemberState::Suspect,
                foca::State::Down => MemberState::Down,
            };
            (member.id(), state)
        })
    }

    /// Iterates over the other members that are not down.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.swim.iter_members().map(foca::Member::id)
    }

    /// Returns the number of other members that are not down.
    pub fn count(&self) -> usize {
        self.swim.num_members()
    }
}

impl std::fmt::Debug for Membership {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Membership")
            .field("own", self.own())
            .field("members", &self.count())
            .finish_non_exhaustive()
    }
}
