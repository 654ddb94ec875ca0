//! One server's part in its fleet.
//!
//! [`Fleet`] wires the concerns of this crate together. What its calls lead to (datagrams, events)
//! is kept until it is fetched.
mod activity;
mod dissemination;
mod event;
mod exclusion;
mod extensions;
mod orders;
mod outbox;
mod peer_clock;
mod receive;
mod snapshot;
mod versions;
mod views;

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use activity::Activity;
pub use event::Event;
use event::EventQueue;
pub use exclusion::UnknownMemberError;
use extensions::Extensions;
use orders::OrderBook;
use outbox::Outbox;
pub use outbox::Transmit;
use peer_clock::PeerClock;
pub use snapshot::Snapshot;
pub use versions::Publication;
pub use views::MemberView;

use crate::audit::PeerAudits;
use crate::datagram;
use crate::exclusion::{ExclusionLimits, ExclusionState};
use crate::extension::Registration;
use crate::membership::{Member, Membership};
use crate::rollout::RpcCounts;
use crate::status::{ANNOUNCE_INTERVAL_MS, NodeStatuses};
use crate::versions::{VersionId, VersionStore};
use crate::{Millis, UnixMillis};

/// Settings of a server's part in its fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Name of the fleet; datagrams of other fleets are not read.
    pub name: String,
    /// This server.
    pub own: Member,
    /// Addresses at which other members may be found.
    pub peers: Vec<SocketAddr>,
    /// A server that lags behind the version to be active for longer excludes itself, in
    /// milliseconds.
    pub max_lag: Millis,
    /// A server that receives nothing for longer is isolated, in milliseconds.
    pub max_silence: Millis,
    /// Whether an isolated server excludes itself.
    pub exclude_when_isolated: bool,
    /// Seed of all random choices, which no other server may have.
    pub seed: u64,
}

/// One server's part in its fleet.
#[derive(Debug)]
pub struct Fleet {
    name: String,
    rng: SmallRng,
    clock: PeerClock,
    membership: Membership,
    statuses: NodeStatuses,
    status_sequence: u64,
    status_due: Millis,
    versions: VersionStore,
    /// The version whose rollout was halted here.
    halted: Option<VersionId>,
    activity: Activity,
    peer_audits: PeerAudits,
    exclusion: ExclusionState,
    orders: OrderBook,
    extensions: Extensions,
    leaving: bool,
    last_tick: Option<Millis>,
    outbox: Outbox,
    events: EventQueue,
}

impl Fleet {
    /// Returns the part of a server that starts `now`.
    ///
    /// `wall_ms` is the Unix clock, here and in all other calls: it is for people and for the
    /// order across servers, and no decision rests on it.
    pub fn new(config: FleetConfig, now: Millis, wall_ms: UnixMillis) -> Fleet {
        let clock = PeerClock::new(config.seed ^ config.own.incarnation);
        let limits = ExclusionLimits {
            max_lag: config.max_lag,
            max_silence: config.max_silence,
            // A server without peers has nobody to be cut off from.
            exclude_when_isolated: config.exclude_when_isolated && !config.peers.is_empty(),
        };
        Fleet {
            rng: SmallRng::seed_from_u64(config.seed ^ 1),
            activity: Activity::new(clock.timestamp(wall_ms)),
            clock,
            outbox: Outbox::new(datagram::fleet_id(&config.name)),
            name: config.own.name.clone(),
            membership: Membership::new(config.own, &config.peers, config.seed),
            statuses: NodeStatuses::default(),
            status_sequence: 0,
            status_due: now,
            versions: VersionStore::default(),
            halted: None,
            peer_audits: PeerAudits::default(),
            exclusion: ExclusionState::new(limits, now),
            orders: OrderBook::default(),
            extensions: Extensions::default(),
            leaving: false,
            last_tick: None,
            events: EventQueue::default(),
        }
    }

    /// Lets `extension` share the channel from now on.
    pub fn register(&mut self, extension: Registration) {
        self.extensions.register(extension);
    }

    /// Lets time pass. `rpcs` counts the RPCs of this process so far.
    pub fn handle_timeout(&mut self, now: Millis, wall_ms: UnixMillis, rpcs: RpcCounts) {
        self.detect_pause(now);
        self.last_tick = Some(now);
        self.activity.count_rpcs(rpcs);
        self.membership.handle_timeout(now);
        if now >= self.status_due {
            self.status_due = now + ANNOUNCE_INTERVAL_MS;
            self.statuses.expire(now);
            self.announce();
        }
        let jitter = self.rng.random_range(0.0..1.0);
        self.request_versions(now, wall_ms, jitter);
        self.evaluate_exclusion(now);
        self.handle_extension_timeouts(now, wall_ms);
        self.send_membership(now, wall_ms);
    }

    /// Announces that this server leaves; to be called before the drain.
    pub fn leave(&mut self, now: Millis, wall_ms: UnixMillis) {
        self.leaving = true;
        self.announce();
        // What extensions give back goes out while others still accept it from a member.
        self.handle_extension_timeouts(now, wall_ms);
        self.membership.leave(now);
        self.send_membership(now, wall_ms);
    }

    /// Returns the datagrams to be sent, and forgets them.
    pub fn take_datagrams(&mut self) -> Vec<Transmit> {
        self.outbox.take()
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.take()
    }
}
