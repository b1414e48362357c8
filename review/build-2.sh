#!/bin/sh
# Builds the stand-ins and tests of review/6 to review/10 into bin/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
for number in 6 7 8 9 10; do
  if [ -d "review/$number" ]; then
    go build -o "bin/review-$number" "./review/$number"
  fi
done
