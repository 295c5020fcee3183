# The controller and a target are killed together. Repeatable work of that target must be run
# elsewhere, and work that must not be repeated must not be.
start 3 entries
start 3 targets
submit order times=6 repeatable=false : runMs=2000
submit check times=6 : runMs=2000
wait until starts 8
kill target 1
kill controller
expect order* honest
expect order* starts at-most-once
expect check* honest
expect no overcommit
