use super::*;

#[test]
fn retries_keep_to_ratio_of_requests_and_balance_is_capped() {
    let mut budget = RetryBudget::new(0.1);
    (0..10_000).for_each(|_| budget.deposit());
    assert_eq!((0..100).filter(|_| budget.try_withdraw()).count(), 10);
    let mut retries = 0;
    for _ in 0..1000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    assert!((99..=100).contains(&retries), "{retries}");
    let mut empty = RetryBudget::new(0.0);
    empty.deposit();
    assert!(!empty.try_withdraw());
}
