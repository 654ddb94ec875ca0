use super::*;
use crate::simulate::play;
use crate::world::WORLDS;
use proptest::prelude::*;

fn world(name: &str) -> World {
    World::parse(WORLDS.iter().find(|(known, _)| *known == name).unwrap().1).unwrap()
}

#[test]
fn bound_is_at_least_simulated_result_and_greedy_plan() {
    for name in ["calm-3", "crowd-4", "store-6", "apps-5"] {
        let world = world(name);
        let (day, record) = play(&world, 1, Default::default(), true);
        let split = compare_with_bound(&world, &record, day.kept).unwrap();
        assert!(
            split.bound >= split.greedy - 1e-9 && split.bound >= split.kept - 1e-9,
            "{name} {split:?}"
        );
        assert!(split.greedy > split.kept - 0.02, "{name} {split:?}");
    }
}

#[test]
fn bound_is_total_value_with_enough_capacity_and_zero_without() {
    let world = world("calm-3");
    let asked = [
        RecordedRequest {
            at_ms: 5.0,
            method: 0,
            work_ms: 50.0,
        },
        RecordedRequest {
            at_ms: 900.0,
            method: 0,
            work_ms: 50.0,
        },
    ];
    let plan = |work: f64| Plan {
        slice_ms: 1_000.0,
        work: vec![work; 8],
        calls: vec![0.0; 8],
    };
    let worth = world.methods[0].criticality;
    let all = plan(100.0);
    assert!(
        (upper_bound(&world, &all, &all.group_requests(&asked)).unwrap() - 2.0 * worth).abs()
            < 1e-6
    );
    let none = plan(0.0);
    assert!(
        upper_bound(&world, &none, &none.group_requests(&asked))
            .unwrap()
            .abs()
            < 1e-6
    );
    assert!(greedy_value(&world, &none, &asked).abs() < 1e-6);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]
    /// The bound is never below the greedy schedule, for any requests and capacities.
    #[test]
    fn bound_is_at_least_greedy_schedule(
        asked in prop::collection::vec((0.0f64..8_000.0, 0usize..3, 1.0f64..400.0), 0..60),
        work in prop::collection::vec(0.0f64..900.0, 12),
        calls in prop::collection::vec(0.0f64..6.0, 12),
    ) {
        let world = world("store-6");
        let methods = world.methods.len();
        let asked: Vec<RecordedRequest> = asked
            .into_iter()
            .map(|(at_ms, method, work_ms)| RecordedRequest { at_ms, method: method % methods, work_ms })
            .collect();
        let plan = Plan { slice_ms: 700.0, work, calls };
        let bound = upper_bound(&world, &plan, &plan.group_requests(&asked)).unwrap();
        let greedy = greedy_value(&world, &plan, &asked);
        prop_assert!(bound >= greedy - 1e-6, "{} {}", bound, greedy);
    }
}
