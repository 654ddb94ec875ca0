//! The fleet as operators ask for it, in JSON, and what they order. The keys are the operators' words.
use std::collections::BTreeMap;

use coralstep_fleet::audit::{AuditFilter, AuditRow};
use coralstep_fleet::fleet::{MemberView, Publication, UnknownMemberError};
use coralstep_fleet::versions::{PublishError, StoredVersion};
use coralstep_fleet::{Fleet, MemberState, VersionId};
use serde_json::{Value, json};

use super::service::FleetService;
use super::wall_clock::ClockStepsDisabledError;

impl FleetService {
    /// Returns the members, an object each.
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

    /// Returns the number of servers that are not down, this one among them.
    pub fn member_count(&self) -> usize {
        let members = self.fleet.borrow().members(self.now());
        let is_up = |view: &&MemberView| view.state != MemberState::Down;
        members.iter().filter(is_up).count().max(1)
    }

    /// Returns the versions that are held here, and the forks among them.
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

    /// Returns which server had which version active.
    pub fn audit(&self, filter: &AuditFilter) -> Value {
        let rows = self.fleet.borrow().audit(self.now(), filter);
        json!({ "audit": rows.iter().map(audit_json).collect::<Vec<Value>>() })
    }

    /// Returns the shares of the limits by server.
    pub fn limits(&self) -> Value {
        let rows = self
            .quota
            .as_ref()
            .map(|quota| quota.borrow().share_rows(self.now()))
            .unwrap_or_default();
        json!({ "limits": rows })
    }

    /// Returns what each server reports of each dependency, and where a fault lies as far as this server can tell.
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

    /// Publishes a version of the settings.
    ///
    /// # Errors
    ///
    /// The version is too long.
    pub fn publish(&self, publication: Publication) -> Result<VersionId, PublishError> {
        let wall_ms = self.wall_clock.now_ms();
        let mut fleet = self.fleet.borrow_mut();
        let id = fleet.publish(self.now(), wall_ms, publication)?;
        drop(fleet);
        self.flush();
        Ok(id)
    }

    /// Excludes a server or readmits it: this one, or any that is known here.
    ///
    /// # Errors
    ///
    /// No server of that name is known here.
    pub fn set_excluded(&self, server: &str, exclude: bool) -> Result<(), UnknownMemberError> {
        let mut fleet = self.fleet.borrow_mut();
        fleet.set_excluded(self.now(), server, exclude)?;
        drop(fleet);
        self.flush();
        Ok(())
    }

    /// For tests: sets the wall clock that this server goes by off by `offset_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// The site file does not let the clock be stepped.
    pub fn step_clock(&self, offset_ms: i64) -> Result<(), ClockStepsDisabledError> {
        self.wall_clock.step(offset_ms)
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
