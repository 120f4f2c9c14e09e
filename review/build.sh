#!/bin/sh
# The stand-ins are Python 3.11 scripts without further packages, so there is nothing to
# build. This checks that they can run and that the program has been built.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
python3 -c 'import asyncio, sys, tomllib; sys.exit(sys.version_info < (3, 11))' || {
    echo "the stand-ins need Python 3.11 or newer" >&2
    exit 2
}
[ -x "$root/target/release/shelfhoist" ] || {
    echo "build the program first, with the command of deploy/service.toml" >&2
    exit 2
}
