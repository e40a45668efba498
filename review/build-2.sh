#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. They are
# Python programs of the standard library alone; compiling them shows that they
# can be read by the interpreter at hand.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q -f stand_ins_2 4 5 6 7
