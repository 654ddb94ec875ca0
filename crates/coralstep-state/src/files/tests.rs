use super::*;

#[test]
fn a_folder_is_one_process_s_and_files_are_whole() {
    let path = std::env::temp_dir().join(format!("coralstep-files-{}", std::process::id()));
    let mut folder = Folder::open(&path).unwrap();
    assert_eq!(
        Folder::open(&path).err().unwrap().kind(),
        io::ErrorKind::WouldBlock
    );
    folder.create("a").unwrap();
    folder.append("a", b"one").unwrap();
    folder.append("a", b"two").unwrap();
    folder.sync("a").unwrap();
    folder.rename("a", "b").unwrap();
    folder.sync_folder().unwrap();
    assert_eq!(
        (folder.list().unwrap(), folder.read("b", 6).unwrap()),
        (vec!["b".to_owned()], b"onetwo".to_vec())
    );
    assert_eq!(
        folder.read("b", 5).unwrap_err().kind(),
        io::ErrorKind::FileTooLarge
    );
    folder.remove("b").unwrap();
    assert!(folder.list().unwrap().is_empty());
    drop(folder);
    assert!(Folder::open(&path).is_ok());
    std::fs::remove_dir_all(&path).unwrap();
}
