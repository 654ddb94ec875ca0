use super::*;

#[test]
fn repeats_are_a_part_of_first_tries_and_none_are_saved_beyond_a_few() {
    let mut budget = Budget::new(0.1);
    (0..10_000).for_each(|_| budget.earn());
    assert_eq!((0..100).filter(|_| budget.spend()).count(), 10);
    let mut repeats = 0;
    for _ in 0..1000 {
        budget.earn();
        repeats += u32::from(budget.spend());
    }
    assert!((99..=100).contains(&repeats), "{repeats}");
    let mut none = Budget::new(0.0);
    none.earn();
    assert!(!none.spend());
}
