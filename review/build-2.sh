#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start: one program, with the compiler alone and no dependency.
# The server itself is built before by the `build` line of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/stand-ins review/stand-ins-2/main.rs
