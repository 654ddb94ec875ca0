use super::*;

#[test]
fn directory_is_locked_exclusively_and_stores_complete_files() {
    let path = std::env::temp_dir().join(format!("coralstep-storage-{}", std::process::id()));
    let mut storage = DirStorage::open(&path).unwrap();
    assert_eq!(
        DirStorage::open(&path).err().unwrap().kind(),
        io::ErrorKind::WouldBlock
    );
    storage.create("a").unwrap();
    storage.append("a", b"one").unwrap();
    storage.append("a", b"two").unwrap();
    storage.sync("a").unwrap();
    storage.rename("a", "b").unwrap();
    storage.sync_directory().unwrap();
    assert_eq!(
        (storage.list().unwrap(), storage.read("b", 6).unwrap()),
        (vec!["b".to_owned()], b"onetwo".to_vec())
    );
    assert_eq!(
        storage.read("b", 5).unwrap_err().kind(),
        io::ErrorKind::FileTooLarge
    );
    storage.remove("b").unwrap();
    assert!(storage.list().unwrap().is_empty());
    drop(storage);
    assert!(DirStorage::open(&path).is_ok());
    std::fs::remove_dir_all(&path).unwrap();
}
