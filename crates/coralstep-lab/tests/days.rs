//! Days of small worlds: the same verdict each time, and the edges at which a simulator goes wrong.
use coralstep_lab::baseline::POLICIES;
use coralstep_lab::simulate::{Defect, play, simulate_with_defect};
use coralstep_lab::world::WORLDS;
use coralstep_lab::{Day, World, simulate};

fn world(name: &str) -> World {
    World::parse(WORLDS.iter().find(|(known, _)| *known == name).unwrap().1).unwrap()
}

/// The world with changes to its JSON.
fn changed(name: &str, change: impl FnOnce(&mut serde_json::Value)) -> World {
    let mut json =
        serde_json::from_str(WORLDS.iter().find(|(known, _)| *known == name).unwrap().1).unwrap();
    change(&mut json);
    World::parse(&json.to_string()).unwrap()
}

fn whole(day: &Day) {
    assert_eq!(day.breaches, 0, "{:?}", day.told);
    assert_eq!(
        day.ok + day.pushed_back + day.aborted + day.unreached + day.open,
        day.requests,
        "{day:?}"
    );
}

#[test]
fn a_calm_day_keeps_nearly_all_and_an_overloaded_one_what_the_cores_can_do() {
    let calm = simulate(&world("calm-3"), 1);
    whole(&calm);
    assert!(calm.kept > 0.99 && calm.requests > 4_000, "{calm:?}");
    let crowd = simulate(&world("crowd-4"), 1);
    whole(&crowd);
    assert!(
        crowd.kept > 0.6 && crowd.kept < 0.95 && crowd.pushed_back > 1_000,
        "{crowd:?}"
    );
}

