# An entry is killed after it has sent an order to a target and before the answer arrives. The caller
# repeats the request through another entry with the same idempotency key and must get the answer of
# the first run: a second run would make the booking twice.
start 3 entries
start 2 targets
submit first entry=1 repeatable=false key=booking-1 : runMs=2000
wait until started first
kill entry 1
submit again entry=2 repeatable=false key=booking-1 : runMs=2000
wait until answered again
expect first starts once
