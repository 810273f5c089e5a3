#!/bin/bash
# Builds the stand-ins of the cases. They need Python 3.11 and its standard library only,
# so that this only checks that they can be read.
set -e
cd "$(dirname "$0")"
python3 -m py_compile lib/*.py [0-9]/*.py
