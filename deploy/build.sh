#!/bin/sh
# Puts the locked libraries and the compiled package into target/.
set -eu
if [ ! target/deps/.locked -nt deploy/requirements.lock ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --target target/deps -r deploy/requirements.lock
    python3 -m compileall -q target/deps
    touch target/deps/.locked
fi
# Processes of an earlier build may be starting, and import the package meanwhile.
if diff -rq -x __pycache__ src/ryesaddle target/deps/ryesaddle >/dev/null 2>&1 &&
    cmp -s src/ryesaddle/platform/start.py target/start.py; then
    exit 0
fi
built=target/build-$$
trap 'rm -rf "$built"' EXIT
mkdir -p "$built"
cp -R src/ryesaddle "$built/ryesaddle"
rm -rf "$built"/ryesaddle/__pycache__ "$built"/ryesaddle/*/__pycache__
cp src/ryesaddle/platform/start.py "$built/start.py"
python3 -m compileall -q -s "$built" -p target/deps "$built/ryesaddle"
if [ -e target/deps/ryesaddle ]; then
    mv target/deps/ryesaddle "$built/replaced"
fi
mv "$built/ryesaddle" target/deps/ryesaddle
mv "$built/start.py" target/start.py
