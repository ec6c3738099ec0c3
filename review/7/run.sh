#!/bin/bash
# Plays case 7: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] && [ -f target/parsleycleat.jar ] || exit 2
timeout -k 5 110 java -Xmx256m -cp target/review-2 Case7 review/7
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
