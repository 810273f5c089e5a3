#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
PYTHONPATH=target/deps timeout -k 5 110 python3 "$folder/case.py"
status=$?
if [ "$status" -gt 1 ]; then
    exit 2
fi
exit "$status"
