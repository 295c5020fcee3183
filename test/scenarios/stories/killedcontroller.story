# Supervisors wait for their status checks when the controller is killed. Each gets its own whole
# answer or an honest refusal. Orders, which must not be repeated, run once at most; and what is
# asked afterwards is served.
start 3 entries
start 4 targets
submit before times=12 repeatable=false : runMs=1500
wait until starts 6
kill controller
submit after times=6 : runMs=20
expect before* honest
expect before* starts at-most-once
expect after* answer
expect no overcommit
