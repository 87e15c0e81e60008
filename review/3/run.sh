#!/bin/sh
# Plays case 3. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. The build of the deploy file and review/build.sh come first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/plankridge ] && [ -x target/review.test ] || exit 2
REVIEW_PROGRAM=case3 REVIEW_FOLDER=review/3 exec target/review.test
