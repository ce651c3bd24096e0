#!/bin/sh
# Builds what the cases 6 to 10 start, without a network: the stand-ins of this review, one of them with the project's test
# servers. The server itself is built by the command of deploy/balancer.toml, whose crates suffice.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml
cargo build --release --locked --offline --manifest-path review/stand-ins-2/broker/Cargo.toml
