#!/bin/bash
# Runs all tests. Cases listed in KNOWN-RED.txt are the only ones passed over,
# and each is printed.
set -euo pipefail
cd "$(dirname "$0")/.."

# Tests of real processes that run at the same time.
PROCESS_TESTS=2

known_red=()
if [ -f KNOWN-RED.txt ]; then
    echo "Known red, passed over:"
    cat KNOWN-RED.txt
    # An entry starts with "test: NAME"; NAME is the full path cargo prints.
    while read -r name; do
        known_red+=(--skip "$name")
    done < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
exact=()
if [ ${#known_red[@]} -gt 0 ]; then
    exact=(--exact "${known_red[@]}")
fi
cargo test --locked --lib --bins -- "${exact[@]}"
# Each of these tests starts 4 to 13 processes and measures times of 20 ms to 5 s.
cargo test --locked --test '*' -- --test-threads "$PROCESS_TESTS" "${exact[@]}"
