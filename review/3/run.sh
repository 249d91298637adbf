#!/usr/bin/env bash
# Exits with 1 if a caller got a part of an answer as a complete success, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/clementineford.jar ] || [ ! -f target/review/review/Mixed.class ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
exec java -Xmx256m -cp target/review review.Mixed review/3
