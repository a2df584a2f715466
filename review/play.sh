#!/bin/sh
# play.sh FOLDER CASE: plays a case, and ends what it may have left running. The record is
# written to record.txt in FOLDER.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/review-standin ] || [ ! -x target/release/bamboodoor-platform ]; then
    echo "could not run: build first (deploy/system.toml, review/build.sh)" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
end_all() {
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            grep -q bamboodoor-platform "/proc/$pid/cmdline" 2>/dev/null && kill -KILL "$pid"
        done < "$folder/pids"
    fi
    rm -rf "$folder"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
target/review-standin "$2" "$folder" "$1/record.txt"
status=$?
[ -n "$KEEP_LOGS" ] && cp "$folder"/*.log "$KEEP_LOGS"/
[ "$status" -le 2 ] || status=2
exit "$status"
