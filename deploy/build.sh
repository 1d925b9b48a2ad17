#!/bin/sh
# Puts the locked libraries and the compiled package into target/.
set -eu
if [ ! target/deps/.locked -nt deploy/requirements.lock ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --target target/deps -r deploy/requirements.lock
    touch target/deps/.locked
fi
rm -rf target/deps/ryesaddle
cp -R src/ryesaddle target/deps/ryesaddle
cp src/ryesaddle/platform/start.py target/start.py
python3 -m compileall -q target/deps
