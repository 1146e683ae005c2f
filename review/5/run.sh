#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt is broken, 0 if it holds, 2 if the case can't run. With
# TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/damsonkeel ] && [ -x target/review-cluster ] || exit 2
exec target/review-cluster after-failed-task "${RECORD:-review/5/record.txt}"
