use super::*;
use crate::world::{WORLDS, World};

#[test]
fn a_page_holds_all_plots_and_needs_nothing_else() {
    let world = World::parse(WORLDS[1].1).unwrap();
    let (mut day, record) = crate::simulate::play(&world, 1, Default::default(), false);
    let clean = page("virtual <time>", &day, &record, None, &[]).unwrap();
    assert_eq!(clean.matches("<svg").count(), 5);
    assert!(clean.contains("virtual &lt;time&gt;") && clean.contains("none was broken"));
    assert!(!clean.contains("src=") && !clean.contains("href="));
    (day.breaches, day.told) = (1, vec!["Lost at 5 ms".to_owned()]);
    assert!(
        page("", &day, &record, None, &[])
            .unwrap()
            .contains("<li>Lost at 5 ms</li>")
    );
}

#[test]
fn a_page_that_can_not_be_written_leaves_nothing_behind() {
    let folder = std::env::temp_dir().join(format!("coralstep-report-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("day.html");
    write(&path, "old").unwrap();
    // A full disk: the device that refuses every write.
    let full = Path::new("/dev/full");
    if full.exists() {
        std::os::unix::fs::symlink(full, folder.join("day.html.part")).unwrap();
        let told = write(&path, "new").unwrap_err();
        assert!(
            told.contains("day.html: ") && told.contains("space"),
            "{told}"
        );
    }
    assert_eq!(std::fs::read_to_string(&path).unwrap(), "old");
    assert!(!folder.join("day.html.part").exists());
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(
        write(&path, "x")
            .unwrap_err()
            .starts_with(&path.display().to_string())
    );
}
