#!/bin/sh
# Plays the case: 0 if the rule held, 1 if it was broken, 2 if the case could not be played. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
player=review/stand-ins-2/target/release/review-2
for program in target/release/loomflow review/stand-ins-2/broker/target/release/review-2-broker "$player"; do
    [ -x "$program" ] || { echo "$program is missing: build by deploy/balancer.toml, then review/build-2.sh"; exit 2; }
done
exec "$player" two-owners review/10
