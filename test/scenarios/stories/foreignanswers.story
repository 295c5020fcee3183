# One target replies in the name of another attempt, the other replies late and out of order. Each
# caller must get the answer to its own request or a truthful failure.
start 3 entries
start 2 targets
control target 1 : {"wrongAttempt": true}
control target 2 : {"outOfOrder": true, "lateMs": 60}
submit check times=10 repeatable=false : runMs=20
expect check* honest
expect check* starts at-most-once
