#!/bin/sh
# Builds the stand-ins of the cases (clients, servers, and the project's own store of
# platform/standin) into target/review/. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -buildvcs=false -o target/review/ ./review/harness
