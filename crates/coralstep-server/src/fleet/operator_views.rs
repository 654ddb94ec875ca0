//! Fleet queries and commands of operators. Queries return JSON, whose keys are part of the operator interface.
use std::collections::BTreeMap;

use coralstep_fleet::audit::{AuditFilter, AuditRow};
use coralstep_fleet::fleet::{MemberView, Publication, UnknownMemberError};
use coralstep_fleet::versions::{PublishError, StoredVersion};
use coralstep_fleet::{Fleet, MemberState, VersionId};
use serde_json::{Value, json};

use super::service::FleetService;
use super::wall_clock::ClockStepsDisabledError;

impl FleetService {
    /// Returns the members, one object per member.
    pub fn members(&self) -> Value {
        let fleet = self.fleet.borrow();
        let members = fleet.members(self.now());
        json!({
            "members": members.iter().map(member_json).collect::<Vec<Value>>(),
            "shut": fleet.exclusion(),
            "not_believed": self.rejected_datagrams.get(),
            "held_back": self.socket.unsent(),
        })
    }

    /// Returns the number of servers that are not down, including this one.
    pub fn member_count(&self) -> usize {
        let members = self.fleet.borrow().members(self.now());
        let is_up = |view: &&MemberView| view.state != MemberState::Down;
        members.iter().filter(is_up).count().max(1)
    }

    /// Returns the versions stored on this server and the forks between them.
    pub fn versions(&self) -> Value {
        let fleet = self.fleet.borrow();
        let versions = fleet.versions().iter();
        let forks = fleet.versions().forks().iter();
        json!({
            "versions": versions.map(|stored| version_json(&fleet, stored)).collect::<Vec<Value>>(),
            "forks": forks
                .map(|fork| [fork.superseded.to_string(), fork.winner.to_string()])
                .collect::<Vec<[String; 2]>>(),
        })
    }

    /// Returns the audit rows that match `filter`: which server had which version active, and when.
    pub fn audit(&self, filter: &AuditFilter) -> Value {
        let rows = self.fleet.borrow().audit(self.now(), filter);
        json!({ "audit": rows.iter().map(audit_json).collect::<Vec<Value>>() })
    }

    /// Returns each server's shares of the fleet-wide limits.
    pub fn limits(&self) -> Value {
        let rows = self
            .quota
            .as_ref()
            .map(|quota| quota.borrow().share_rows(self.now()))
            .unwrap_or_default();
        json!({ "limits": rows })
    }

    /// Returns each server's health reports per dependency, and the likely source of each fault.
    pub fn shared_health(&self) -> Value {
        let Some(shared_health) = &self.shared_health else {
            return json!({ "verdicts": [] });
        };
        let shared_health = shared_health.borrow();
        let fault_sources: BTreeMap<&str, &str> = shared_health
            .fault_sources()
            .map(|(name, source)| (name, source.json_name()))
            .collect();
        json!({ "verdicts": shared_health.rows(self.now()), "whose": fault_sources })
    }

    /// Publishes a configuration version.
    ///
    /// # Errors
    ///
    /// Fails if the version is too long.
    pub fn publish(&self, publication: Publication) -> Result<VersionId, PublishError> {
        let wall_ms = self.wall_clock.now_ms();
        let mut fleet = self.fleet.borrow_mut();
        let id = fleet.publish(self.now(), wall_ms, publication)?;
        drop(fleet);
        self.flush();
        Ok(id)
    }

    /// Excludes or readmits a server, which may be this one or any known member.
    ///
    /// # Errors
    ///
    /// Fails if no member has this name.
    pub fn set_excluded(&self, server: &str, exclude: bool) -> Result<(), UnknownMemberError> {
        let mut fleet = self.fleet.borrow_mut();
        fleet.set_excluded(self.now(), server, exclude)?;
        drop(fleet);
        self.flush();
        Ok(())
    }

    /// Shifts this server's wall clock from the system clock by `offset_ms` milliseconds, for tests.
    ///
    /// # Errors
    ///
    /// Fails unless the site file sets `fleet.clock_steps`.
    pub fn set_clock_offset(&self, offset_ms: i64) -> Result<(), ClockStepsDisabledError> {
        self.wall_clock.set_offset(offset_ms)
    }
}

fn member_json(view: &MemberView) -> Value {
    json!({
        "server": view.member.name,
        "address": view.member.address.to_string(),
        "state": view.state.name(),
        "version": view.active_version.map(|id| id.to_string()),
        "age_ms": view.age_ms,
    })
}

fn version_json(fleet: &Fleet, stored: &StoredVersion) -> Value {
    let StoredVersion { id, version, .. } = stored;
    json!({
        "version": id.to_string(),
        "replaces": version.replaces.to_string(),
        "by": version.publisher,
        "at_ms": version.published_at_ms,
        "must": version.mandatory,
        "waves": version.stages,
        "pause_ms": version.stage_pause_ms,
        "bytes": version.content.len(),
        "acts_on": fleet.active_version() == *id,
        "turned_down": fleet.versions().rejection_reason(*id),
    })
}

fn audit_json(row: &AuditRow) -> Value {
    json!({
        "server": row.server,
        "version": row.version.to_string(),
        "from_ms": row.from_ms,
        "to_ms": row.to_ms,
        "rpcs": row.rpcs,
        "age_ms": row.age_ms,
        "known": row.known,
    })
}
