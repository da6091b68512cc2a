//! Guards against a README example that `check` refuses, and against wrong exit codes.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{fs, path, process};

fn check(file: &path::Path, dir: &path::Path) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_marjoramlift"))
        .args(["check", "--settings"])
        .arg(file)
        .current_dir(dir)
        .output()
        .unwrap()
}

/// The first JSON block of the README.
fn readme_example() -> String {
    let readme = concat!(env!("CARGO_MANIFEST_DIR"), "/../../README.md");
    let readme = fs::read_to_string(readme).unwrap();
    let (_, rest) = readme.split_once("```json\n").unwrap();
    String::from(rest.split_once("```").unwrap().0)
}

#[test]
fn readme_example_is_accepted() {
    let dir = tempfile::tempdir().unwrap();
    fs::create_dir_all(dir.path().join("data/control")).unwrap();
    fs::create_dir_all(dir.path().join("data/agent")).unwrap();
    fs::write(dir.path().join("link.key"), "2b".repeat(32)).unwrap();
    let file = dir.path().join("node.json");
    fs::write(&file, readme_example()).unwrap();
    let output = check(&file, dir.path());
    assert_eq!(output.status.code(), Some(0), "{output:?}");

    fs::write(&file, readme_example().replace("\"host\"", "\"hsot\"")).unwrap();
    let output = check(&file, dir.path());
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("hsot: unknown field"), "{text}");
}
