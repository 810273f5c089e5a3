#!/bin/bash
cd "$(dirname "$0")/../.." && exec python3 review/4/case.py
