#!/usr/bin/env bash
# Writes the generated code again, with protoc (3.21) and the plugins of go.mod.
set -euo pipefail
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins" \
	google.golang.org/protobuf/cmd/protoc-gen-go \
	github.com/twitchtv/twirp/protoc-gen-twirp
cd "$(git rev-parse --show-toplevel)"
PATH="$plugins:$PATH" protoc \
	--go_out=. --go_opt=paths=source_relative \
	--twirp_out=. --twirp_opt=paths=source_relative \
	internal/wire/wire.proto
