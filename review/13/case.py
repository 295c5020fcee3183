"""A request to start a job reaches a frozen entry; the client gives up and cancels the job elsewhere, which is
acknowledged. See claim.txt."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import rig

FREEZE_S = 4.0  # the length of node_freeze in the site's file
GIVE_UP_S = 0.5  # half of the objective of 1 s that the longest class of the site has
JOBS = 3


class FreezeCell(rig.Cell):
    def __init__(self, folder):
        super().__init__(folder, cores=5, edges=4, workers=8)


async def hand_in_and_cancel(cell, frozen, sound, job):
    """A client that hands a job in, leaves before its deadline and cancels until that is acknowledged."""
    body = {"TaskSpec": "1.0", "Steps": [{"TaskCount": 1, "Cpu": 1000, "MemMb": 256, "EstRuntimeMs": 1000}]}
    status, _ = await cell.client(frozen, "POST", job, body, timeout=GIVE_UP_S)
    until = cell.record.now() + 10.0
    while cell.record.now() < until:
        answer, _ = await cell.client(sound, "DELETE", job)
        if answer is not None and (200 <= answer < 300 or answer == 410):
            return status, cell.record.now()
        await asyncio.sleep(0.2)
    raise rig.CannotRun("the cancelling was not acknowledged")


async def play(cell):
    await cell.begin()
    frozen, sound = cell.edges[0], cell.edges[1]
    warm, _ = await cell.client(frozen, "POST", cell.job_id(),
                                {"TaskSpec": "0.2", "Steps": [{"TaskCount": 1, "Cpu": 1000, "MemMb": 256,
                                                               "EstRuntimeMs": 200}]})
    if warm != 200:
        raise rig.CannotRun(f"the first job was answered with {warm}")
    await asyncio.sleep(1.0)

    async def freeze():
        frozen.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        frozen.signal(signal.SIGCONT)

    freezing = cell.keep(freeze()) if rig.has_trouble() else None
    jobs = [cell.job_id() for _ in range(JOBS)]
    cancelled = dict(zip(jobs, await asyncio.gather(
        *(hand_in_and_cancel(cell, frozen, sound, job) for job in jobs))))
    if freezing:
        await freezing
    await asyncio.sleep(6.0)
    breaks = []
    for job, (status, at) in cancelled.items():
        after = at + rig.BOUNDS["cancel_ms"] / 1000
        begun = [one for worker in cell.workers for one in worker.began_run if one[1].startswith(job)]
        late = [one for one in begun if one[0] > after]
        _, state = await cell.client(sound, "GET", job)
        cell.record.write("verdict", job=job, handed_in=status, cancelled=f"{at:.3f}",
                          begun=",".join(f"{one[0]:.3f}" for one in begun) or "-", state=state)
        if late:
            breaks.append(f"UNASKED: a task of job {job} was started {late[0][0] - at:.2f} s after its cancelling "
                          f"was acknowledged; the job is shown as {state}")
    return breaks


rig.main(FreezeCell, play)
