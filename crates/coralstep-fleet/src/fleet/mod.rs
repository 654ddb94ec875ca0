//! [`Fleet`], the state of one server as a member of its fleet.
//!
//! It combines the other modules of this crate. Resulting datagrams and events are queued until the
//! caller takes them.
mod dissemination;
mod event;
mod exclusion;
mod extensions;
mod orders;
mod outbox;
mod peer_clock;
mod receive;
mod snapshot;
mod version_history;
mod versions;
mod views;

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub use event::Event;
use event::EventQueue;
pub use exclusion::UnknownMemberError;
use extensions::Extensions;
use orders::MembershipOrders;
use outbox::Outbox;
pub use outbox::Transmit;
use peer_clock::PeerClock;
pub use snapshot::Snapshot;
use version_history::VersionHistory;
pub use versions::Publication;
pub use views::MemberView;

use crate::audit::PeerAudits;
use crate::datagram;
use crate::exclusion::{ExclusionLimits, ExclusionState};
use crate::extension::Registration;
use crate::membership::{Member, Membership};
use crate::rollout::RpcCounts;
use crate::status::{NodeStatuses, STATUS_INTERVAL_MS};
use crate::versions::{VersionId, VersionStore};
use crate::{Millis, UnixMillis};

/// Configuration of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Name of the fleet. Datagrams of other fleets are rejected.
    pub name: String,
    /// This server.
    pub own: Member,
    /// Addresses of other members to which this server announces itself.
    pub peers: Vec<SocketAddr>,
    /// Maximum time that a server may lag behind the version that should be active before it excludes
    /// itself, in milliseconds.
    pub max_lag: Millis,
    /// Maximum time without a received datagram before the server counts as isolated, in
    /// milliseconds.
    pub max_silence: Millis,
    /// Whether an isolated server excludes itself.
    pub exclude_when_isolated: bool,
    /// Seed of the random number generators, which must be unique among the servers.
    pub seed: u64,
}

/// State of one server as a member of its fleet.
#[derive(Debug)]
pub struct Fleet {
    name: String,
    rng: SmallRng,
    clock: PeerClock,
    membership: Membership,
    statuses: NodeStatuses,
    status_sequence: u64,
    next_status_at: Millis,
    versions: VersionStore,
    /// The version whose rollout was halted on this server.
    halted: Option<VersionId>,
    history: VersionHistory,
    peer_audits: PeerAudits,
    exclusion: ExclusionState,
    orders: MembershipOrders,
    extensions: Extensions,
    leaving: bool,
    last_timeout: Option<Millis>,
    outbox: Outbox,
    events: EventQueue,
}

impl Fleet {
    /// Returns the state of a server that starts at `now`.
    ///
    /// Here and in all other calls, `wall_ms` is the time of the wall clock. It is used for display
    /// and to order events across servers; no decision depends on it.
    pub fn new(config: FleetConfig, now: Millis, wall_ms: UnixMillis) -> Fleet {
        let clock = PeerClock::new(config.seed ^ config.own.incarnation);
        let limits = ExclusionLimits {
            max_lag: config.max_lag,
            max_silence: config.max_silence,
            // A server without configured peers cannot be isolated from them.
            exclude_when_isolated: config.exclude_when_isolated && !config.peers.is_empty(),
        };
        Fleet {
            rng: SmallRng::seed_from_u64(config.seed ^ 1),
            history: VersionHistory::new(clock.timestamp(wall_ms)),
            clock,
            outbox: Outbox::new(datagram::fleet_id(&config.name)),
            name: config.own.name.clone(),
            membership: Membership::new(config.own, &config.peers, config.seed),
            statuses: NodeStatuses::default(),
            status_sequence: 0,
            next_status_at: now,
            versions: VersionStore::default(),
            halted: None,
            peer_audits: PeerAudits::default(),
            exclusion: ExclusionState::new(limits, now),
            orders: MembershipOrders::default(),
            extensions: Extensions::default(),
            leaving: false,
            last_timeout: None,
            events: EventQueue::default(),
        }
    }

    /// Registers an extension, whose payloads are sent in the fleet's datagrams from now on.
    pub fn register(&mut self, extension: Registration) {
        self.extensions.register(extension);
    }

    /// Performs all work that is due. Must be called periodically. `rpcs` are the RPCs of this process
    /// so far.
    pub fn handle_timeout(&mut self, now: Millis, wall_ms: UnixMillis, rpcs: RpcCounts) {
        self.detect_pause(now);
        self.last_timeout = Some(now);
        self.history.set_total_rpcs(rpcs);
        self.membership.handle_timeout(now);
        if now >= self.next_status_at {
            self.next_status_at = now + STATUS_INTERVAL_MS;
            self.statuses.expire(now);
            self.publish_status();
        }
        let jitter = self.rng.random_range(0.0..1.0);
        self.request_chunks(now, wall_ms, jitter);
        self.evaluate_exclusion(now);
        self.handle_extension_timeouts(now, wall_ms);
        self.send_membership(now, wall_ms);
    }

    /// Announces that this server leaves. Must be called before the drain.
    pub fn leave(&mut self, now: Millis, wall_ms: UnixMillis) {
        self.leaving = true;
        self.publish_status();
        // Extensions release their resources before this server leaves, because peers ignore its
        // messages afterwards.
        self.handle_extension_timeouts(now, wall_ms);
        self.membership.leave(now);
        self.send_membership(now, wall_ms);
    }

    /// Removes and returns the datagrams to be sent.
    pub fn take_datagrams(&mut self) -> Vec<Transmit> {
        self.outbox.take()
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.take()
    }
}
