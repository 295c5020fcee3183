# The controller is killed while callers wait for answers. Each caller must get its own complete
# answer or a truthful refusal. Work that must not be repeated runs at most once, and later requests
# are served.
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
