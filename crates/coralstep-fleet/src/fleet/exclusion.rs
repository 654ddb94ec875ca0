//! Whether this server admits requests, and operators' orders to exclude servers.
use super::{Event, Fleet};
use crate::Millis;
use crate::exclusion::ExclusionInputs;
use crate::membership::Member;
use crate::status::{MembershipOrder, NodeStatus};

/// An order for a server that is not known here.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name:?} is not known here")]
pub struct UnknownMemberError {
    /// The server's name as it was given.
    pub name: String,
}

impl Fleet {
    /// Returns how long rejected callers should wait, in milliseconds; none while this server
    /// admits requests. To be asked before each RPC: a pause of the process is noticed here first.
    pub fn retry_after(&mut self, now: Millis) -> Option<Millis> {
        self.detect_pause(now);
        self.exclusion.retry_after(now)
    }

    /// Excludes a server by an operator's order, or readmits it: this one, or by gossip any other.
    ///
    /// The order holds until the next one for the server. An order for another server is passed on
    /// for as long as this process runs, the last
    /// [`MAX_ORDERS`](crate::status::MAX_ORDERS) of them.
    ///
    /// # Errors
    ///
    /// [`UnknownMemberError`] where no member of that name is known.
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
        self.announce();
        Ok(())
    }

    /// Follows an order that was given here or arrived by gossip.
    pub(super) fn apply_order(&mut self, order: &MembershipOrder) {
        if self.orders.apply(order) && order.member == self.name {
            self.exclusion.set_by_operator(order.exclude);
        }
    }

    /// Notices that the process was paused: more time than usual has passed since the last tick.
    pub(super) fn detect_pause(&mut self, now: Millis) {
        let gap = self.last_tick.map_or(0, |last| now.saturating_sub(last));
        let next_datagram = self.outbox.next_sequence();
        let others = self.membership.count();
        if self.exclusion.detect_pause(now, gap, next_datagram, others) {
            self.last_tick = Some(now);
            self.events.push(Event::ProcessPaused(gap));
            self.evaluate_exclusion(now);
        }
    }

    /// Decides anew whether this server admits requests.
    pub(super) fn evaluate_exclusion(&mut self, now: Millis) {
        let inputs = self.exclusion_inputs(now);
        let decision = self.exclusion.evaluate(now, &inputs);
        if let Some(id) = decision.limit_reached {
            self.events.push(Event::ExclusionLimitReached(id));
        }
        if let Some(reason) = decision.changed {
            self.events
                .push(reason.map_or(Event::Readmitted, Event::Excluded));
        }
        if decision.status_changed {
            self.announce();
        }
    }

    fn exclusion_inputs(&self, now: Millis) -> ExclusionInputs {
        let newest = self.versions.newest();
        let newest_accepted = self.versions.newest_accepted();
        let newest_version = self.versions.get(newest);
        let mut inputs = ExclusionInputs {
            active_version: self.activity.active_version(),
            newest,
            newest_accepted: newest_accepted.map(|one| one.id).unwrap_or_default(),
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

    /// Counts the members that want to be excluded and go before this server, if it wants to be
    /// excluded itself: the excluded ones first, then by name.
    fn candidates_before(&self) -> usize {
        if !self.exclusion.wants_exclusion() {
            return 0;
        }
        let own_rank = (self.exclusion.reason().is_none(), self.name.as_str());
        let goes_first = |status: &&NodeStatus| {
            let rank = (!status.excluded, status.member.name.as_str());
            status.wants_exclusion && rank < own_rank
        };
        self.membership
            .present()
            .filter_map(|member| self.statuses.get(member))
            .map(|received| &received.value)
            .filter(goes_first)
            .count()
    }

    /// Returns whether a member is known to be excluded, by itself or by an operator.
    pub(super) fn is_excluded(&self, member: &Member) -> bool {
        let status = self.statuses.get(member);
        self.orders.excludes(&member.name) || status.is_some_and(|received| received.value.excluded)
    }
}
