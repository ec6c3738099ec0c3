#!/usr/bin/env bash
# Exits 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -s target/parsleycleat.jar ] && [ -d review/target/classes ] || { echo "not built"; exit 2; }
timeout -k 5 115 java -Xmx256m -cp review/target/classes Case Emptied review/3
case $? in
  11) exit 1 ;;
  0) exit 0 ;;
  *) exit 2 ;;
esac
