#!/usr/bin/env bash
# One controller is cut from the store and the other controllers while a user cancels a job through another one.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the cut.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/damsonkeel ] && [ -x target/review-standin ] || { echo "not built: see review/build.sh" >&2; exit 2; }
timeout -k 2 118 target/review-standin cut-off review/3
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
