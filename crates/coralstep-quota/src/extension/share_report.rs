//! Reports of shares that servers gossip, and the rows shown to operators.
use coralstep_fleet::Member;
use coralstep_fleet::gossip::Gossip;
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::client::ShareStatus;
use crate::leader::AllocationRow;
use crate::limit::{Limit, LimitKey};

/// Maximum number of limits in one report; those with the most units are reported.
const MAX_REPORTED_SHARES: usize = 6;

/// A server's share of a limit, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ShareRow {
    /// Name of the limit.
    pub limit: String,
    /// Name of the server.
    pub server: String,
    /// Units that the server holds.
    #[serde(rename = "share")]
    pub units: u32,
    /// Number of the server's RPCs in flight that the limit counts.
    #[serde(rename = "used")]
    pub in_flight: u32,
    /// Milliseconds until the lease ends; `None` for another server's units unless this server leads.
    pub lease_ms: Option<Millis>,
    /// Milliseconds since the server reported it.
    pub age_ms: Millis,
    /// Number of RPCs admitted beyond the held units while cut off.
    #[serde(rename = "over")]
    pub over_quota: u64,
}

/// A server's share of one limit in a report. Encoded by position.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ReportedShare {
    key: LimitKey,
    units: u32,
    in_flight: u32,
    over_quota: u32,
}

/// A server's report of its shares. Encoded by position.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ShareReport {
    origin: Member,
    sequence: u64,
    shares: Vec<ReportedShare>,
}

impl ShareReport {
    /// Creates this server's report; `sequence` increases with each report.
    pub(super) fn new(own: &Member, sequence: u64, mut statuses: Vec<ShareStatus>) -> ShareReport {
        statuses.sort_by_key(|status| std::cmp::Reverse((status.units, status.in_flight)));
        let reported = statuses.iter().take(MAX_REPORTED_SHARES);
        let shares = reported.map(|status| ReportedShare {
            key: status.key,
            units: status.units,
            in_flight: status.in_flight,
            over_quota: u32::try_from(status.over_quota).unwrap_or(u32::MAX),
        });
        ShareReport {
            origin: own.clone(),
            sequence,
            shares: shares.collect(),
        }
    }

    /// Returns the report's rows. `allocations` has the leases if this server leads.
    pub(super) fn rows(
        &self,
        limits: &[Limit],
        age: Millis,
        allocations: &[AllocationRow],
    ) -> Vec<ShareRow> {
        let lease = |key: LimitKey| {
            let is_of = |row: &&AllocationRow| row.key == key && row.server == self.origin.name;
            allocations.iter().find(is_of).map(|row| row.lease_ms)
        };
        let row = |share: &ReportedShare| {
            Some(ShareRow {
                limit: limit_name(limits, share.key)?,
                server: self.origin.name.clone(),
                units: share.units,
                in_flight: share.in_flight,
                lease_ms: lease(share.key),
                age_ms: age,
                over_quota: u64::from(share.over_quota),
            })
        };
        self.shares.iter().filter_map(row).collect()
    }
}

/// Returns the rows of this server's own shares.
pub(super) fn own_rows(limits: &[Limit], own: &Member, statuses: &[ShareStatus]) -> Vec<ShareRow> {
    let row = |status: &ShareStatus| {
        Some(ShareRow {
            limit: limit_name(limits, status.key)?,
            server: own.name.clone(),
            units: status.units,
            in_flight: status.in_flight,
            lease_ms: Some(status.lease_ms),
            age_ms: 0,
            over_quota: status.over_quota,
        })
    };
    statuses.iter().filter_map(row).collect()
}

fn limit_name(limits: &[Limit], key: LimitKey) -> Option<String> {
    let limit = limits.iter().find(|limit| limit.key == key)?;
    Some(limit.name.clone())
}

impl Gossip for ShareReport {
    const MAX_AGE_MS: Millis = 30_000;

    fn origin(&self) -> &Member {
        &self.origin
    }

    fn sequence(&self) -> u64 {
        self.sequence
    }

    fn is_valid(&self) -> bool {
        self.origin.is_valid() && self.shares.len() <= MAX_REPORTED_SHARES
    }
}
