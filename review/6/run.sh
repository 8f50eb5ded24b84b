#!/usr/bin/env bash
# Plays the case of claim.txt; TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and build-2.sh.
cd "$(dirname "$0")" || exit 2
program=../../target/celeryswitch
player=../../target/review-2/case-$(basename "$PWD")
[ -x "$program" ] && [ -x "$player" ] || exit 2
exec timeout --kill-after=5 115 "$player" "$program" record.txt