#[test]
fn the_same_seed_is_the_same_day_on_any_number_of_threads_and_another_seed_another() {
    let world = world("crowd-4");
    let alone = simulate(&world, 5);
    let beside: Vec<Day> = std::thread::scope(|scope| {
        let threads: Vec<_> = (4..8)
            .map(|seed| {
                scope.spawn({
                    let world = &world;
                    move || simulate(world, seed)
                })
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    assert_eq!(
        serde_json::to_string(&alone).unwrap(),
        serde_json::to_string(&beside[1]).unwrap()
    );
    assert!(
        beside
            .iter()
            .all(|day| day.seed == 5 || day.trace != alone.trace)
    );
}

#[test]
fn a_large_fleet_is_asked_for_as_much_as_its_world_says() {
    let large = changed("large-3000", |json| {
        (json["seconds"], json["servers"]["count"]) = (1.into(), 1_000.into());
        json["troubles"] = serde_json::json!([]);
    });
    let day = simulate(&large, 1);
    whole(&day);
    let part = day.requests as f64 / large.rate();
    assert!((0.97..1.03).contains(&part), "{part}");
}

#[test]
fn troubles_of_the_dependency_open_breakers_and_all_is_well_after_them() {
    let day = simulate(&world("store-6"), 3);
    whole(&day);
    assert!(day.breaker_turns > 12, "{day:?}");
    let without = changed("store-6", |json| json["troubles"] = serde_json::json!([]));
    let calm = simulate(&without, 3);
    whole(&calm);
    assert!(
        calm.kept > day.kept + 0.1 && calm.breaker_turns == 0,
        "{} {}",
        calm.kept,
        day.kept
    );
}

#[test]
fn deploys_and_crashes_keep_the_rules() {
    let deploy = changed("deploy-30", |json| json["servers"]["count"] = 6.into());
    whole(&simulate(&deploy, 2));
    let crash = changed("crash-300", |json| {
        json["servers"]["count"] = 8.into();
        json["gateways"]["count"] = 20.into();
    });
    let day = simulate(&crash, 2);
    whole(&day);
    assert!(day.unreached > 0);
}

#[test]
fn a_trouble_from_before_the_day_holds_from_its_start_and_one_beyond_its_end_to_the_end() {
    let with = |at: f64, span: f64| {
        changed("calm-3", |json| {
            json["troubles"] =
                serde_json::json!([{"kind": "slow", "at_s": at, "for_s": span, "size": 50}]);
        })
    };
    let calm = simulate(&world("calm-3"), 1).kept;
    let whole_day = simulate(&with(-10.0, 100.0), 1);
    let half = simulate(&with(-10.0, 25.0), 1);
    let over_before = simulate(&with(-10.0, 9.0), 1);
    assert!(
        whole_day.kept < 0.3 && half.kept > whole_day.kept + 0.2,
        "{} {}",
        whole_day.kept,
        half.kept
    );
    assert_eq!(over_before.kept, calm);
    [whole_day, half, over_before].iter().for_each(whole);
}

#[test]
fn no_traffic_one_server_and_a_dependency_of_no_capacity_are_days_too() {
    let silent = simulate(&changed("calm-3", |json| json["load"] = 0.into()), 1);
    whole(&silent);
    assert_eq!((silent.requests, silent.kept, silent.p99_ms), (0, 1.0, 0.0));
    let one = simulate(
        &changed("calm-3", |json| json["servers"]["count"] = 1.into()),
        1,
    );
    whole(&one);
    assert!(one.ok > 1_000);
    let none = simulate(
        &changed("store-6", |json| json["dependency"]["capacity"] = 0.into()),
        1,
    );
    whole(&none);
    // What need not call, or may leave the call out, is still answered.
    assert!(none.ok > 0 && none.kept < 0.8, "{none:?}");
}

#[test]
fn a_day_that_ends_with_requests_open_says_so() {
    let late = changed("calm-3", |json| {
        json["methods"][0]["target_ms"] = 100_000.into();
        json["methods"][0]["deadline_ms"] = 200_000.into();
        json["troubles"] = serde_json::json!([{"kind": "pause", "at_s": 29, "for_s": 60}]);
    });
    let day = simulate(&late, 1);
    whole(&day);
    assert!(day.open > 0, "{day:?}");
}

#[test]
fn servers_that_cheat_are_caught() {
    let deploy = changed("deploy-30", |json| {
        json["servers"]["count"] = 6.into();
        json["load"] = 1.3.into();
    });
    // Runs of an effect that are aborted at their call.
    let hung = changed("store-6", |json| {
        json["methods"][1]["effect"] = "non_idempotent".into()
    });
    for (world, cheat, rule) in [
        (&deploy, Defect::Silent, "Lost"),
        (&deploy, Defect::Again, "Twice"),
        (&hung, Defect::PushBackRan, "Twice"),
        (&deploy, Defect::RunAll, "FallOver"),
        (&deploy, Defect::RunAll, "Drain"),
        (&deploy, Defect::NoAdvice, "Advice"),
    ] {
        assert_eq!(simulate_with_defect(world, 1, Defect::None).breaches, 0);
        let day = simulate_with_defect(world, 1, cheat);
        assert!(
            day.by_rule
                .iter()
                .any(|(name, count)| name == rule && *count > 0),
            "{cheat:?} {:?}",
            day.by_rule
        );
    }
}

#[test]
fn baselines_keep_the_rules_and_the_record_is_whole() {
    for (name, policy) in POLICIES {
        for world in ["crowd-4", "store-6", "tail-8"] {
            let (day, record) = play(&self::world(world), 2, policy, false);
            whole(&day);
            let asked: u64 = record.slices.iter().map(|slice| slice.asked).sum();
            let worth: f64 = record.slices.iter().map(|slice| slice.worth).sum();
            let lost: f64 = record.losses.iter().sum();
            assert_eq!(asked, day.requests, "{name} {world}");
            assert!(
                (1.0 - lost / worth - day.kept).abs() < 1e-6,
                "{name} {world}: {} {}",
                lost / worth,
                day.kept
            );
        }
    }
}

#[test]
fn new_troubles_cost_something_and_are_over_with_their_end() {
    for (name, trouble) in [
        (
            "split-40",
            r#"{"kind": "partition", "at_s": 2, "for_s": 8, "part": 0.9}"#,
        ),
        (
            "split-40",
            r#"{"kind": "lost_reports", "at_s": 2, "for_s": 8, "part": 0.8}"#,
        ),
        (
            "subject-20",
            r#"{"kind": "hot_caller", "at_s": 2, "for_s": 8, "part": 0.8}"#,
        ),
        (
            "apps-5",
            r#"{"kind": "applications_hang", "at_s": 2, "for_s": 8}"#,
        ),
    ] {
        let with = |trouble: &str, seconds: f64| {
            changed(name, |json| {
                json["seconds"] = seconds.into();
                json["troubles"] = serde_json::from_str(&format!("[{trouble}]")).unwrap();
            })
        };
        let (calm, troubled, after) = (
            simulate(&with("", 10.0), 1),
            simulate(&with(trouble, 10.0), 1),
            simulate(&with(trouble, 60.0), 1),
        );
        [&calm, &troubled, &after].into_iter().for_each(whole);
        assert!(
            troubled.kept < calm.kept - 0.05,
            "{trouble}: {} {}",
            troubled.kept,
            calm.kept
        );
        assert!(
            after.kept > troubled.kept + 0.03,
            "{trouble}: {} {}",
            after.kept,
            troubled.kept
        );
    }
}
