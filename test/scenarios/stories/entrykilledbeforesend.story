# An entry is killed after its order's placement was committed and before a byte of it could reach
# the target. Another entry takes over, has the target refuse the first attempt for ever, and the
# order runs: exactly once.
start 3 entries
start 1 targets
cut target 1
post order entry=1 repeatable=false : runMs=20
wait until answered order
kill entry 1
heal target 1
wait until finished order
expect order starts once
