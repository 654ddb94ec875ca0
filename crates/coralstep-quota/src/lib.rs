//! Quotas of limits that hold for a whole fleet: RPCs a second, or in flight, of a tenant, a method, a dependency, or
//! several of these. No I/O and no clock here: messages and the time are passed in.
//!
//! A unit of a limit is held by one server at a time. The [`leader`] grants units, each for a [`lease`]; the
//! [`election`] sees to it that there is one leader at a time, by votes that lapse; a [`client`], on every server,
//! decides each RPC by the units that it holds, without a message. The [`extension`] joins them to the fleet's gossip,
//! and [`config`] is what operators state. What a server admits while it is cut off from the leader is the one rule in
//! [`cut_off`]. What all of it promises is in `docs/limits.md`, the formulas in [`guarantees`].
pub mod client;
pub mod config;
pub mod cut_off;
pub mod election;
pub mod extension;
pub mod guarantees;
pub mod leader;
pub mod lease;
pub mod limit;
pub mod message;

pub use client::{QuotaExhausted, QuotaPermit};
pub use config::LimitConfig;
pub use coralstep_fleet::Millis;
pub use extension::QuotaExtension;
pub use limit::{Limit, LimitKind, RequestKey};
