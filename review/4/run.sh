#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
programs=$here/../../target
driver=$programs/review/case-$(basename "$here")
for file in "$driver" "$programs"/oleanderhinge-{control,gateway}; do
    [ -x "$file" ] || { echo "missing: $file"; exit 2; }
done
temporary=$(mktemp -d) || exit 2
[ -n "${KEEP:-}" ] || trap 'rm -rf "$temporary"' EXIT
"$driver" "$programs" "$here" "$temporary" "${TROUBLE:-1}"
