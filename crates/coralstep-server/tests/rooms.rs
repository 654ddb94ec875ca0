//! Modules of the server depend on each other in one direction only.
use std::path::Path;

/// Ordered by dependency: a module may use only those before it.
const LAYERS: [&str; 8] = [
    "base",
    "decisions",
    "dependency",
    "fleet",
    "runs",
    "callers",
    "operators",
    "lifecycle",
];

/// Returns the code of a file without its test module, which may use any module.
fn code(file: &Path) -> String {
    let text = std::fs::read_to_string(file).unwrap();
    text.split("#[cfg(test)]\nmod ").next().unwrap().to_owned()
}

#[test]
fn no_layer_depends_on_a_higher_one() {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = 0;
    for (index, layer) in LAYERS.iter().enumerate() {
        files += check_folder(&src.join(layer), &LAYERS[index + 1..]);
    }
    assert!(files > 20, "{files}");
}

/// Checks all files of a folder and its subfolders and returns their number.
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
            let dependency = above
                .iter()
                .find(|above| code.contains(&format!("crate::{above}::")));
            assert_eq!(dependency, None, "{}", file.display());
            files += 1;
        }
    }
    files
}

/// Checks that the folder of a file's tests contains only `tests.rs`.
fn check_tests_folder(folder: &Path) {
    let entries = std::fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().file_name());
    assert_eq!(
        entries.collect::<Vec<_>>(),
        ["tests.rs"],
        "{}",
        folder.display()
    );
}
