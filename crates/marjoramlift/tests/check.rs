//! Guards against README examples that `check` refuses, and against wrong exit codes.
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

/// JSON blocks of the README that are settings.
fn readme_examples() -> Vec<String> {
    let readme = concat!(env!("CARGO_MANIFEST_DIR"), "/../../README.md");
    let readme = fs::read_to_string(readme).unwrap();
    let blocks = readme.split("```json\n").skip(1);
    blocks
        .map(|block| String::from(block.split_once("```").unwrap().0))
        .collect()
}

#[test]
fn readme_examples_are_accepted() {
    let dir = tempfile::tempdir().unwrap();
    fs::create_dir_all(dir.path().join("data/control")).unwrap();
    fs::create_dir_all(dir.path().join("data/agent")).unwrap();
    fs::write(dir.path().join("link.key"), "2b".repeat(32)).unwrap();
    fs::write(dir.path().join("tokens.json"), "{\"tokens\": []}").unwrap();
    let file = dir.path().join("node.json");
    let examples = readme_examples();
    assert_eq!(examples.len(), 2);
    for example in examples {
        fs::write(&file, &example).unwrap();
        let output = check(&file, dir.path());
        assert_eq!(output.status.code(), Some(0), "{output:?}");

        fs::write(&file, example.replace("\"host\"", "\"hsot\"")).unwrap();
        let output = check(&file, dir.path());
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains("hsot: unknown field"), "{text}");
    }
}
