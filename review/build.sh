#!/bin/sh
# The stand-ins need the standard library alone: there is nothing to build, only to
# check that the nodes were built as the deploy file says.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/balsamstream/node
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
