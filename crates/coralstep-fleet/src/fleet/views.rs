//! Queries of the fleet's state, for operators and other parts of the server.
use super::Fleet;
use crate::Millis;
use crate::audit::{AuditFilter, AuditRow};
use crate::exclusion::ExclusionReason;
use crate::membership::{Member, MemberState};
use crate::versions::{VersionId, VersionStore};

/// A member as this server knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// The member.
    pub member: Member,
    /// Its state.
    pub state: MemberState,
    /// Its active version, or `None` if it has not reported one.
    pub active_version: Option<VersionId>,
    /// Age of its last status in milliseconds, or `None` if none was received.
    pub age_ms: Option<Millis>,
}

impl Fleet {
    /// Returns why this server is excluded, or `None` if it admits requests.
    pub fn exclusion(&self) -> Option<&ExclusionReason> {
        self.exclusion.reason()
    }

    /// Returns this server's active version.
    pub fn active_version(&self) -> VersionId {
        self.history.active_version()
    }

    /// Returns this server's identity.
    pub fn local_member(&self) -> &Member {
        self.membership.own()
    }

    /// Returns the settings versions that this server holds or knows of.
    pub fn versions(&self) -> &VersionStore {
        &self.versions
    }

    /// Returns all members, including this server, ordered by name.
    pub fn members(&self, now: Millis) -> Vec<MemberView> {
        let own = self.membership.own();
        // Guards against listing this server's previous process, which peers still gossip about.
        let is_other = |member: &Member| (&member.name, member.address) != (&own.name, own.address);
        let mut members = vec![self.own_view()];
        members.extend(
            self.membership
                .iter()
                .filter(|(member, _)| is_other(member))
                .map(|(member, state)| self.member_view(now, member, state)),
        );
        members.sort_by(|a, b| a.member.cmp(&b.member));
        members
    }

    fn own_view(&self) -> MemberView {
        let state = if self.leaving {
            MemberState::Leaving
        } else if self.membership.count() == 0 {
            MemberState::Joining
        } else {
            MemberState::Alive
        };
        MemberView {
            member: self.membership.own().clone(),
            state,
            active_version: Some(self.history.active_version()),
            age_ms: Some(0),
        }
    }

    fn member_view(&self, now: Millis, member: &Member, state: MemberState) -> MemberView {
        let received = self
            .statuses
            .get(member)
            .filter(|received| received.value.member == *member);
        let is_leaving = received.is_some_and(|received| received.value.leaving);
        MemberView {
            member: member.clone(),
            state: if is_leaving {
                MemberState::Leaving
            } else {
                state
            },
            active_version: received.map(|received| received.value.active_version),
            age_ms: received.map(|received| now.saturating_sub(received.sent_at)),
        }
    }

    /// Iterates over the other members whose reports are used: present, up to date, not excluded and
    /// not leaving.
    pub fn current_members(&self) -> impl Iterator<Item = &Member> {
        let newest = self.versions.newest();
        self.membership.present().filter(move |member| {
            let Some(received) = self.statuses.get(member) else {
                return false;
            };
            let status = &received.value;
            let is_up_to_date = status.active_version == newest || status.newest_held == newest;
            is_up_to_date && !status.leaving && !self.is_excluded(member)
        })
    }

    /// Returns the audit rows of all servers that match `filter`, ordered by server, then by time.
    pub fn audit(&self, now: Millis, filter: &AuditFilter) -> Vec<AuditRow> {
        let mut rows = self.history.rows(&self.name);
        rows.extend(self.peer_audits.rows(now));
        rows.retain(|row| filter.matches(row));
        rows.sort_by(|a, b| (&a.server, a.from_ms).cmp(&(&b.server, b.from_ms)));
        rows
    }
}
