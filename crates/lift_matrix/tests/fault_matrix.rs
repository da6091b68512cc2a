//! Guards every promise at every step of a journey under every fault. `docs/faults.md` has
//! the table.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod fault_matrix {
    /// Seeds for each cell. The same seed gives the same run.
    const SEEDS: u64 = 20;

    mod engine;
    mod request;
    mod spread;

    /// Writes one test for each fault at a step.
    macro_rules! cells {
        ($run:path, $steps:ty, $($step:ident)*) => {
            $(mod $step { cells! { @step $run, $steps, $step, host_dies link_stalls data_corrupt
                version_changes control_partitioned race answer_lost second_loss restart
                connection_silent two_at_once } })*
        };
        (@step $run:path, $steps:ty, $step:ident, $($fault:ident)*) => {
            $(#[test]
            fn $fault() {
                let step = stringify!($step).parse::<$steps>().unwrap();
                $run(step, stringify!($fault).parse().unwrap());
            })*
        };
    }

    mod spread_cells {
        cells! { super::super::spread::run, lift_matrix::SpreadStep, manifest_read
        chunk_requested chunk_arrived whole_verified grant_requested draining load_ordered
        engine_confirmed advertised }
    }

    mod request_cells {
        cells! { super::super::request::run, lift_matrix::RequestStep, host_chosen
        claim_requested claim_held call_sent backend_started backend_finished answer_sent }
    }
}

#[test]
fn the_table_in_the_docs_is_complete() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/faults.md");
    let page = std::fs::read_to_string(path).unwrap();
    assert_eq!(page, lift_matrix::table());
}
