#!/bin/sh
# Case 6, see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
for program in mosslead-sidecar review-standin2; do
	if [ ! -x "$root/bin/$program" ]; then
		echo "bin/$program is missing: run the build of deploy/balancer.toml and review/build-2.sh" >&2
		exit 2
	fi
done
exec "$root/bin/review-standin2" 6 "$root" "$here" "${TROUBLE:-1}"
