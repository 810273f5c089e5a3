#!/bin/bash
cd "$(dirname "$0")/../.." && exec python3 review/1/case.py
