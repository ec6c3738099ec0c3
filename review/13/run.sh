#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the process alone.
cd "$(dirname "$0")/../.."
# A JVM that cannot find its class, or cannot start, ends with 1 as well, which would count as a broken rule.
[ -f target/review-3/RestartedSide.class ] && [ -f target/parsleycleat.jar ] && java -version >/dev/null 2>&1 || exit 2
exec java -Xmx128m -cp target/review-3 RestartedSide . review/13 "${TROUBLE:-1}"
