#!/bin/bash
# Builds what the scripts of the cases start: the project's own programs, with its stand-in
# for the platform's store. The other stand-ins are Python files and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --bin currantlift-node --bin standin-store
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile review/harness/*.py review/*/*.py
rm -rf review/harness/__pycache__ review/*/__pycache__
