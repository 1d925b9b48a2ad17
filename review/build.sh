#!/bin/sh
# Prepares the stand-ins of the cases. They need Python's standard library only.
set -eu
cd "$(dirname "$0")"
python3 -c 'import compileall, sys; sys.exit(not compileall.compile_dir(".", quiet=1))'
