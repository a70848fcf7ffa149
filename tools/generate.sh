#!/usr/bin/env bash
# Regenerates the committed peer protocol code. Needs protoc, protoc-gen-go
# v1.36.12 and protoc-gen-go-drpc v1.1.0 on the PATH.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --go_out=. --go_opt=module=coltsfootpath.example/coltsfootpath \
  --go-drpc_out=. --go-drpc_opt=module=coltsfootpath.example/coltsfootpath \
  internal/protocol/peerapi/peer.proto
gofmt -w internal/protocol/peerapi
