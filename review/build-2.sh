#!/bin/bash
# Builds what the scripts of cases 6 to 10 start besides the programs of the deploy file.
# The stand-ins are Python and need no build; this checks that they can be loaded with
# the dependencies that the build of the deploy file has put under target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:review python3 -c "import lib2.standins"
