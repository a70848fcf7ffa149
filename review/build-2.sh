#!/usr/bin/env bash
# Builds the stand-ins and drivers that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/_play2
