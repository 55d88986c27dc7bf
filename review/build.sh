#!/bin/sh
# The stand-ins are Python programs that use only the standard library, so nothing is built.
# Checks that the interpreter can run them, and that the build of the deploy file was done.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in standins/*.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x ../target/release/lentilhook
