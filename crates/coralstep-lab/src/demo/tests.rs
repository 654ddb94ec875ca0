#[test]
fn its_world_is_sound_and_short() {
    let world = super::world().unwrap();
    assert_eq!(
        (world.seconds, world.servers.count),
        (super::SECONDS as f64, 3)
    );
}
