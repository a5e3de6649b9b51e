#!/usr/bin/env bash
# Plays the case, and writes record.txt beside this file. With TROUBLE=0 it does the same without the
# disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin2 ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
	export TROUBLE=0
else
	export TROUBLE=1
fi
exec review/bin/standin2 replaced-core review/6
