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
    "lifecycle",
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
        files += check_folder(&src.join(room), &ROOMS[place + 1..]);
    }
    assert!(files > 20, "{files}");
}

/// Checks all files of a folder, and of those below it; how many there were.
fn check_folder(folder: &Path, above: &[&str]) -> usize {
    let mut files = 0;
    for file in std::fs::read_dir(folder).unwrap() {
        let file = file.unwrap().path();
        if file.is_dir() {
            if file.join("mod.rs").exists() {
                files += check_folder(&file, above);
            } else {
                check_tests_folder(&file);
            }
        } else {
            let code = code(&file);
            let knows = above
                .iter()
                .find(|above| code.contains(&format!("crate::{above}::")));
            assert_eq!(knows, None, "{}", file.display());
            files += 1;
        }
    }
    files
}

/// The tests of a file stand in a folder of its name, with nothing beside them.
fn check_tests_folder(folder: &Path) {
    let beside = std::fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().file_name());
    assert_eq!(
        beside.collect::<Vec<_>>(),
        ["tests.rs"],
        "{}",
        folder.display()
    );
}
