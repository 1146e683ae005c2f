#!/usr/bin/env bash
# The store refuses one controller alone, then answers its first watch in half a second, while users
# cancel jobs. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the refusal.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/damsonkeel ] && [ -x target/review-standin ] || { echo "not built: see review/build.sh" >&2; exit 2; }
timeout -k 2 118 target/review-standin stale-watch review/2
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
