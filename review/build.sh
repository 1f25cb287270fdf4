#!/usr/bin/env bash
# Builds the programs of the review's scripts into target/review. The daemon itself is built by the line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/cmd/...
