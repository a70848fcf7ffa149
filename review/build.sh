#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The gateway itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-lab ./review/_lab
