//! Arrows between the rooms of the server go one way: each knows only what stands behind it.
use std::path::Path;

/// From the ground up.
const ROOMS: [&str; 8] = [
    "base",
    "decisions",
    "dependency",
    "fleet",
    "runs",
    "callers",
    "operators",
    "life",
];

/// The part of a file before its tests, which may use what they like.
fn code(file: &Path) -> String {
    let text = std::fs::read_to_string(file).unwrap();
    text.split("#[cfg(test)]\nmod ").next().unwrap().to_owned()
}

#[test]
fn no_room_knows_one_above_it() {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = 0;
    for (place, room) in ROOMS.iter().enumerate() {
        for file in std::fs::read_dir(src.join(room)).unwrap() {
            let (file, mut above) = (file.unwrap().path(), ROOMS[place + 1..].iter());
            if file.is_dir() {
                // A file's tests stand in a folder of its name, with nothing beside them.
                let beside = std::fs::read_dir(&file)
                    .unwrap()
                    .map(|file| file.unwrap().file_name());
                assert_eq!(
                    beside.collect::<Vec<_>>(),
                    ["tests.rs"],
                    "{}",
                    file.display()
                );
                continue;
            }
            let code = code(&file);
            let knows = above.find(|above| code.contains(&format!("crate::{above}::")));
            assert_eq!(knows, None, "{}", file.display());
            files += 1;
        }
    }
    assert!(files > 20, "{files}");
}
