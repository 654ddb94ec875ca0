use async_io::block_on;
use futures_lite::future::poll_once;
use std::pin::pin;

use super::*;

const BUDGET_BYTES: usize = 10;

fn budget() -> Rc<MemoryBudget> {
    Rc::new(MemoryBudget::new(BUDGET_BYTES))
}

/// Guards against reservations that together exceed the budget, and against bytes that are never returned.
#[test]
fn reservations_stay_within_budget_and_are_returned() {
    let budget = budget();
    let mut first = budget.try_reserve(6).unwrap();
    assert!(budget.try_reserve(5).is_none());
    first.resize(5);
    let second = budget.try_reserve(5).unwrap();
    assert!(budget.is_exhausted() && budget.try_reserve(1).is_none());
    drop((first, second));
    assert_eq!(budget.reserved.get(), 0);
}

/// Guards against a large reservation that never gets its turn because smaller ones overtake it.
#[test]
fn waiters_get_their_turn_in_order() {
    let budget = budget();
    let first = budget.try_reserve(6).unwrap();
    let (mut large, mut small) = (pin!(budget.reserve(9)), pin!(budget.reserve(1)));
    assert!(block_on(poll_once(large.as_mut())).is_none());
    assert!(block_on(poll_once(small.as_mut())).is_none());
    assert!(budget.is_contended() && budget.try_reserve(1).is_none());
    drop(first);
    assert!(block_on(poll_once(small.as_mut())).is_none());
    let large = block_on(large);
    let small = block_on(small);
    assert!(budget.is_exhausted() && !budget.is_contended());
    drop((large, small));
}

/// Guards against a queue that stands still behind a waiter that gave up.
#[test]
fn waiter_that_gives_up_leaves_the_queue() {
    let budget = budget();
    let first = budget.try_reserve(BUDGET_BYTES).unwrap();
    {
        let mut given_up = pin!(budget.reserve(4));
        assert!(block_on(poll_once(given_up.as_mut())).is_none());
    }
    assert!(!budget.is_contended());
    drop(first);
    assert!(budget.try_reserve(1).is_some());
}

/// Guards against a wait without end for more than the whole budget.
#[test]
fn reservation_above_budget_is_granted_alone() {
    let budget = budget();
    let small = budget.try_reserve(1).unwrap();
    assert!(budget.try_reserve(2 * BUDGET_BYTES).is_none());
    drop(small);
    let large = budget.try_reserve(2 * BUDGET_BYTES).unwrap();
    assert!(budget.try_reserve(1).is_none());
    drop(large);
}
