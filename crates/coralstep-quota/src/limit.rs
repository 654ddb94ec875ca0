//! A limit as the leader and the clients apply it, with the names of its settings resolved.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config::CutOff;

/// Identifies a limit across the fleet: the same wherever what it applies to is the same, whatever its figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimitKey(pub u64);

/// What a limit counts, and how much of it the whole fleet may have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitKind {
    /// RPCs a second, of which `burst` may come at once.
    Rate {
        /// RPCs a second, refilled evenly.
        rps: f64,
        /// Size of the token bucket, in RPCs.
        burst: u32,
    },
    /// RPCs that are read and not yet answered, at any moment.
    InFlight(u32),
}

impl LimitKind {
    /// Units that the fleet has in all: tokens of a rate, RPCs of a limit on those in flight.
    pub fn units(self) -> u32 {
        match self {
            LimitKind::Rate { burst, .. } => burst,
            LimitKind::InFlight(max) => max,
        }
    }

    /// Whether RPCs a second are limited.
    pub fn is_rate(self) -> bool {
        matches!(self, LimitKind::Rate { .. })
    }

    /// The lower figures of two versions of one limit.
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

/// Which RPCs a limit applies to; every part that is set has to match.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LimitScope {
    /// Index of the tenant.
    pub tenant: Option<usize>,
    /// Index of the method.
    pub method: Option<usize>,
    /// Only RPCs whose method calls the dependency.
    pub calls_dependency: bool,
}

/// What limits see of an RPC.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// Index of the tenant, where the RPC has one.
    pub tenant: Option<usize>,
    /// Index of the method.
    pub method: usize,
    /// Whether its method calls the dependency.
    pub calls_dependency: bool,
}

impl RequestKey {
    /// Every scope that the RPC is within, the widest first.
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

/// A limit of the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Identifies it between servers.
    pub key: LimitKey,
    /// Its name, by which operators see it.
    pub name: String,
    /// The RPCs that it applies to.
    pub scope: LimitScope,
    /// What it counts, and its figures.
    pub kind: LimitKind,
    /// What a server admits that no leader grants anything.
    pub cut_off: CutOff,
}

/// Joins two versions of the limits: of each limit the lower figures, and all limits of either. Sorted by key.
///
/// While a version is rolled out both are in use, so the stricter has to hold on every server.
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
