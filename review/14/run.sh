#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it
# plays the same without the disruption. Needs the build of the deploy file and review/build-3.sh.
TROUBLE=${TROUBLE:-1}
export TROUBLE
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/node ] && [ -x target/lab3 ] || exit 2
exec target/lab3 fresh "$folder"
