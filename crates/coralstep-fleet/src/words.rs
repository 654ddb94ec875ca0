//! What each server says of itself: what it acts on, what it holds, whether it is shut out. A rider of the channel, spread by [`Spread`].
use serde::{Deserialize, Serialize};

use crate::Ms;
use crate::members::{Member, NAME_MOST};
use crate::spread::{Saying, Spread};
use crate::versions::Id;

/// Letters of a reason.
pub const REASON_MOST: usize = 96;
/// A server's own word is made anew this often, so that its silence shows.
pub const OWN: Ms = 1_000;
/// Who has not been heard of for so long is forgotten here; the audit still has its rows.
pub const FORGET: Ms = 120_000;
/// Orders of operators that a server hands on for others: its last ones.
pub const ORDERS_MOST: usize = 4;

/// An operator shuts a server out, or lets it in, by way of another one. Of two for one server the greater number holds; it rises with each
/// that is known, so no clock decides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub server: String,
    pub number: u64,
    pub shut: bool,
}

impl Order {
    fn is_sound(&self) -> bool {
        // The bound leaves room: guards against one forged order that no later one could exceed.
        !self.server.is_empty() && self.server.len() <= NAME_MOST && self.number < u64::MAX / 2
    }
}

/// A version that a server acted on, from when to when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    pub version: Id,
    pub from_ms: u64,
    pub to_ms: u64,
    pub rpcs: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    pub of: Member,
    /// Rises with each word of one process.
    pub number: u64,
    pub leaving: bool,
    /// Shut out, by itself or by an operator.
    pub shut: bool,
    /// It would shut itself out for a version, if not too many do.
    pub wants_out: bool,
    /// The version it acts on, and since when (hybrid clock, Unix milliseconds).
    pub acts_on: Id,
    pub since_ms: u64,
    /// RPCs decided under it, and of these those that got their result.
    pub rpcs: u64,
    pub ok: u64,
    /// What it acted on before that, as it stands in its record.
    pub before: Option<Past>,
    /// The newest version it holds.
    pub knows: Id,
    /// What it would not take, and why.
    pub turned_down: Option<(Id, String)>,
    /// The end of its record, and how many entries that has.
    pub chain: [u8; 8],
    pub entries: u32,
    /// What its operators want of other servers.
    pub orders: Vec<Order>,
}

impl Saying for Word {
    const FORGET: Ms = FORGET;

    fn of(&self) -> &Member {
        &self.of
    }

    fn number(&self) -> u64 {
        self.number
    }

    fn is_sound(&self) -> bool {
        let reason = self
            .turned_down
            .as_ref()
            .is_none_or(|(_, why)| why.len() <= REASON_MOST);
        let orders = self.orders.len() <= ORDERS_MOST && self.orders.iter().all(Order::is_sound);
        self.of.is_sound() && reason && orders && self.ok <= self.rpcs
    }
}

/// What all servers say of themselves, as far as it was heard here.
pub type Words = Spread<Word>;

#[cfg(test)]
pub mod tests;
