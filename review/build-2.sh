#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/second-review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/second-review
go build -o target/second-review/ ./review/scene/...
