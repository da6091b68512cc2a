//! Guards against a demo that does not end, loses an answer, runs a request twice or leaves
//! a replica behind.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{fs, process};

#[test]
fn demo_reports_a_good_run() {
    let dir = tempfile::tempdir().unwrap();
    let weights = dir.path().join("weights");
    let bytes: Vec<u8> = (0..3_000_000_u32)
        .map(|i| (i.wrapping_mul(i) / 7) as u8)
        .collect();
    fs::write(&weights, &bytes).unwrap();
    let output = process::Command::new(env!("CARGO_BIN_EXE_marjoramlift"))
        .args(["demo", "--json", "--replicas", "3", "--weights"])
        .arg(&weights)
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let report: serde_json::Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    assert_eq!(output.status.code(), Some(0), "{report}");
    let expected = [
        ("replicas", 3),
        ("replicas_serving", 3),
        ("weights_bytes", bytes.len() as u64),
        ("answers_wrong", 0),
        ("answers_lost", 0),
        ("double_runs", 0),
    ];
    for (field, value) in expected {
        assert_eq!(report[field], value, "{field}: {report}");
    }
    assert!(report["time_to_all_ms"].as_u64().is_some(), "{report}");
    assert!(report["answers_ok"].as_u64() > Some(0), "{report}");
    assert!(
        report["origin_bytes"].as_u64() <= Some(2 * bytes.len() as u64),
        "{report}"
    );
    assert_eq!(report["non_idempotent_sent"], report["non_idempotent_ran"]);
    assert_eq!(report["second"]["replicas_serving"], 3, "{report}");
}

/// Guards against values that are accepted and fail later.
#[test]
fn wrong_options_are_refused() {
    for args in [["--replicas", "0"], ["--weights", "/nowhere"]] {
        let output = process::Command::new(env!("CARGO_BIN_EXE_marjoramlift"))
            .arg("demo")
            .args(args)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(2), "{args:?}: {output:?}");
    }
}
