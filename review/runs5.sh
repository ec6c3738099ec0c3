#!/usr/bin/env bash
# Runs the script of a case five times with the disruption and once without, and prints how often the rule was broken.
cd "$(dirname "$0")" || exit 2
for n in "$@"; do
  broken=0 held=0 not=0
  for i in 1 2 3 4 5; do
    "$n/run.sh"; case $? in 1) broken=$((broken + 1)) ;; 0) held=$((held + 1)) ;; *) not=$((not + 1)) ;; esac
  done
  cp "$n/record.txt" "$n/.kept"
  TROUBLE=0 "$n/run.sh"
  echo "case $n: broken $broken, held $held, could not run $not of 5; without the disruption: exit $?"
  mv "$n/.kept" "$n/record.txt"
done
