#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3/. The nodes that they start are
# those of the build line in deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for d in review/1[1-5]/; do
  n=$(basename "$d")
  [ -f "$d/main.go" ] && go build -o "target/review-3/case$n" "./$d"
done
true
