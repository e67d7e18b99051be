#!/usr/bin/env bash
# Builds the program with the stand-ins and the checks of the cases 6 to 10.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/testdata/rig2
