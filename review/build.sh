#!/usr/bin/env bash
# Checks what the scripts need: the deploy file's build, and the stand-ins,
# which are Python files without a build step of their own.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review/common PYTHONDONTWRITEBYTECODE=1
python3 -c "import uvicorn, starlette, httptools, thrift, aiohttp"
for file in review/common/*.py review/*/case.py; do
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
python3 -c "import rig"
