# An entry is frozen with open requests for longer than any lease, and other entries take over its
# work. When it resumes, nothing may run a second time: it refuses requests truthfully until it has
# heard from the controller again, and serves from then on.
start 3 entries
start 3 targets
post order times=9 entry=1 repeatable=false : runMs=1500
wait until answered order*
freeze entry 1
wait until finished order*
thaw entry 1
submit waking entry=1 repeatable=false : runMs=20
expect waking honest
wait until ready 1
submit later entry=1 : runMs=20
expect later answer
expect order* starts once
expect no overcommit
