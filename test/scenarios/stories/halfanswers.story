# A target sends half of each answer, and another sends each twice over. No caller may be handed
# such bytes as its answer; once the targets are mended, all is whole.
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
