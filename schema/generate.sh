#!/usr/bin/env bash
# Regenerates the Go code in internal/wire and platform/wire. Requires protoc (Debian
# package protobuf-compiler) and installs protoc-gen-go; the build requires neither.
set -euo pipefail
cd "$(dirname "$0")/.."
go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
export PATH="$(go env GOPATH)/bin:$PATH"
protoc -I schema --go_out=. \
  --go_opt=module=github.com/damasklever/damasklever schema/*.proto
protoc -I platform/schema --go_out=. \
  --go_opt=module=github.com/damasklever/damasklever platform/schema/*.proto
