# The start of an order hangs in a connection for so long that the entry asks again through new
# ones. The target does not know the order, so it goes free and is started anew. Then the old
# start arrives after all. The target has promised never to run it, or two shipments would leave.
start 3 entries
start 1 targets
hold target 1
submit order repeatable=false entry=1 : runMs=20
wait until seconds 1
heal target 1
expect order answer
release target 1
submit later times=3 : runMs=20
expect later* answer
wait until seconds 1
expect order starts once
