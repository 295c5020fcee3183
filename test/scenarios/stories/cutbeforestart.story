# The entries cannot reach a target when an order is sent to it, but its announcements still arrive.
# The task may wait or move elsewhere only after the target has promised never to start it; it runs
# at most once.
start 3 entries
start 1 targets
cut target 1
submit order times=4 repeatable=false : runMs=20
heal target 1
expect order* honest
expect order* starts at-most-once
submit later times=3 : runMs=20
expect later* answer
