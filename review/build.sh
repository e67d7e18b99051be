#!/usr/bin/env bash
# Builds the rig of the review's scripts, which holds all stand-ins. It runs after
# the build line of deploy/system.toml and needs only Go's standard library.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/testdata/rig
