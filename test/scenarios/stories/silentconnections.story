# Something between the entries and the targets loses track of every open connection, while new
# ones work. The starts did arrive. Every caller still gets its answer, and nothing is started
# twice.
start 3 entries
start 3 targets
submit warm times=9 : runMs=20
expect warm* answer
submit order times=9 repeatable=false : runMs=1500
wait until started order*
silence all targets
expect order* answer
expect order* starts once
