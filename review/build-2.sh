#!/bin/sh
# Builds what the cases 6 to 10 start, without a network: the project's test servers, and the stand-ins of this review.
# The server itself is built by the command of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p loomflow-test-servers --bin test-servers
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml
