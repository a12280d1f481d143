#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases. They need the Rust tool chain and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2024 -O -o bin/review-case standins/main.rs
