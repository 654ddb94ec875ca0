//! Fleet-wide limits on RPCs per second or RPCs in flight, by tenant, method, dependency or a combination of these.
//! This crate does no I/O and reads no clock: the caller passes in messages and the time.
//!
//! A unit of a limit is held by one server at a time. The [`leader`] grants units, each for a [`lease`]. The
//! [`election`] ensures that there is one leader at a time, by votes that expire. A [`client`] on every server admits
//! RPCs by the units that it holds, without sending a message per RPC. The [`extension`] connects them to the fleet's
//! gossip, and [`config`] has the operator's settings. [`cut_off`] defines what a server admits while it cannot reach
//! the leader. `docs/limits.md` describes the guarantees, [`guarantees`] has them as formulas.
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
