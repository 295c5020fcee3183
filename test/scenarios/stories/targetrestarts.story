# A target is killed while it runs orders, and a new process takes its place. Nobody can know how far
# the orders got: they must not be run again, and no caller may be told that they did not run.
start 3 entries
start 1 targets
submit order times=4 repeatable=false : runMs=60000
wait until started order*
kill target 1
restart target 1
expect order* ran unknown
expect order* starts once
submit later times=3 : runMs=20
expect later* answer
