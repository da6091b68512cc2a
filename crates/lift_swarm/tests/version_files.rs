//! Guards against a disk that fills up with files that were not completed.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{fs, path, sync};

fn files(dir: &path::Path) -> Vec<String> {
    let names = fs::read_dir(dir).unwrap();
    names
        .map(|entry| entry.unwrap().file_name().to_string_lossy().into_owned())
        .filter(|name| !name.ends_with(".json"))
        .collect()
}

#[test]
fn weights_that_could_not_be_assembled_leave_no_file() {
    let dir = tempfile::tempdir().unwrap();
    let chunks = lift_swarm::ChunkStore::open(dir.path().join("chunks")).unwrap();
    let versions = dir.path().join("versions");
    let store = lift_swarm::VersionStore::open(versions.clone(), sync::Arc::new(chunks)).unwrap();
    let manifest = lift_types::Manifest::of(String::from("v1"), b"weights", 3);
    store.insert(&sync::Arc::new(manifest.clone())).unwrap();
    for _ in 0..3 {
        assert!(store.assemble(&manifest).is_err());
    }
    assert_eq!(files(&versions), Vec::<String>::new());
}

#[test]
fn a_start_removes_the_files_that_an_earlier_process_has_not_completed() {
    let dir = tempfile::tempdir().unwrap();
    let chunks = lift_swarm::ChunkStore::open(dir.path().join("chunks")).unwrap();
    let versions = dir.path().join("versions");
    fs::create_dir(&versions).unwrap();
    fs::write(versions.join("temp-0"), "part of the weights").unwrap();
    lift_swarm::VersionStore::open(versions.clone(), sync::Arc::new(chunks)).unwrap();
    assert_eq!(files(&versions), Vec::<String>::new());
}
