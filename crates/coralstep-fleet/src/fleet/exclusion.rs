//! Exclusion of this server, and operators' orders to exclude or readmit servers.
use super::{Event, Fleet};
use crate::Millis;
use crate::exclusion::ExclusionInputs;
use crate::membership::Member;
use crate::status::{MembershipOrder, NodeStatus};

/// Error for an order that names a server unknown to this one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name:?} is not known here")]
pub struct UnknownMemberError {
    /// The unknown name.
    pub name: String,
}

impl Fleet {
    /// Returns the Retry-After of rejected requests in milliseconds, or `None` if this server admits
    /// requests. Must be called before each RPC, because this call also detects that the process was
    /// paused.
    pub fn retry_after(&mut self, now: Millis) -> Option<Millis> {
        self.detect_pause(now);
        self.exclusion.retry_after(now)
    }

    /// Issues an operator's order to exclude or readmit the server `name`, which may be this server
    /// or any other member. Other members receive the order by gossip.
    ///
    /// The order applies until the next one for the same server. This server relays the last
    /// [`MAX_ORDERS`](crate::status::MAX_ORDERS) orders issued here until its process ends.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownMemberError`] if no member has that name.
    pub fn set_excluded(
        &mut self,
        now: Millis,
        name: &str,
        exclude: bool,
    ) -> Result<(), UnknownMemberError> {
        let mut members = self.membership.iter();
        if name != self.name && !members.any(|(member, _)| member.name == name) {
            return Err(UnknownMemberError {
                name: name.to_owned(),
            });
        }
        drop(members);
        let order = self.orders.issue(name, exclude);
        self.apply_order(&order);
        self.evaluate_exclusion(now);
        self.publish_status();
        Ok(())
    }

    /// Applies an order that was issued here or received by gossip.
    pub(super) fn apply_order(&mut self, order: &MembershipOrder) {
        if self.orders.apply(order) && order.member == self.name {
            self.exclusion.set_by_operator(order.exclude);
        }
    }

    /// Detects by the time since the last timeout that the process was paused.
    pub(super) fn detect_pause(&mut self, now: Millis) {
        let gap = self.last_timeout.map_or(0, |last| now.saturating_sub(last));
        let next_datagram = self.outbox.next_sequence();
        let other_members = self.membership.count();
        if self
            .exclusion
            .detect_pause(now, gap, next_datagram, other_members)
        {
            self.last_timeout = Some(now);
            self.events.push(Event::ProcessPaused(gap));
            self.evaluate_exclusion(now);
        }
    }

    /// Re-evaluates whether this server is excluded and reports changes.
    pub(super) fn evaluate_exclusion(&mut self, now: Millis) {
        let inputs = self.exclusion_inputs(now);
        let decision = self.exclusion.evaluate(now, &inputs);
        if let Some(id) = decision.limit_reached {
            self.events.push(Event::ExclusionLimitReached(id));
        }
        if let Some(reason) = decision.new_reason {
            self.events
                .push(reason.map_or(Event::Readmitted, Event::Excluded));
        }
        if decision.status_changed {
            self.publish_status();
        }
    }

    fn exclusion_inputs(&self, now: Millis) -> ExclusionInputs {
        let newest = self.versions.newest();
        let newest_accepted = self.versions.newest_accepted();
        let newest_version = self.versions.get(newest);
        let mut inputs = ExclusionInputs {
            active_version: self.history.active_version(),
            newest,
            newest_accepted: newest_accepted.map(|stored| stored.id).unwrap_or_default(),
            newest_mandatory: newest_version.is_some_and(|version| version.mandatory),
            newest_rejected: self.versions.rejection_reason(newest).is_some(),
            other_members: self.membership.count(),
            candidates_before: self.candidates_before(),
            ..ExclusionInputs::default()
        };
        let target = inputs.target();
        let version = self.versions.get(target);
        inputs.target_held = version.is_some();
        inputs.stage_delay = version
            .and_then(|version| version.stage_delay_ms(&self.name))
            .unwrap_or(0);
        inputs.halted = self.halted == Some(target);
        inputs.stage_due = target > inputs.active_version && self.is_stage_due(now, target);
        inputs
    }

    /// Returns the number of members that want to be excluded and rank before this server: excluded
    /// members first, then by name. Returns 0 if this server does not want to be excluded.
    fn candidates_before(&self) -> usize {
        if !self.exclusion.wants_exclusion() {
            return 0;
        }
        let own_rank = (self.exclusion.reason().is_none(), self.name.as_str());
        let ranks_before = |status: &&NodeStatus| {
            let rank = (!status.excluded, status.member.name.as_str());
            status.wants_exclusion && rank < own_rank
        };
        self.membership
            .present()
            .filter_map(|member| self.statuses.get(member))
            .map(|received| &received.value)
            .filter(ranks_before)
            .count()
    }

    /// Returns whether a member is known to be excluded, either by itself or by an operator.
    pub(super) fn is_excluded(&self, member: &Member) -> bool {
        let status = self.statuses.get(member);
        self.orders.excludes(&member.name) || status.is_some_and(|received| received.value.excluded)
    }
}
