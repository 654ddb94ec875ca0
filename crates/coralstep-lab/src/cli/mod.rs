//! Sub-commands of the program, a file for each group.
use std::io::IsTerminal;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use coralstep_lab::World;
use coralstep_lab::world::WORLDS;

pub mod experiment;
pub mod explore;
pub mod fleet;
pub mod load;
pub mod simulate;
pub mod sockets;

/// The text of a world: a file, or one that comes with the program.
pub fn world_text(name: &str) -> Result<String, String> {
    match WORLDS.iter().find(|(known, _)| *known == name) {
        Some((_, text)) => Ok((*text).to_owned()),
        None => std::fs::read_to_string(name).map_err(|why| format!("{name}: {why}")),
    }
}

pub fn world(name: &str) -> Result<World, String> {
    World::parse(&world_text(name)?).map_err(|why| format!("{name}: {why}"))
}

/// Does something for each of `numbers` on some threads; the results in their order. Says how far it is on a terminal.
pub fn side_by_side<T: Send>(
    numbers: std::ops::Range<u64>,
    threads: usize,
    what: impl Fn(u64) -> T + Sync,
) -> Vec<T> {
    let (next, count) = (AtomicU64::new(numbers.start), numbers.end - numbers.start);
    let done: Mutex<Vec<(u64, T)>> = Mutex::default();
    let shows = std::io::stderr().is_terminal() && count > 1;
    std::thread::scope(|scope| {
        for _ in 0..threads.min(count as usize) {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    if number >= numbers.end {
                        return;
                    }
                    let result = what(number);
                    let mut done = done.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                    done.push((number, result));
                    if shows {
                        eprint!("\r{} of {count}", done.len());
                    }
                }
            });
        }
    });
    if shows {
        eprintln!();
    }
    let mut done = done
        .into_inner()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    done.sort_by_key(|(number, _)| *number);
    done.into_iter().map(|(_, result)| result).collect()
}
