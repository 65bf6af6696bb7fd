#!/bin/sh
# The stand-ins are Python programs without dependencies; python3 (3.11 or newer) comes with the Debian packages
# of deploy/system.toml (libglib2.0-dev). There is nothing to build: this checks that they can be loaded.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
python3 -m py_compile stage/*.py [0-9]*/scenario.py
rm -rf stage/__pycache__ [0-9]*/__pycache__
