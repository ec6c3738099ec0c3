#!/usr/bin/env bash
# Builds the stand-ins of the cases; needs nothing but a JDK. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p target/classes
javac -d target/classes harness/*.java
