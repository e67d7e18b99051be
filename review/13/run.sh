#!/usr/bin/env bash
# Runs the case. Exit 1: the rule was broken, 0: it held, 2: the case could not run.
# With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tamaracklink ] && [ -x target/rig3 ] || { echo "build first: the deploy file's build and review/build-3.sh" >&2; exit 2; }
exec target/rig3 late review/13/record.txt
