"""A version of the configuration removes a route and adds another one at the same host and prefix. See claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import rig

WORK_S = 6.0
STEPS = 2
JOBS = 4
WATCHED_S = 25.0


class RouteCell(rig.Cell):
    def __init__(self, folder):
        super().__init__(folder, cores=5, edges=2, workers=8)


async def play(cell):
    await cell.begin()
    edge, other = cell.edges
    task = {"TaskCount": 1, "Cpu": 1000, "MemMb": 256, "EstRuntimeMs": int(WORK_S * 1000)}
    body = {"TaskSpec": str(WORK_S), "Steps": [task] + [{**task, "DependsOn": [step]} for step in range(STEPS - 1)]}
    accepted = {}
    for _ in range(JOBS):
        job = cell.job_id()
        status, _ = await cell.client(edge, "POST", job, body)
        if status != 200:
            raise rig.CannotRun(f"a job was answered with {status}")
        accepted[job] = cell.record.now()
    await asyncio.sleep(2.0)

    changed = cell.configuration()
    if rig.has_trouble():
        changed["Routes"][0]["Name"] = "r-b"  # r-a is removed; r-b has its host, prefix and service
    await cell.operate("PUT", "/config", changed)
    in_force = cell.record.now() + rig.BOUNDS["ConfigApplyMs"] / 1000
    until = cell.record.now() + WATCHED_S
    gone = {}
    states = {}
    while cell.record.now() < until:
        for job in accepted:
            asked = cell.record.now()
            status, states[job] = await cell.client(other, "GET", job)
            counts = asked > max(accepted[job] + rig.BOUNDS["visible_ms"] / 1000, in_force)
            if status == 410 and counts:
                gone.setdefault(job, asked)
        await asyncio.sleep(1.0)
    breaks = []
    for job in accepted:
        begun = {one[1] for worker in cell.workers for one in worker.began_run if one[1].startswith(job)}
        cell.record.write("verdict", job=job, gone=f"{gone[job]:.3f}" if job in gone else "-", begun=len(begun),
                          tasks=STEPS, state=states.get(job))
        if job in gone:
            breaks.append(f"LOST: GET for the accepted job {job} is answered 410; {len(begun)} of its {STEPS} tasks "
                          "were ever started")
    return breaks


rig.main(RouteCell, play)
