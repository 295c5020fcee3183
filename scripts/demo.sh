#!/usr/bin/env bash
# Runs a small cell on this machine and serves real requests through it: three entries, each with
# a replica and in a failure domain of its own, and four stand-in targets. At the end the
# controller is killed and the cell serves on. Usage: demo.sh BUILD_FOLDER
set -u
cd "$(dirname "$0")/.." || exit
build="${1:-build}"
served=0
asked=0
source scripts/cell.sh

# send ENTRY KEY PATH [CURL ARGUMENTS]: leaves status, headers and body in files.
send() {
    local entry="$1" key="$2" path="$3"
    shift 3
    status="$(curl -s -m 30 -o "$folder/body" -D "$folder/headers" -w '%{http_code}' \
        -H "Authorization: Bearer $key" "$@" "http://$entry$path")"
}
header() { sed -n "s/^$1: *//Ip" "$folder/headers" | tr -d '\r'; }
field() { grep -oE "\"$1\":\"?[^\",}]*" "$folder/body" | head -1 | sed -E 's/^[^:]*:"?//'; }

# outcome WHAT EXPECTED FOUND [REMARK]: prints a request's outcome and counts it.
outcome() {
    asked=$((asked + 1))
    local mark=wrong
    if [ "$2" = "$3" ]; then
        served=$((served + 1))
        mark=ok
    fi
    printf '%-34s %-26s %s %s\n' "$1" "$3" "${4:-}" "$mark"
}

prompt_request() {
    local what="$1" entry="$2"
    send "$entry" "$floor_key" '/v1/jobs?wait=true' -H 'Guavavalve-Class: prompt' \
        -H 'Guavavalve-Start-Within-Ms: 10000' --data-binary 'how far is coil line 7?'
    local found="$status"
    if [ "$status" != 200 ]; then
        found="$status $(field error)"
    elif [ "$(header content-length)" != "$(stat -c %s "$folder/body")" ]; then
        found="200, cut short"
    fi
    outcome "$what" 200 "$found" "waited $(header guavavalve-waited-ms) ms"
}

batch_request() {
    local what="$1" entry="$2" job
    send "$entry" "$builds_key" /v1/jobs -H 'Guavavalve-Class: batch' --data-binary 'schedule'
    job="$(field job)"
    send "$entry" "$builds_key" "/v1/jobs/$job?wait=true"
    outcome "$what" "200 succeeded" "$status $(field state)" "waited $(field waitedMs) ms"
}

gang_request() {
    local entry="$1"
    send "$entry" "$builds_key" '/v1/jobs?wait=true' -H 'Guavavalve-Class: gang' \
        -H 'Guavavalve-Tasks: 3' --data-binary 'three at once'
    local done_tasks
    done_tasks="$(grep -o '"state":"succeeded"' "$folder/body" | wc -l)"
    outcome "all at once, three tasks" "200 with 3 succeeded" "$status with $done_tasks succeeded" \
        "waited $(field waitedMs) ms"
}

refused_requests() {
    local entry="$1"
    send "$entry" "key-none:wrong" '/v1/jobs?wait=true' --data-binary 'x'
    outcome "with a wrong key" "401 ran no" "$status ran $(field ran)"
    send "$entry" "$builds_key" '/v1/jobs?wait=true' -H 'Guavavalve-Class: batch' \
        -H 'Guavavalve-Need: slots=1000' --data-binary 'x'
    outcome "larger than any target" "422 never-fits ran no" "$status $(field error) ran $(field ran)"
}

kill_the_controller() {
    local leader i
    leader="$(as_operator replicas status | sed -n 's/^leader \([^,]*\),.*/\1/p')"
    [ -n "${pids[$leader]:-}" ] || fail "nobody knows who leads"
    echo "killing the controller, $leader, with SIGKILL"
    kill -KILL "${pids[$leader]}"
    wait "${pids[$leader]}" 2>/dev/null
    unset "pids[$leader]"
    for i in 0 1 2; do
        [ "entry-${domains[$i]}" = "$leader" ] || survivor="${entries[$i]}"
    done
    wait_until "another controller leads" as_operator status
    wait_until "an entry that is left is ready" curl -sf "http://$survivor/readyz"
}

start_entries
form_and_configure
start_targets
prompt_request "prompt, answered whole" "${entries[0]}"
batch_request "batch" "${entries[1]}"
gang_request "${entries[2]}"
refused_requests "${entries[0]}"
kill_the_controller
prompt_request "prompt, under the new controller" "$survivor"
batch_request "batch, under the new controller" "$survivor"

echo "demo: served $served of $asked"
[ "$served" -eq "$asked" ] || fail "some outcomes were not as they should be"
