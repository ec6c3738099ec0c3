#!/bin/bash
# Builds the stand-ins and the scripts of the second review's cases, with the JDK alone.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
javac -d "$out" review/harness-2/*.java review/[0-9]*/Case*.java
