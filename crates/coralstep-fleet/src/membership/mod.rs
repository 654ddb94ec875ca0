//! Fleet membership by the SWIM protocol. This module wraps the `foca` library and provides its
//! timers.
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

/// Interval between pings. One member is pinged in each interval.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time without an answer after which a member is pinged through other members.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of members through which an unresponsive member is pinged.
const INDIRECT_PINGS: usize = 3;
/// Time for which a member stays suspect before it is declared down. It is long enough for a busy
/// server to refute the suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time for which a member that is down is remembered.
const DOWN_MEMBER_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of times that one update is relayed.
const MAX_TRANSMISSIONS: u8 = 10;
/// Maximum size of a message, in bytes. The rest of a datagram is left for other payloads.
const MAX_MESSAGE_BYTES: usize = 600;
/// Interval between this server's announcements to other members.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(10_000);
/// Number of members that each announcement is sent to.
const ANNOUNCE_FANOUT: usize = 1;
/// Interval between announcements to members that are down, which may only have been partitioned.
const ANNOUNCE_TO_DOWN_INTERVAL: Duration = Duration::from_millis(3_000);
/// Number of members that are down to which each of these announcements is sent.
const ANNOUNCE_TO_DOWN_FANOUT: usize = 2;
/// Interval between gossip messages, which relay updates in addition to the pings.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Number of members that each gossip message is sent to.
const GOSSIP_FANOUT: usize = 2;
/// Interval between announcements to the configured peers after the start, and while no member is
/// known.
const MIN_SEED_INTERVAL_MS: Millis = 1_000;
/// Interval between announcements to the configured peers later on. Guards against two halves of a
/// partitioned fleet that have forgotten each other.
const MAX_SEED_INTERVAL_MS: Millis = 10_000;
/// Number of announcements at the shorter interval. Servers that start at the same time first join
/// in pairs, and these pairs must find each other as well.
const FREQUENT_SEED_ANNOUNCEMENTS: usize = 15;
/// Maximum number of known members, including those that are down. Beyond it, messages are ignored.
/// Guards against a peer that invents an unlimited number of members.
pub const MAX_MEMBERS: usize = 8_192;

/// A change of the membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipChange {
    /// A member joined or rejoined.
    Up(Member),
    /// A member failed or left.
    Down(Member),
    /// Other members declared this server down, and it rejoined under this identity.
    Rejoined(Member),
}

/// A message of the membership protocol to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipMessage {
    /// Receiver of the message.
    pub to: Member,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// This server's view of the fleet's members.
pub struct Membership {
    swim: Foca<Member, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    runtime: SwimRuntime,
    seeds: Vec<SocketAddr>,
    seed_announcements: usize,
    last_seed_announcement: Option<Millis>,
}

fn at_least_one(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}

fn periodic(frequency: Duration, members: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams {
        frequency,
        num_members: at_least_one(members),
    })
}

fn swim_config() -> Config {
    Config {
        probe_period: PING_INTERVAL,
        probe_rtt: PING_TIMEOUT,
        num_indirect_probes: at_least_one(INDIRECT_PINGS),
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: SUSPICION_TIMEOUT,
        remove_down_after: Some(DOWN_MEMBER_RETENTION),
        max_packet_size: at_least_one(MAX_MESSAGE_BYTES),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_INTERVAL, ANNOUNCE_FANOUT),
        periodic_announce_to_down_members: periodic(
            ANNOUNCE_TO_DOWN_INTERVAL,
            ANNOUNCE_TO_DOWN_FANOUT,
        ),
        periodic_gossip: periodic(GOSSIP_INTERVAL, GOSSIP_FANOUT),
    }
}

impl Membership {
    /// Returns the membership of the server `own`, which announces itself to the addresses `seeds`.
    /// `seed` initializes the random number generator.
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

    /// Handles a message from another member. Messages that cannot be decoded are ignored.
    pub fn receive(&mut self, now: Millis, message: &[u8]) {
        self.runtime.now = now;
        if self.swim.iter_membership_state().len() >= MAX_MEMBERS {
            return;
        }
        // Messages that the library rejects are dropped; they contain no usable update.
        let _ = self.swim.handle_data(message, &mut self.runtime);
    }

    /// Fires all timers that are due and announces this server to a seed if that is due.
    pub fn handle_timeout(&mut self, now: Millis) {
        self.runtime.now = now;
        while let Some(timer) = self.runtime.pop_due_timer() {
            // The library returns an error for an outdated timer, which is harmless.
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
        // The seed's name and incarnation are not known yet. The library only uses its address.
        let unknown_member = Member::new("?", address, 0);
        // A failed announcement needs no handling because it is repeated.
        let _ = self.swim.announce(unknown_member, &mut self.runtime);
    }

    /// Announces that this server leaves.
    pub fn leave(&mut self, now: Millis) {
        self.runtime.now = now;
        // Fails only if this server has already left.
        let _ = self.swim.leave_cluster(&mut self.runtime);
    }

    /// Removes and returns the messages to be sent.
    pub fn take_messages(&mut self) -> Vec<MembershipMessage> {
        std::mem::take(&mut self.runtime.messages)
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.runtime.changes)
    }

    /// Iterates over all members except this server, including those that are down.
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
