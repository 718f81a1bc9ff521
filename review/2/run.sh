#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout -k 5 110 target/review/gone-seeds "$here/record.txt" "$work" \
    target/bin "$PWD/target/review/stand-in-platform-store"
status=$?
[[ -z ${KEEP:-} ]] || cp -r "$work/." "$KEEP"
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
