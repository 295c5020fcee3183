# Every entry in turn is terminated while its callers wait, and restarted. No accepted request may be
# aborted: each one is answered completely.
start 3 entries
start 4 targets
submit one times=6 entry=1 : runMs=800
wait until started one*
terminate entry 1
expect one* answer
restart entry 1
wait until controller any
submit two times=6 entry=2 : runMs=800
wait until started two*
terminate entry 2
expect two* answer
restart entry 2
wait until controller any
submit three times=6 entry=3 : runMs=800
wait until started three*
terminate entry 3
expect three* answer
expect no overcommit
