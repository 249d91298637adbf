#!/usr/bin/env bash
# Exits with 1 if an engine ran a request on pieces of another version, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/clementineford.jar ] || [ ! -f target/review/review/Whole.class ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
exec java -Xmx256m -cp target/review review.Whole review/2
