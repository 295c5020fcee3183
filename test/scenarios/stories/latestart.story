# The start request of an order is delayed in a connection for so long that the entry queries the
# target through new connections. The target does not know the order, so it is released and started
# anew. When the old request finally arrives, it must have no effect, because the target has
# promised never to run that attempt; otherwise two shipments would leave.
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
