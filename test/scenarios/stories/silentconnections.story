# A middlebox between the entries and the targets drops the state of every open connection, while new
# connections work. The start requests have arrived. Every caller must still get its answer, and
# nothing may be started twice.
start 3 entries
start 3 targets
submit warm times=9 : runMs=20
expect warm* answer
submit order times=9 repeatable=false : runMs=1500
wait until started order*
silence all targets
expect order* answer
expect order* starts once
