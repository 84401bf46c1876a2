#!/bin/bash
# The stand-ins of the second review's scripts are Python; nothing is compiled. This checks that they
# and what they use of the project's own are there, with what the deploy file's build has installed.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:review/stand-ins-2 python3 -B -c "import rig"
