//! A search for the world in which the module does worst: changed worlds at random, then small moves from the worst of them, then all
//! that can be left out of it without losing the point. Knows no simulator: a world's badness is the caller's to say.
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::world::{Kind, Trouble, World};

/// Part of the tries that are restarts; the others move from the worst so far.
const RESTARTS: f64 = 0.3;
/// A shrunken world may be less bad by this part.
const KEEPS: f64 = 0.9;
/// Changes of one restart, and the troubles a world may have.
const CHANGES: usize = 4;
const TROUBLES: usize = 3;

#[derive(Clone, Debug)]
pub struct Found {
    pub world: World,
    pub badness: f64,
    pub tries: u64,
}

const KINDS: [Kind; 11] = [
    Kind::Slow,
    Kind::Crash,
    Kind::Deploy,
    Kind::Pause,
    Kind::Jump,
    Kind::DependencySlow,
    Kind::DependencyHangs,
    Kind::DependencyDead,
    Kind::HeavyTail,
    Kind::LostReports,
    Kind::Partition,
];

fn trouble(world: &World, chance: &mut SmallRng) -> Trouble {
    Trouble {
        kind: KINDS[chance.random_range(0..KINDS.len())],
        at_s: (chance.random_range(0.0..world.seconds)).round(),
        for_s: (chance.random_range(1.0..(world.seconds / 2.0).max(2.0))).round(),
        part: f64::from(chance.random_range(1..=10u8)) / 10.0,
        size: f64::from(chance.random_range(1..=20u8)),
    }
}

/// One change, small or not; the world that comes of it may be unsound.
fn change(world: &mut World, chance: &mut SmallRng) {
    let factor = [0.5, 0.8, 1.25, 2.0][chance.random_range(0..4)];
    let method = chance.random_range(0..world.methods.len());
    match chance.random_range(0..12u8) {
        0 => world.load = (world.load * factor).clamp(0.05, 4.0),
        1 => world.gateways.retries = chance.random_range(0..4),
        2 => world.gateways.heed = f64::from(chance.random_range(0..=4u8)) / 4.0,
        3 => world.gap_shape = [0.2, 0.5, 1.0, 4.0][chance.random_range(0..4)],
        4 => world.methods[method].share *= factor,
        5 => world.methods[method].criticality *= factor,
        6 => {
            world.methods[method].target_ms =
                (world.methods[method].target_ms * factor).round().max(50.0)
        }
        7 => world.servers.cold_speed = (world.servers.cold_speed * factor).clamp(0.05, 1.0),
        8 | 9 if world.troubles.len() < TROUBLES => {
            let trouble = trouble(world, chance);
            world.troubles.push(trouble);
        }
        _ if !world.troubles.is_empty() => {
            let at = chance.random_range(0..world.troubles.len());
            let with = trouble(world, chance);
            let of = &mut world.troubles[at];
            match chance.random_range(0..5u8) {
                4 => of.kind = with.kind,
                0 => of.at_s = with.at_s,
                1 => of.for_s = with.for_s,
                2 => of.part = with.part,
                _ => of.size = with.size,
            }
        }
        _ => {}
    }
    world.methods[method].deadline_ms = world.methods[method]
        .deadline_ms
        .max(world.methods[method].target_ms);
}

/// Tries so many worlds, and gives back the worst with all that doesn't matter left out. `told` hears of each worse one.
pub fn search(
    start: &World,
    tries: u64,
    seed: u64,
    mut badness: impl FnMut(&World) -> f64,
    mut told: impl FnMut(u64, f64),
) -> Found {
    let mut chance = SmallRng::seed_from_u64(seed);
    let mut found = Found {
        world: start.clone(),
        badness: badness(start),
        tries: 1,
    };
    while found.tries < tries {
        let restart = chance.random_range(0.0..1.0) < RESTARTS;
        let mut world = if restart {
            start.clone()
        } else {
            found.world.clone()
        };
        let changes = if restart {
            chance.random_range(1..=CHANGES)
        } else {
            1
        };
        (0..changes).for_each(|_| change(&mut world, &mut chance));
        if world.check().is_err() || world == found.world {
            // Not a try, but never for ever: each is one step of the count.
            found.tries += 1;
            continue;
        }
        found.tries += 1;
        let bad = badness(&world);
        if bad > found.badness {
            told(found.tries, bad);
            (found.world, found.badness) = (world, bad);
        }
    }
    shrink(found, &mut badness)
}

/// Leaves out one thing after another as long as the world stays about as bad.
pub fn shrink(mut found: Found, badness: &mut impl FnMut(&World) -> f64) -> Found {
    let least = found.badness * KEEPS;
    loop {
        let mut smaller: Vec<World> = Vec::new();
        let of = &found.world;
        for at in 0..of.troubles.len() {
            let mut world = of.clone();
            world.troubles.remove(at);
            smaller.push(world);
        }
        for at in 0..of.methods.len() {
            let mut world = of.clone();
            world.methods.remove(at);
            smaller.push(world);
        }
        let mut half = of.clone();
        half.servers.count = (of.servers.count / 2).max(1);
        let mut shorter = of.clone();
        shorter.seconds = (of.seconds / 2.0).round().max(10.0);
        let mut plain = of.clone();
        (plain.gap_shape, plain.gateways.retries) = (1.0, 0);
        let mut nobody = of.clone();
        nobody.tenants.clear();
        smaller.extend([half, shorter, plain, nobody]);
        let next = smaller
            .into_iter()
            .filter(|world| world != of && world.check().is_ok())
            .find_map(|world| {
                found.tries += 1;
                let bad = badness(&world);
                (bad >= least).then_some((world, bad))
            });
        match next {
            Some((world, bad)) => (found.world, found.badness) = (world, bad),
            None => return found,
        }
    }
}

#[cfg(test)]
mod tests;
