//! Prints `docs/operate/fleet-settings.md`.

fn main() {
    print!("{}", lift_settings::fleet_reference());
}
