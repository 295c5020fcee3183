# An entry is killed after the placement of its order was committed and before any byte could reach
# the target. Another entry takes over and has the target refuse the first attempt permanently; the
# order must run exactly once.
start 3 entries
start 1 targets
cut target 1
post order entry=1 repeatable=false : runMs=20
wait until answered order
kill entry 1
heal target 1
wait until finished order
expect order starts once
