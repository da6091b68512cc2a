//! Writes `docs/faults.md` to standard output.

fn main() {
    print!("{}", lift_matrix::table());
}
