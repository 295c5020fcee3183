# The controller is frozen while callers wait, and another replica takes over. When the old controller
# resumes, its decisions must have no effect: no order runs twice and no target is overcommitted.
start 3 entries
start 3 targets
submit order times=9 repeatable=false : runMs=1500
wait until started order*
freeze controller
submit meanwhile times=6 repeatable=false : runMs=20
expect meanwhile* answer
thaw all
expect order* honest
expect order* starts once
expect meanwhile* starts once
submit later times=6 : runMs=20
expect later* answer
expect no overcommit
