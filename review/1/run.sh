#!/bin/sh
# Runs case 1 once: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption. What was sent, answered and run goes to
# record.txt beside this script.
cd "$(dirname "$0")" || exit 2
sh ../build.sh || exit 2
# Whoever ends this script ends what it started.
script=
trap '[ -z "$script" ] || { kill "$script"; wait "$script"; } 2>/dev/null; exit 2' HUP INT TERM
python3 case.py &
script=$!
wait "$script"
case $? in
0) exit 0 ;;
3) exit 1 ;;
*) exit 2 ;;
esac
