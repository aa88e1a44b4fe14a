#!/usr/bin/env bash
# Builds the stand-ins of the cases; needs nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --add-modules jdk.incubator.foreign -d target/review review/standin/*.java
