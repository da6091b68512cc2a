#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs no network: the package has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
