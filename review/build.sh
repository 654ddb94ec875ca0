#!/usr/bin/env bash
# Builds the stand-ins of the cases (engine, store, control plane, gateways, other clients): one program of the
# standard library alone, without cargo and without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/rig review/stand-ins/main.rs
