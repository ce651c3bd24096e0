#!/usr/bin/env bash
# Builds what the cases start: the program and the project's test servers. Needs no network after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline
