#!/bin/sh
# Builds the stand-ins of the cases into target/review/.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOFLAGS= GOWORK=off go build -o ../../target/review/standin .
