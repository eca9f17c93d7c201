#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they are Python, so that it only
# compiles them and checks that the deploy file's build is there.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 -c "import httptools, starlette, uvicorn" &&
  python3 -m compileall -q review/common-3
