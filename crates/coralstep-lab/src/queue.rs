//! Event queue of the simulator: a hierarchical timing wheel, fast when most events lie in the near future. Events of the same tick
//! are ordered by a tie-breaker drawn from the seed, so their order doesn't depend on the machine.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Slots per wheel, and the bits of a time that select one.
const SLOTS: usize = 256;
const BITS: u32 = 8;
const WHEELS: usize = 4;

struct Entry<T> {
    at: u64,
    tie: u64,
    item: T,
}

/// Reversed by tie-breaker, because `BinaryHeap` pops its greatest entry first.
impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Entry<T>) -> Ordering {
        other.tie.cmp(&self.tie)
    }
}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Entry<T>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Entry<T>) -> bool {
        self.tie == other.tie
    }
}

impl<T> Eq for Entry<T> {}

/// Bitmap of the slots that aren't empty.
#[derive(Clone, Copy, Default)]
struct SlotBitmap([u64; SLOTS / 64]);

impl SlotBitmap {
    fn set(&mut self, slot: usize, occupied: bool) {
        let bit = 1 << (slot % 64);
        if occupied {
            self.0[slot / 64] |= bit
        } else {
            self.0[slot / 64] &= !bit
        }
    }

    /// Returns the first occupied slot at or after `from`.
    fn next_occupied(&self, from: usize) -> Option<usize> {
        (from / 64..SLOTS / 64).find_map(|word| {
            let mask = if word == from / 64 {
                u64::MAX << (from % 64)
            } else {
                u64::MAX
            };
            let bits = self.0[word] & mask;
            (bits != 0).then(|| word * 64 + bits.trailing_zeros() as usize)
        })
    }
}

/// Priority queue of events by time and tie-breaker.
pub struct TimingWheel<T> {
    now: u64,
    slots: Vec<Vec<Entry<T>>>,
    maps: [SlotBitmap; WHEELS],
    /// Events beyond the range of the last wheel.
    far: Vec<Entry<T>>,
    /// Events due now. A heap, because the timers of thousands of servers may fire in one tick, and each may add more events.
    due: BinaryHeap<Entry<T>>,
    len: usize,
}

impl<T> Default for TimingWheel<T> {
    fn default() -> TimingWheel<T> {
        TimingWheel {
            now: 0,
            slots: (0..SLOTS * WHEELS).map(|_| Vec::new()).collect(),
            maps: Default::default(),
            far: Vec::new(),
            due: BinaryHeap::new(),
            len: 0,
        }
    }
}

impl<T> TimingWheel<T> {
    /// Adds an event; a time in the past counts as now.
    pub fn push(&mut self, at: u64, tie: u64, item: T) {
        self.len += 1;
        self.insert(Entry {
            at: at.max(self.now),
            tie,
            item,
        });
    }

    fn insert(&mut self, entry: Entry<T>) {
        let differs = entry.at ^ self.now;
        let wheel = differs.checked_ilog2().unwrap_or(0) / BITS;
        if wheel as usize >= WHEELS {
            return self.far.push(entry);
        }
        let slot = (entry.at >> (wheel * BITS)) as usize % SLOTS;
        self.slots[wheel as usize * SLOTS + slot].push(entry);
        self.maps[wheel as usize].set(slot, true);
    }

    fn take_slot(&mut self, wheel: usize, slot: usize) -> Vec<Entry<T>> {
        self.maps[wheel].set(slot, false);
        std::mem::take(&mut self.slots[wheel * SLOTS + slot])
    }

    /// Removes and returns the next event with its time, which becomes the current time.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        loop {
            // Events added for the current tick since the last call take their place by tie-breaker.
            let slot = self.now as usize % SLOTS;
            if !self.slots[slot].is_empty() {
                let more = self.take_slot(0, slot);
                self.due.extend(more);
            }
            if let Some(entry) = self.due.pop() {
                self.len -= 1;
                return Some((entry.at, entry.item));
            }
            if !self.advance() {
                return None;
            }
        }
    }

    /// Advances the time to the next occupied slot, moving its events to lower wheels. Returns `false` if the queue is empty.
    fn advance(&mut self) -> bool {
        for wheel in 0..WHEELS {
            let shift = wheel as u32 * BITS;
            let from = (self.now >> shift) as usize % SLOTS;
            let Some(slot) = self.maps[wheel].next_occupied(from) else {
                continue;
            };
            let above = self.now >> (shift + BITS) << (shift + BITS);
            self.now = above | (slot as u64) << shift;
            if wheel > 0 {
                let down = self.take_slot(wheel, slot);
                down.into_iter().for_each(|entry| self.insert(entry));
            }
            return true;
        }
        let Some(next) = self.far.iter().map(|entry| entry.at).min() else {
            return false;
        };
        self.now = next;
        let far = std::mem::take(&mut self.far);
        far.into_iter().for_each(|entry| self.insert(entry));
        true
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

#[cfg(test)]
mod tests;
