# One target sends only half of each answer, the other sends each answer twice. No caller may get such
# bytes as its answer; once the targets behave again, every answer must be complete.
start 3 entries
start 2 targets
control target 1 : {"half": true}
control target 2 : {"twice": true}
submit broken times=6 repeatable=false : runMs=20
wait until answered broken*
expect broken* honest
expect broken* starts at-most-once
control target 1 : {"half": false}
control target 2 : {"twice": false}
submit whole times=6 : runMs=20
expect whole* answer
