#!/bin/bash
# Runs all tests except the known failures in KNOWN-RED.txt, which it prints.
set -euo pipefail
cd "$(dirname "$0")/.."

# Number of tests with real processes that run at the same time.
PROCESS_TESTS=2
# Tests that run one at a time, apart from all others.
ALONE=unruly_callers

known_red=()
if [ -f KNOWN-RED.txt ]; then
    echo "Known failures, skipped:"
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
# Each of these tests starts 4 to 13 processes and checks times of 20 ms to 5 s.
process_tests=()
for file in tests/*.rs; do
    name=$(basename "$file" .rs)
    [ "$name" = "$ALONE" ] || process_tests+=(--test "$name")
done
cargo test --locked "${process_tests[@]}" -- --test-threads "$PROCESS_TESTS" "${exact[@]}"
# Crowds of callers, which would slow down the others.
cargo test --locked --test "$ALONE" -- --test-threads 1 "${exact[@]}"
