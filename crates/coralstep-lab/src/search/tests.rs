use super::*;
use crate::world::WORLDS;

#[test]
fn it_finds_what_is_bad_and_leaves_out_what_is_not() {
    let start = World::parse(
        WORLDS
            .iter()
            .find(|(name, _)| *name == "store-6")
            .unwrap()
            .1,
    )
    .unwrap();
    // Bad is a pause of a large part, and nothing else.
    let badness = |world: &World| {
        let part = |trouble: &Trouble| {
            if trouble.kind == Kind::Pause {
                trouble.part
            } else {
                0.0
            }
        };
        world.troubles.iter().map(part).fold(0.0, f64::max)
    };
    let found = search(&start, 3_000, 1, badness, |_, _| {});
    assert!(found.badness >= 0.9, "{}", found.badness);
    assert_eq!(
        (
            found.world.troubles.len(),
            found.world.methods.len(),
            found.world.servers.count
        ),
        (1, 1, 1)
    );
    assert_eq!(found.world.check(), Ok(()));
    // The same seed finds the same.
    let again = search(&start, 3_000, 1, badness, |_, _| {});
    assert_eq!(again.world, found.world);
    assert_eq!(World::parse(&found.world.text()), Ok(found.world));
}
