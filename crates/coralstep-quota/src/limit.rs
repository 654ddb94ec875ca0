//! Limits as leader and clients apply them, after the names in their settings have been resolved.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config::CutOff;

/// Identifies a limit across the fleet. It depends on what the limit applies to, not on the limit's values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimitKey(pub u64);

/// What a limit counts, and its value for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitKind {
    /// RPCs per second, with bursts of up to `burst` RPCs.
    Rate {
        /// Refill rate, in RPCs per second.
        rps: f64,
        /// Size of the token bucket, in RPCs.
        burst: u32,
    },
    /// Maximum number of RPCs that have been read and not yet answered.
    InFlight(u32),
}

impl LimitKind {
    /// Returns the fleet's total units: the burst of a rate limit, or the maximum number of RPCs in flight.
    pub fn units(self) -> u32 {
        match self {
            LimitKind::Rate { burst, .. } => burst,
            LimitKind::InFlight(max) => max,
        }
    }

    /// Returns whether this is a rate limit.
    pub fn is_rate(self) -> bool {
        matches!(self, LimitKind::Rate { .. })
    }

    /// Returns the lower values of two versions of one limit.
    pub fn stricter(self, other: LimitKind) -> LimitKind {
        match (self, other) {
            (
                LimitKind::Rate { rps, burst },
                LimitKind::Rate {
                    rps: other_rps,
                    burst: other_burst,
                },
            ) => LimitKind::Rate {
                rps: rps.min(other_rps),
                burst: burst.min(other_burst),
            },
            (LimitKind::InFlight(max), LimitKind::InFlight(other_max)) => {
                LimitKind::InFlight(max.min(other_max))
            }
            (kind, _) => kind,
        }
    }
}

/// Which RPCs a limit applies to; an RPC has to match every field that is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LimitScope {
    /// Index of the tenant.
    pub tenant: Option<usize>,
    /// Index of the method.
    pub method: Option<usize>,
    /// Whether the limit applies only to RPCs whose method calls the dependency.
    pub calls_dependency: bool,
}

/// The properties of an RPC that decide which limits apply to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// Index of the tenant, if the RPC has one.
    pub tenant: Option<usize>,
    /// Index of the method.
    pub method: usize,
    /// Whether its method calls the dependency.
    pub calls_dependency: bool,
}

impl RequestKey {
    /// Returns every scope that includes the RPC, the widest first.
    pub(crate) fn scopes(self) -> impl Iterator<Item = LimitScope> {
        let tenants = [None, self.tenant];
        let tenant_count = 1 + usize::from(self.tenant.is_some());
        let dependency_count = 1 + usize::from(self.calls_dependency);
        tenants
            .into_iter()
            .take(tenant_count)
            .flat_map(move |tenant| {
                [None, Some(self.method)]
                    .into_iter()
                    .flat_map(move |method| {
                        [false, true].into_iter().take(dependency_count).map(
                            move |calls_dependency| LimitScope {
                                tenant,
                                method,
                                calls_dependency,
                            },
                        )
                    })
            })
    }
}

/// A fleet-wide limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Identifies the limit in messages between servers.
    pub key: LimitKey,
    /// Name shown to operators.
    pub name: String,
    /// The RPCs that it applies to.
    pub scope: LimitScope,
    /// What it counts, and its values.
    pub kind: LimitKind,
    /// What a server admits while no leader grants it units.
    pub cut_off: CutOff,
}

/// Merges two versions of the limits: all limits of either, each with its lower values, sorted by key.
///
/// During a rollout both versions are in use, so every server has to enforce the stricter one.
pub fn stricter_limits(limits: &[Limit], other: &[Limit]) -> Vec<Limit> {
    let mut joined: BTreeMap<LimitKey, Limit> = limits
        .iter()
        .map(|limit| (limit.key, limit.clone()))
        .collect();
    for limit in other {
        joined
            .entry(limit.key)
            .and_modify(|known| known.kind = known.kind.stricter(limit.kind))
            .or_insert_with(|| limit.clone());
    }
    joined.into_values().collect()
}
