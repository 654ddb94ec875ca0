//! The SWIM library's runtime, which collects its timers, messages and notifications.
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use foca::{Notification, Runtime, Timer};

use crate::Millis;
use crate::membership::{Member, MembershipChange, MembershipMessage};

/// Maximum number of pending timers. The library uses a few of its own and two for each suspect.
const MAX_TIMERS: usize = 16_384;

/// A timer set by the library, ordered by due time, then by the order in which timers were set.
struct PendingTimer {
    due: Millis,
    sequence: u64,
    timer: Timer<Member>,
}

impl PartialEq for PendingTimer {
    fn eq(&self, other: &PendingTimer) -> bool {
        (self.due, self.sequence) == (other.due, other.sequence)
    }
}

impl Eq for PendingTimer {}

impl PartialOrd for PendingTimer {
    fn partial_cmp(&self, other: &PendingTimer) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PendingTimer {
    fn cmp(&self, other: &PendingTimer) -> std::cmp::Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

/// Timers, messages and changes requested by the library and not yet processed.
#[derive(Default)]
pub(super) struct SwimRuntime {
    pub(super) now: Millis,
    timer_sequence: u64,
    timers: BinaryHeap<Reverse<PendingTimer>>,
    pub(super) messages: Vec<MembershipMessage>,
    pub(super) changes: Vec<MembershipChange>,
}

impl SwimRuntime {
    /// Removes and returns the next timer if it is due.
    pub(super) fn pop_due_timer(&mut self) -> Option<Timer<Member>> {
        let Reverse(first) = self.timers.peek()?;
        if first.due > self.now {
            return None;
        }
        self.timers.pop().map(|Reverse(first)| first.timer)
    }
}

impl Runtime<Member> for SwimRuntime {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(member) => {
                self.changes.push(MembershipChange::Up(member.clone()));
            }
            Notification::MemberDown(member) => {
                self.changes.push(MembershipChange::Down(member.clone()));
            }
            Notification::Rename(before, member) => {
                self.changes.push(MembershipChange::Down(before.clone()));
                self.changes.push(MembershipChange::Up(member.clone()));
            }
            Notification::Rejoin(member) => {
                self.changes
                    .push(MembershipChange::Rejoined(member.clone()));
            }
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.messages.push(MembershipMessage {
            to,
            bytes: data.to_vec(),
        });
    }

    fn submit_after(&mut self, timer: Timer<Member>, after: Duration) {
        if self.timers.len() >= MAX_TIMERS {
            return;
        }
        self.timer_sequence += 1;
        self.timers.push(Reverse(PendingTimer {
            due: self.now + after.as_millis() as Millis,
            sequence: self.timer_sequence,
            timer,
        }));
    }
}
