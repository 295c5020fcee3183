#!/usr/bin/env bash
# Measures what a cell of three instances costs: processor time, bytes between instances and memory
# of each, with 0, 16 and 48 stand-in targets that announce themselves every 300 ms and hold no
# work, and then with prompt requests. Usage: benchcell.sh BUILD_FOLDER. QUICK=1 shortens it.
set -u
cd "$(dirname "$0")/.." || exit
build="${1:-build}"
length=20
[ "${QUICK:-0}" = 1 ] && length=5
source scripts/cell.sh

# value ENTRY METRIC: a metric without labels.
value() { curl -s "http://$1/metrics" | awk -v name="$2" '$1 == name {print $2}'; }

sample() {
    local i
    for i in 0 1 2; do
        before_cpu[i]="$(value "${entries[$i]}" guavavalve_control_cpu_seconds_total)"
        before_sent[i]="$(value "${entries[$i]}" guavavalve_control_sent_bytes_total)"
        before_received[i]="$(value "${entries[$i]}" guavavalve_control_received_bytes_total)"
    done
    sleep "$length"
    for i in 0 1 2; do
        awk -v what="$1" -v name="${domains[$i]}" -v leader="$leader" -v length_s="$length" \
            -v c0="${before_cpu[$i]}" -v s0="${before_sent[$i]}" -v r0="${before_received[$i]}" \
            -v c1="$(value "${entries[$i]}" guavavalve_control_cpu_seconds_total)" \
            -v s1="$(value "${entries[$i]}" guavavalve_control_sent_bytes_total)" \
            -v r1="$(value "${entries[$i]}" guavavalve_control_received_bytes_total)" \
            -v memory="$(value "${entries[$i]}" guavavalve_control_memory_bytes)" 'BEGIN {
                role = ("entry-" name == leader) ? "controller" : "follower"
                printf "%-22s %-10s  %6.2f%% of a core  sent %7.0f B/s  received %7.0f B/s  %6.1f MB\n",
                    what, role, 100 * (c1 - c0) / length_s, (s1 - s0) / length_s,
                    (r1 - r0) / length_s, memory / 1e6 }'
    done
}

started=0
more_targets() {
    while [ "$started" -lt "$1" ]; do
        start "target-$started" "$build/standintarget" "--name=target-$started" \
            "--entries=$servers" "--failure_domain=${domains[$((started % 3))]}" \
            "--rack=rack-$((started / 8))"
        started=$((started + 1))
    done
}
all_ready() { [ "$(as_operator targets list | grep -c ' ready ')" -eq "$started" ]; }

start_entries
form_and_configure
leader="$(as_operator replicas status | sed -n 's/^leader \([^,]*\),.*/\1/p')"
echo "machine: $(nproc) cores, load $(cut -d' ' -f1 /proc/loadavg), $length s a phase"
sample "0 targets"
more_targets 16
wait_until "16 targets are ready" all_ready
sample "16 targets"
more_targets 48
wait_until "48 targets are ready" all_ready
sample "48 targets"

# Load of the path's bench, while the instances are sampled.
with_requests() {
    "$build/pathbench" "--entries=$servers" "--target=127.0.0.1:1" --incarnation=1 \
        "--key=$floor_key" "--length_ms=$(((length + 2) * 1000))" "--rate=$1" \
        --only=open-all-entries >"$folder/load.log" 2>&1 &
    pids[load]=$!
    sleep 1
    sample "48 targets, $1 starts/s"
    wait "${pids[load]}"
    unset "pids[load]"
    cat "$folder/load.log"
}
with_requests 100
with_requests 200
