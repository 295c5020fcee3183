#!/usr/bin/env bash
# Functions that run a small cell on this machine, for the scripts that source this file: three
# entries, each with a replica and in a failure domain of its own, and stand-in targets. Everything
# that was started is ended, and its folder removed, when the script ends.
# Expects $build, the build folder.
tool="$build/guavavalve"
folder="$(mktemp -d)"
domains=(regina saskatoon brandon)

declare -A pids # of the processes that this script has started, by name

stop_all() {
    trap - EXIT INT TERM
    local name
    for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null; done
    for _ in $(seq 100); do
        local left=0
        for name in "${!pids[@]}"; do kill -0 "${pids[$name]}" 2>/dev/null && left=1; done
        [ "$left" -eq 0 ] && break
        sleep 0.1
    done
    for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$folder"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

fail() {
    echo "$(basename "$0" .sh): $*" >&2
    for log in "$folder"/*.log; do
        echo "--- the end of $(basename "$log")" >&2
        tail -n 5 "$log" >&2
    done
    exit 1
}

# Prints a port on which nobody listens, and which was not printed before.
port=$((10000 + RANDOM % 20000)) # below those that systems give to clients
free_port() {
    port=$((port + 1))
    while (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; do port=$((port + 1)); done
}

# Waits until a command succeeds, at most half a minute.
wait_until() {
    local what="$1"
    shift
    for _ in $(seq 300); do
        "$@" >/dev/null 2>&1 && return
        sleep 0.1
    done
    fail "waited in vain until $what"
}

start() {
    local name="$1"
    shift
    "$@" >"$folder/$name.log" 2>&1 &
    pids[$name]=$!
}

write_settings() {
    local i="$1"
    cat >"$folder/${domains[$i]}.json" <<JSON
{
  "instance": "entry-${domains[$i]}",
  "failureDomain": "${domains[$i]}",
  "cluster": {
    "id": "demo",
    "secretFile": "$folder/secret",
    "dataFolder": "$folder/${domains[$i]}",
    "replicas": ["${messengers[0]}", "${messengers[1]}", "${messengers[2]}"]
  },
  "callers": {"listen": "${entries[$i]}"},
  "messenger": {"listen": "${messengers[$i]}"}
}
JSON
}

start_entries() {
    local secret i
    secret="$(od -An -N24 -tx1 /dev/urandom | tr -d ' \n')"
    (umask 077 && printf '%s' "$secret" >"$folder/secret")
    cluster_key="cluster-secret:$secret"
    entries=() messengers=()
    for i in 0 1 2; do
        free_port; entries+=("127.0.0.1:$port")
        free_port; messengers+=("127.0.0.1:$port")
    done
    for i in 0 1 2; do
        write_settings "$i"
        mkdir "$folder/${domains[$i]}"
        start "entry-${domains[$i]}" "$build/guavavalved" "--settings=$folder/${domains[$i]}.json"
    done
    servers="${entries[0]},${entries[1]},${entries[2]}"
    for i in 0 1 2; do
        wait_until "entry ${domains[$i]} is up" curl -sf "http://${entries[$i]}/healthz"
    done
}

as_operator() { "$tool" "$@" "--server=$servers" "--key=$operator_key"; }

form_and_configure() {
    "$tool" form "entry-${domains[0]}=${messengers[0]}" "entry-${domains[1]}=${messengers[1]}" \
        "entry-${domains[2]}=${messengers[2]}" "--server=$servers" "--key=$cluster_key" \
        >"$folder/form.log" 2>&1 || fail "the group was not formed: $(cat "$folder/form.log")"
    wait_until "a controller leads" "$tool" keys list "--server=$servers" "--key=$cluster_key"
    operator_key="$("$tool" keys grant --role=operator --wait "--server=$servers" \
        "--key=$cluster_key")" || fail "no operator's key was granted"
    entries_are_ready
    local team
    echo '{"promptHeadroomPercent": 10}' >"$folder/cell.section"
    echo '{"description": "status checks of the mill floor", "share": 300}' >"$folder/floor.section"
    echo '{"description": "draw-schedule builds", "share": 100}' >"$folder/builds.section"
    as_operator config set cell "$folder/cell.section" || fail "the cell's section was refused"
    for team in floor builds; do
        as_operator config set "team.$team" "$folder/$team.section" || fail "team.$team was refused"
    done
    floor_key="$(as_operator keys grant --team=floor --wait)" || fail "no key for team floor"
    builds_key="$(as_operator keys grant --team=builds --wait)" || fail "no key for team builds"
}

start_targets() {
    local i
    for i in 0 1 2 3; do
        start "target-$i" "$build/standintarget" "--name=target-$i" "--entries=$servers" \
            "--failure_domain=${domains[$((i % 3))]}" "--rack=rack-$((i % 2))"
    done
    wait_until "four targets are ready" four_targets_ready
    wait_until "the configuration is in force everywhere" in_force_everywhere
    entries_are_ready
}

entries_are_ready() {
    local i
    for i in 0 1 2; do
        wait_until "entry ${domains[$i]} is ready" curl -sf "http://${entries[$i]}/readyz"
    done
}

four_targets_ready() { [ "$(as_operator targets list | grep -c ' ready ')" -eq 4 ]; }
in_force_everywhere() { as_operator config in-force | grep -q 'in force everywhere'; }
