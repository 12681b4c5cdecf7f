#!/bin/sh
# Plays the case against one sidecar that the deploy file's command starts, after the build of the deploy file and review/build.sh.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
if [ ! -x "$root/review/bin/stall" ] || [ ! -x "$root/bin/mosslead-sidecar" ]; then
	echo "not built: run the build of the deploy file and review/build.sh" >&2
	exit 2
fi
exec "$root/review/bin/stall" "$root" "$here"
