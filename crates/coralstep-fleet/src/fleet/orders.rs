//! Operators' orders to exclude or readmit servers.
use std::collections::BTreeMap;

use crate::gossip::MAX_SOURCES;
use crate::status::{MAX_ORDERS, MembershipOrder};

/// The newest order for each server, and those that this server passes on.
#[derive(Debug, Default)]
pub(super) struct OrderBook {
    newest: BTreeMap<String, MembershipOrder>,
    /// Orders that were given here, oldest first.
    given_here: Vec<MembershipOrder>,
}

impl OrderBook {
    /// Takes an order in; false where it is not newer than the known one, or there is no room.
    pub(super) fn apply(&mut self, order: &MembershipOrder) -> bool {
        let known = self.sequence(&order.member);
        if order.sequence <= known || (known == 0 && self.newest.len() >= MAX_SOURCES) {
            return false;
        }
        self.newest.insert(order.member.clone(), order.clone());
        true
    }

    /// Returns a new order for `member`, numbered above all known ones, and passes it on.
    pub(super) fn issue(&mut self, member: &str, exclude: bool) -> MembershipOrder {
        let order = MembershipOrder {
            member: member.to_owned(),
            sequence: self.sequence(member) + 1,
            exclude,
        };
        self.given_here.retain(|old| old.member != member);
        if self.given_here.len() >= MAX_ORDERS {
            self.given_here.remove(0);
        }
        self.given_here.push(order.clone());
        order
    }

    /// Returns whether the newest order for `member` excludes it.
    pub(super) fn excludes(&self, member: &str) -> bool {
        self.newest.get(member).is_some_and(|order| order.exclude)
    }

    /// Returns the orders that were given here, oldest first.
    pub(super) fn given_here(&self) -> &[MembershipOrder] {
        &self.given_here
    }

    /// Number of the newest order for `member`; 0 where there is none.
    fn sequence(&self, member: &str) -> u64 {
        self.newest.get(member).map_or(0, |order| order.sequence)
    }
}
