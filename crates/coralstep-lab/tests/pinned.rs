//! Pinned results of simulated clusters: the same seed must be the very same day.
use coralstep_lab::world::WORLDS;
use coralstep_lab::{World, simulate};

/// World, seconds played, trace of all events, requests, answers in all, and the bits of the part that was kept.
type Pinned = (&'static str, f64, u64, u64, u64, u64);

const PINNED: [Pinned; 8] = [
    (
        "calm-3",
        10.0,
        11_352_618_906_040_174_275,
        1_810,
        1_810,
        4_607_182_418_800_017_408,
    ),
    (
        "crowd-4",
        10.0,
        914_758_603_975_614_165,
        1_366,
        1_366,
        4_605_980_001_423_777_712,
    ),
    (
        "store-6",
        20.0,
        8_166_327_413_655_978_497,
        4_471,
        4_471,
        4_606_470_325_297_882_800,
    ),
    (
        "tail-8",
        8.0,
        17_877_229_309_544_525_600,
        1_780,
        1_780,
        4_606_857_693_030_595_524,
    ),
    (
        "deploy-30",
        8.0,
        17_330_215_557_831_121_277,
        4_553,
        4_553,
        4_606_812_083_889_024_815,
    ),
    (
        "apps-5",
        10.0,
        7_995_640_132_981_933_265,
        4_388,
        4_388,
        4_606_963_368_945_183_416,
    ),
    (
        "split-40",
        4.0,
        16_854_961_818_333_606_438,
        3_814,
        3_814,
        4_607_127_892_233_848_328,
    ),
    (
        "subject-20",
        4.0,
        874_394_651_194_153_032,
        2_020,
        2_020,
        4_606_959_975_227_673_746,
    ),
];

fn played((name, seconds, ..): Pinned) -> Pinned {
    let text = WORLDS
        .iter()
        .find(|(known, _)| *known == name)
        .expect("a known world")
        .1;
    let mut json: serde_json::Value = serde_json::from_str(text).expect("a world is JSON");
    json["seconds"] = seconds.into();
    let day = simulate(&World::parse(&json.to_string()).expect("a valid world"), 7);
    (
        name,
        seconds,
        day.trace,
        day.requests,
        day.ok + day.pushed_back + day.aborted,
        day.kept.to_bits(),
    )
}

/// Guards against a change of names or files that changes a decision, the order of a sum or a random draw.
#[test]
fn simulated_clusters_are_the_same_as_pinned() {
    assert_eq!(PINNED.map(played), PINNED);
}
