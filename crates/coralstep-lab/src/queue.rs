//! The queue of events: a hierarchical wheel made for times that mostly lie near. Events of one moment come in the order of their
//! ties, which come from the seed, so two servers that act in the same tick never depend on the machine.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Slots of a wheel, and bits that choose one.
const SLOTS: usize = 256;
const BITS: u32 = 8;
const WHEELS: usize = 4;

struct Entry<T> {
    at: u64,
    tie: u64,
    item: T,
}

/// By tie, the least one greatest, as a heap wants it.
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

/// Which slots hold something.
#[derive(Clone, Copy, Default)]
struct Map([u64; SLOTS / 64]);

impl Map {
    fn set(&mut self, slot: usize, full: bool) {
        let bit = 1 << (slot % 64);
        if full {
            self.0[slot / 64] |= bit
        } else {
            self.0[slot / 64] &= !bit
        }
    }

    /// The first full slot from `from` on.
    fn next(&self, from: usize) -> Option<usize> {
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

pub struct Wheel<T> {
    now: u64,
    slots: Vec<Vec<Entry<T>>>,
    maps: [Map; WHEELS],
    /// What lies beyond the last wheel.
    far: Vec<Entry<T>>,
    /// What is due now. A heap: thousands of servers may beat in one tick, and each beat may put more into it.
    due: BinaryHeap<Entry<T>>,
    len: usize,
}

impl<T> Default for Wheel<T> {
    fn default() -> Wheel<T> {
        Wheel {
            now: 0,
            slots: (0..SLOTS * WHEELS).map(|_| Vec::new()).collect(),
            maps: Default::default(),
            far: Vec::new(),
            due: BinaryHeap::new(),
            len: 0,
        }
    }
}

impl<T> Wheel<T> {
    /// What is said for the past happens now.
    pub fn push(&mut self, at: u64, tie: u64, item: T) {
        self.len += 1;
        self.put(Entry {
            at: at.max(self.now),
            tie,
            item,
        });
    }

    fn put(&mut self, entry: Entry<T>) {
        let differs = entry.at ^ self.now;
        let wheel = differs.checked_ilog2().unwrap_or(0) / BITS;
        if wheel as usize >= WHEELS {
            return self.far.push(entry);
        }
        let slot = (entry.at >> (wheel * BITS)) as usize % SLOTS;
        self.slots[wheel as usize * SLOTS + slot].push(entry);
        self.maps[wheel as usize].set(slot, true);
    }

    fn take(&mut self, wheel: usize, slot: usize) -> Vec<Entry<T>> {
        self.maps[wheel].set(slot, false);
        std::mem::take(&mut self.slots[wheel * SLOTS + slot])
    }

    /// The next event and its time, which becomes now.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        loop {
            // What was said for this very moment meanwhile takes its place among the rest.
            let slot = self.now as usize % SLOTS;
            if !self.slots[slot].is_empty() {
                let more = self.take(0, slot);
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

    /// To the next moment that something lies at, or into the wheel that it lies in.
    fn advance(&mut self) -> bool {
        for wheel in 0..WHEELS {
            let shift = wheel as u32 * BITS;
            let from = (self.now >> shift) as usize % SLOTS;
            let Some(slot) = self.maps[wheel].next(from) else {
                continue;
            };
            let above = self.now >> (shift + BITS) << (shift + BITS);
            self.now = above | (slot as u64) << shift;
            if wheel > 0 {
                let down = self.take(wheel, slot);
                down.into_iter().for_each(|entry| self.put(entry));
            }
            return true;
        }
        let Some(next) = self.far.iter().map(|entry| entry.at).min() else {
            return false;
        };
        self.now = next;
        let far = std::mem::take(&mut self.far);
        far.into_iter().for_each(|entry| self.put(entry));
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
