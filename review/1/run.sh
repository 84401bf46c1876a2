#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
if [ -d "$root/target/deps" ]; then
    export PYTHONPATH="$root/target/deps"
    python=python3
elif [ -x "$root/.venv/bin/python" ]; then
    python="$root/.venv/bin/python"
else
    echo "neither target/deps nor .venv: run the command 'build' of deploy/system.toml first" >&2
    exit 2
fi
exec timeout --signal=TERM --kill-after=5 115 "$python" -B world.py
