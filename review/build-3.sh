#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the third review. It needs the
# standard library only, and no network.
set -eu
cd "$(dirname "$0")/.."
go build -o target/rig3 ./review/testdata/rig3
