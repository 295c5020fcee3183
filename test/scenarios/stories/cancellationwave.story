# Many jobs are cancelled while the controller is killed. Every cancelled job must end, every other
# job must be answered, and no slot may stay occupied.
start 3 entries
start 2 targets
post batch times=30 class=batch : runMs=1500
wait until answered batch*
submit keep times=4 : runMs=50
kill controller
cancel batch1*
cancel batch2*
wait until finished batch*
expect keep* honest
submit later times=6 : runMs=20
expect later* answer
expect no overcommit
