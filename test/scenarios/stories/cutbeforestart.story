# A target cannot be reached from the entries when a confirmation is sent to it, but its
# announcements go out. The task waits or goes elsewhere only once the target has promised never
# to start it; it runs once at most.
start 3 entries
start 1 targets
cut target 1
submit order times=4 repeatable=false : runMs=20
heal target 1
expect order* honest
expect order* starts at-most-once
submit later times=3 : runMs=20
expect later* answer
