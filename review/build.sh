#!/bin/sh
# The stand-ins are Python 3.11 scripts without further packages: there is nothing to build.
# This only checks that they can run.
exec python3 -c 'import asyncio, sys, tomllib; sys.exit(sys.version_info < (3, 11))'
