use super::*;
use crate::Folder;

#[test]
fn what_was_written_is_read_and_what_is_spoilt_is_not_believed() {
    let path = std::env::temp_dir().join(format!("coralstep-record-{}", std::process::id()));
    let mut folder = Folder::open(&path).unwrap();
    assert_eq!(load(&folder).unwrap(), None);
    let record = Record {
        acts_on: vec![7; 40],
        entries: vec![vec![1, 2], vec![3]],
    };
    save(&mut folder, &record).unwrap();
    assert_eq!(load(&folder).unwrap(), Some((record.clone(), 0)));
    let whole = folder.read(NAME, MOST).unwrap();
    for at in 0..whole.len() {
        let mut spoilt = whole.clone();
        spoilt[at] ^= 1;
        std::fs::write(path.join(NAME), &spoilt).unwrap();
        let found = load(&folder).unwrap();
        assert!(
            found.is_none_or(|(found, lost)| found == Record::default() && lost > 0),
            "byte {at}"
        );
    }
    // A power cut while the next one was written: the old one counts.
    save(&mut folder, &record).unwrap();
    folder.create(NEW).unwrap();
    folder.append(NEW, &whole[..20]).unwrap();
    assert_eq!(load(&folder).unwrap(), Some((record, 0)));
    std::fs::remove_dir_all(&path).unwrap();
}
