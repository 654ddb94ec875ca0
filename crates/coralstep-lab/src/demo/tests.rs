#[test]
fn demo_world_is_valid_and_lasts_as_stated() {
    let world = super::world().unwrap();
    assert_eq!(
        (world.seconds, world.servers.count),
        (super::SECONDS as f64, 3)
    );
}
