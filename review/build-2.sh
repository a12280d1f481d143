#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 from one crate without dependencies. The balancer itself is built by the
# command of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standins-2 review/standins-2/main.rs
