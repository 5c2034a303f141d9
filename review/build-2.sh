#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 and later start. The build of deploy/system.toml
# makes the program itself.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/standin-2 ./review/standin-2
