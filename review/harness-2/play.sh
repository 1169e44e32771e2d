#!/usr/bin/env bash
# Plays a case: play.sh CASE FOLDER. It ends all processes that it started, and removes its temporary folder.
# The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
case=$1
folder=$(cd "$2" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
harness=$root/target/review-2/harness
if [ ! -x "$harness" ] || [ ! -x "$root/target/lean/toucanturn-gatewayd" ]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
scratch=$(mktemp -d) || exit 2
end() {
    trap - EXIT INT TERM
    if [ -n "${pid:-}" ]; then
        kill "$pid" 2>/dev/null
    fi
    if [ -f "$scratch/processes" ]; then
        while read -r process; do
            # The ID may be that of another program by now.
            if [ "$(readlink "/proc/$process/exe")" = "$root/target/lean/toucanturn-gatewayd" ]; then
                kill -KILL "$process" 2>/dev/null
            fi
        done <"$scratch/processes"
    fi
    rm -rf "$scratch"
    exit "${1:-2}"
}
trap end EXIT INT TERM
"$harness" "$case" "$root" "$folder" "$scratch" &
pid=$!
wait "$pid"
code=$?
pid=
end "$code"
