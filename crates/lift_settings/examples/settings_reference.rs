//! Prints `docs/operate/settings.md`.

fn main() {
    print!("{}", lift_settings::reference());
}
