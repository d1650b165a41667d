#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. Servers, consumers and the path
# to the store are in harness-2/fleet.py and need no build.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --bin standin-store
