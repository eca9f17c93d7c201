#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# Writes record.txt beside it.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec python3 review/11/case.py
