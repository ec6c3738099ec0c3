#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -Xlint:all -d target/review-3 review/harness-3/*.java
