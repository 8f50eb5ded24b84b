#!/usr/bin/env bash
# Checks two borders of the source tree. Includes go down only: a file may include from its own folder and from folders
# that stand on an earlier line of the block "layers" in docs/design.md. And the platform's words stay in platform/: no
# name with an underscore that platform/ writes or reads on the wire stands in quotes elsewhere, and platform/ itself has
# no clock, timer, random number, socket or thread, which decisions would need.
# usage: check-layers.sh [ROOT]
set -euo pipefail
cd "${1:-$(dirname "$0")/..}"
status=0

layers=$(sed -n '/^```layers$/,/^```$/p' docs/design.md | grep -v '^```')
[ -n "$layers" ] || { echo "docs/design.md has no block \"layers\""; exit 1; }
mapfile -t files < <(find celeryswitch platform Program -name '*.h' -o -name '*.cpp' | sort)
if ! awk -v layers="$layers" '
    BEGIN {
        count = split(layers, lines, "\n")
        for (line = 1; line <= count; line++) {
            words = split(lines[line], folders, " ")
            for (word = 1; word <= words; word++)
                layer[folders[word]] = line
        }
    }
    function folderOf(path,    parts) {
        split(path, parts, "/")
        return parts[1] == "celeryswitch" ? parts[2] : parts[1]
    }
    FNR == 1 {
        own = folderOf(FILENAME)
        if (!(own in layer)) { print FILENAME ": folder " own " is on no layer"; bad = 1 }
    }
    match($0, /^#include "[^"]+\//) {
        path = substr($0, RSTART + 10, RLENGTH - 10)
        other = folderOf(path)
        if (other != own && (!(other in layer) || layer[other] >= layer[own])) {
            print FILENAME ":" FNR ": " own " may not include from " other
            bad = 1
        }
    }
    END { exit bad }' "${files[@]}"; then
    status=1
fi

words=$(grep -hoE '"[a-z]+(_[a-z]+)+"' platform/*.cpp platform/*.h | sort -u)
if grep -rnF -f <(printf '%s\n' "$words") celeryswitch Program --include='*.h' --include='*.cpp'; then
    echo "the lines above name words of the platform outside platform/"
    status=1
fi
if grep -nE 'steady_clock|system_clock|steadyNow|wallNow|io_context|steady_timer|std::thread|std::random|pcg' \
    platform/*.cpp platform/*.h; then
    echo "the lines above decide something inside platform/"
    status=1
fi
[ "$status" -ne 0 ] || echo "layers: ${#files[@]} files keep the borders"
exit $status
