use super::*;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Differences of a true mean with noise of a part.
fn noisy(
    mean: f64,
    noise: f64,
    seed: u64,
) -> impl FnMut(std::ops::Range<u64>) -> Vec<(f64, f64, u64)> {
    let mut chance = SmallRng::seed_from_u64(seed);
    move |days| {
        days.map(|_| (0.5 + mean + noise * chance.random_range(-1.0..1.0), 0.5, 0))
            .collect()
    }
}

#[test]
fn a_clear_difference_stops_early_and_none_is_said_to_be_none() {
    let better = run("it", 128, noisy(0.05, 0.01, 1));
    assert!(
        better.days == FIRST && better.verdict().starts_with("it is better: +0.0"),
        "{better:?}"
    );
    let worse = run("it", 128, noisy(-0.05, 0.01, 1));
    assert!(
        worse.verdict().starts_with("it is worse: -0.0"),
        "{}",
        worse.verdict()
    );
    let same = run("it", 128, noisy(0.0, 0.0005, 1));
    assert!(
        same.days < 128 && same.verdict().contains("no difference"),
        "{}",
        same.verdict()
    );
    let vague = run("it", 16, noisy(0.0, 0.5, 1));
    assert!(
        vague.days == 16 && vague.verdict().contains("can't be told"),
        "{}",
        vague.verdict()
    );
    let one = run("it", 1, noisy(0.5, 0.0, 1));
    assert!(one.verdict().contains("too few days"), "{}", one.verdict());
    let broken = run("it", 8, |days| days.map(|_| (0.9, 0.5, 1)).collect());
    assert!(
        broken.verdict().contains("breaks rules (8 times)"),
        "{}",
        broken.verdict()
    );
}

#[test]
fn looking_often_finds_no_difference_where_there_is_none() {
    let wrong = (0..400).filter(|seed| {
        let told = run("it", 128, noisy(0.0, 0.05, *seed));
        told.mean.abs() > told.off
    });
    // 5% is the most that is allowed; twice that would be far out of luck.
    assert!(wrong.count() < 40);
}

proptest! {
    #[test]
    fn looks_end_at_the_most(most in 1u64..5_000) {
        let looks = looks(most);
        prop_assert_eq!(*looks.last().unwrap(), most);
        prop_assert!(looks.windows(2).all(|two| two[0] < two[1]));
    }
}
