//! Guards against operator pages whose commands do not work: each `liftctl` line in a `sh`
//! block of `docs/operate/` is run against an administration API in this process.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[path = "../../lift_admin/tests/support/mod.rs"]
mod support;

use std::{fs, path, sync};

/// Commands in `sh` blocks, in order. A command that is not meant to succeed says so.
fn commands(page: &str) -> Vec<(Vec<String>, i32)> {
    let mut found = Vec::new();
    let mut in_shell = false;
    for line in page.lines().map(str::trim) {
        if line.starts_with("```") {
            in_shell = line == "```sh";
            continue;
        }
        let Some(line) = line.strip_prefix("liftctl ").filter(|_| in_shell) else {
            continue;
        };
        let (line, code) = match line.split_once(" # exits with ") {
            Some((line, code)) => (line, code.parse().unwrap()),
            None => (line, 0),
        };
        found.push((words(line), code));
    }
    found
}

/// Splits a line at spaces outside of double quotes.
fn words(line: &str) -> Vec<String> {
    let parts = line.split('"').enumerate();
    let words = parts.flat_map(|(i, part)| match i % 2 {
        0 => part.split_whitespace().map(String::from).collect(),
        _ => vec![String::from(part)],
    });
    words.collect()
}

#[derive(Debug)]
struct Members;

#[async_trait::async_trait]
impl lift_admin::ControlMembers for Members {
    fn members(&self) -> Vec<lift_admin::ControlMemberStatus> {
        Vec::new()
    }

    async fn change(
        &self,
        _: lift_admin::ControlChange,
    ) -> Result<(), error_stack::Report<lift_admin::ControlChangeError>> {
        Ok(())
    }
}

/// Writes the documents that the page on their check names.
fn write_documents(folder: &path::Path) {
    let document = |version: u32, timeout_ms: u32| {
        serde_json::json!({
            "version": version,
            "route-list": [{
                "name": "a", "hostname": "depots.example", "path-prefix": "/x/",
                "route-kind": "idempotent", "timeout-ms": timeout_ms, "target-latency-ms": 200,
                "service-name": "s",
            }],
            "service-list": [{ "name": "s", "max-conns": 10 }],
        })
    };
    for (name, document) in [
        ("old.json", document(1, 1_000)),
        ("new.json", document(2, 900)),
        ("mistaken.json", document(3, 100)),
        ("invalid.json", document(4, 0)),
    ] {
        fs::write(folder.join(name), document.to_string()).unwrap();
    }
}

async fn run_page(file: &path::Path) -> usize {
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("weights.bin"), vec![9; 10_000]).unwrap();
    write_documents(dir.path());
    let control = support::FakeControl::new();
    let builder = support::builder(&control).control_members(sync::Arc::new(Members));
    let admin = builder.start(support::any_port()).await.unwrap();
    let commands = commands(&fs::read_to_string(file).unwrap());
    for (args, code) in &commands {
        let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_liftctl"))
            .env("LIFTCTL_SERVER", format!("http://{}", admin.addr()))
            .args(args)
            .current_dir(dir.path())
            .output()
            .await
            .unwrap();
        let text = String::from_utf8_lossy(&output.stderr);
        let page = file.display();
        assert_eq!(
            output.status.code(),
            Some(*code),
            "{page}: {args:?}: {text}"
        );
    }
    commands.len()
}

#[tokio::test]
async fn commands_of_the_pages_work() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operate");
    let mut count = 0;
    for entry in fs::read_dir(folder).unwrap() {
        let file = entry.unwrap().path();
        if file.extension().is_some_and(|extension| extension == "md") {
            count += run_page(&file).await;
        }
    }
    assert!(count >= 20, "{count} commands were found");
}
