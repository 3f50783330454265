#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
echo "review/$(basename "$PWD"), TROUBLE=${TROUBLE:-1}; seconds since the start" >record.txt || exit 2
# The case ends its sender itself, also on SIGTERM, which is passed on.
PYTHONDONTWRITEBYTECODE=1 timeout --preserve-status -s TERM 100 python3 case.py &
case=$!
trap 'kill -TERM $case 2>/dev/null' TERM INT
wait $case
result=$?
# A trapped signal ends the first wait early.
while kill -0 $case 2>/dev/null; do wait $case; result=$?; done
# Python itself also exits with 1, for example without its standard library: only the case's own verdict counts.
[ $result -ne 1 ] || grep -q "the rule was broken" record.txt || result=2
[ $result -ne 0 ] || grep -q "the rule held" record.txt || result=2
[ $result -le 1 ] || result=2
echo "exit code $result" >>record.txt
exit $result
