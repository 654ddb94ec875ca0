//! Operators' orders to exclude or readmit servers.
use std::collections::BTreeMap;

use crate::gossip::MAX_ORIGINS;
use crate::status::{MAX_ORDERS, MembershipOrder};

/// The newest order for each server, and the orders that this server relays.
#[derive(Debug, Default)]
pub(super) struct MembershipOrders {
    newest: BTreeMap<String, MembershipOrder>,
    /// Orders issued at this server, oldest first.
    issued_here: Vec<MembershipOrder>,
}

impl MembershipOrders {
    /// Stores an order. Returns false if it is not newer than the known one or the table is full.
    pub(super) fn apply(&mut self, order: &MembershipOrder) -> bool {
        let known = self.sequence(&order.member);
        if order.sequence <= known || (known == 0 && self.newest.len() >= MAX_ORIGINS) {
            return false;
        }
        self.newest.insert(order.member.clone(), order.clone());
        true
    }

    /// Creates an order for `member` with a higher sequence number than all known ones. The order is
    /// relayed to other servers.
    pub(super) fn issue(&mut self, member: &str, exclude: bool) -> MembershipOrder {
        let order = MembershipOrder {
            member: member.to_owned(),
            sequence: self.sequence(member) + 1,
            exclude,
        };
        self.issued_here.retain(|old| old.member != member);
        if self.issued_here.len() >= MAX_ORDERS {
            self.issued_here.remove(0);
        }
        self.issued_here.push(order.clone());
        order
    }

    /// Returns whether the newest order for `member` excludes it.
    pub(super) fn excludes(&self, member: &str) -> bool {
        self.newest.get(member).is_some_and(|order| order.exclude)
    }

    /// Returns the orders issued at this server, oldest first.
    pub(super) fn issued_here(&self) -> &[MembershipOrder] {
        &self.issued_here
    }

    /// Returns the sequence number of the newest order for `member`, or 0 if there is none.
    fn sequence(&self, member: &str) -> u64 {
        self.newest.get(member).map_or(0, |order| order.sequence)
    }
}
