use super::*;

#[test]
fn built_in_worlds_are_valid_and_match_their_names() {
    for (name, text) in WORLDS {
        assert_eq!(
            World::parse(text).map(|world| world.name),
            Ok(name.to_owned())
        );
    }
    assert_eq!(
        include_str!("../../worlds/world.schema.json"),
        World::schema(),
        "worlds/world.schema.json"
    );
}

#[test]
fn parse_error_names_faulty_key() {
    let text = WORLDS[0].1;
    for (good, bad, why) in [
        ("\"seconds\"", "\"second\"", "second: unknown field"),
        (
            "\"cores\": 4",
            "\"cores\": 0",
            "servers.cores: 0 is not from 1",
        ),
        ("\"load\": 0.7", "\"load\": \"much\"", "load: invalid type"),
        (
            "\"target_ms\": 1000",
            "\"target_ms\": 100000",
            "methods[0].deadline_ms: 4000 is not from 100000",
        ),
        (
            "\"calls\": false",
            "\"calls\": true",
            "methods[0].calls: there is no dependency",
        ),
        (
            "\"fixed\": 50",
            "\"fixed\": -5",
            "methods[0].work_ms: Fixed(-5.0) is not a valid amount",
        ),
    ] {
        assert!(text.contains(good), "{good}");
        let error = World::parse(&text.replacen(good, bad, 1)).unwrap_err();
        assert!(error.starts_with(why), "{error}");
    }
}

#[test]
fn drawn_amounts_match_their_mean() {
    use rand::SeedableRng;
    let mut chance = rand::rngs::SmallRng::seed_from_u64(1);
    for amount in [
        Amount::Fixed(3.0),
        Amount::Uniform([1.0, 5.0]),
        Amount::Uniform([2.0, 2.0]),
        Amount::Exponential(4.0),
        Amount::LogNormal([3.0, 0.5]),
        Amount::Pareto([2.0, 4.0]),
        Amount::Weibull([3.0, 1.5]),
        Amount::Gamma([4.0, 0.5]),
    ] {
        let mean = (0..40_000).map(|_| amount.draw(&mut chance)).sum::<f64>() / 40_000.0;
        assert!(
            (mean / amount.mean() - 1.0).abs() < 0.03,
            "{amount:?} {mean}"
        );
    }
}
