# A wave of cancellations comes in while the controller is killed. Everything that was cancelled
# ends, what was not cancelled is answered, and no slot is left taken.
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
