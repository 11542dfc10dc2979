#!/bin/sh
# Puts what the nodes run, and nothing else, under target/deps, byte-compiled.
set -eu
deps=target/deps
if [ ! -e "$deps/.installed" ] || [ deploy/requirements.txt -nt "$deps/.installed" ]; then
    python3 -m pip install -q -U --target "$deps" -r deploy/requirements.txt
    touch "$deps/.installed"
fi
rm -rf "$deps/balsamstream"
mkdir -p "$deps/balsamstream"
cp src/balsamstream/__init__.py "$deps/balsamstream/"
for package in flows http kernel node platform; do
    cp -r "src/balsamstream/$package" "$deps/balsamstream/"
done
python3 -m compileall -q "$deps"
