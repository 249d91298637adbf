#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 --release 17 -d target/review $(find review -name '*.java')
