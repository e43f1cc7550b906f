#!/bin/sh
# Builds the stand-ins and the runner of the cases: one program without dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/harness review/harness/main.rs
