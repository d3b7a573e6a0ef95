#!/usr/bin/env bash
# Builds the program that plays the cases, with all stand-ins, into target/review/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/drive
