# Every entry in turn is asked to end while its callers wait, and started again. No request is cut
# off: each one that was taken is answered whole.
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
