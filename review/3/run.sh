#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 leaves the disruption out. Build first: the command of the deploy file, then review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
test -x "$here/../bin/review-case" || { echo "run review/build.sh first" >&2; exit 2; }
REVIEW_ROOT="$here/../.." exec "$here/../bin/review-case" shutdown "$here/record.txt"
