#!/bin/sh
# Builds the programs of the project that the scripts in review/11 to review/15 start: the node and
# the stand-in store. Servers and clients are in Python and need no build.
cd "$(dirname "$0")/.." && exec cargo build --release --locked --bins
