#!/bin/bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here/../harness"
python3 -c 'import tomllib' || exit 2
exec python3 "$here/case.py" "$here"
