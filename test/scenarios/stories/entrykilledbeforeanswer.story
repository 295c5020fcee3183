# An entry is killed after it has sent a confirmation and before the answer. The caller sends the
# request again through another entry, with the same key. It must get the answer of the first
# run: a second run would book the tasting bench twice.
start 3 entries
start 2 targets
submit first entry=1 repeatable=false key=booking-1 : runMs=2000
wait until started first
kill entry 1
submit again entry=2 repeatable=false key=booking-1 : runMs=2000
wait until answered again
expect first starts once
