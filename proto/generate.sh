#!/usr/bin/env bash
# Regenerates gen/ from proto/. Needs protoc; the Go plugins come from the module's tool list.
# The generated code is committed, so neither the build nor the tests call this.
set -euo pipefail
cd "$(dirname "$0")/.."
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$plugins/protoc-gen-connect-go" connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$plugins:$PATH" protoc -I proto --go_out=gen --go_opt=paths=source_relative \
  --connect-go_out=gen --connect-go_opt=paths=source_relative,simple=false proto/granitebay/v1/*.proto
