use std::cmp::Reverse;

use proptest::prelude::*;

use super::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// The wheel pops the same events as a binary heap ordered by time and tie-breaker.
    #[test]
    fn wheel_pops_same_order_as_heap(steps in prop::collection::vec((0u8..5, 0u32..48, any::<u64>(), 0u64..4), 1..300)) {
        let (mut wheel, mut heap, mut now) = (TimingWheel::default(), BinaryHeap::new(), 0u64);
        for (number, (what, bits, span, tie)) in steps.into_iter().enumerate() {
            if what < 3 {
                let at = now + (span & ((1 << bits) - 1));
                // Makes the tie-breakers unique; the simulator's are practically unique by their 64 bits.
                let tie = tie * 1_000 + number as u64;
                wheel.push(at, tie, number);
                heap.push(Reverse((at, tie, number)));
            } else {
                let expected = heap.pop().map(|Reverse((at, _, number))| (at, number));
                prop_assert_eq!(wheel.pop(), expected);
                now = expected.map_or(now, |(at, _)| at);
            }
            prop_assert_eq!(wheel.len(), heap.len());
        }
        while let Some(Reverse((at, _, number))) = heap.pop() {
            prop_assert_eq!(wheel.pop(), Some((at, number)));
        }
        prop_assert!(wheel.pop().is_none() && wheel.is_empty());
    }
}

#[test]
fn event_in_the_past_is_due_now() {
    let mut wheel = TimingWheel::default();
    wheel.push(1_000_000, 1, "first");
    assert_eq!(wheel.pop(), Some((1_000_000, "first")));
    wheel.push(5, 1, "late");
    assert_eq!(wheel.pop(), Some((1_000_000, "late")));
}
