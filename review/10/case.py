"""A report of a worker that was held up by a cut arrives after the worker has begun to drain and the leader
has handed over. See claim.txt."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import rig

CUT_S = 5.5  # the largest cut of worker paths in the site's file
RETRANSMISSION_S = 0.7  # of a segment sent at the beginning of the cut: at about 6.2 s by TCP's backoff
LEAVING = 3  # of 20 workers: the default share of scale_in, 0.15
ROUNDS = 4  # until the core that takes over is not the one whose paths were cut
DRAIN_S = 12.0  # how long a leaving worker serves on
BUSY_TASKS = 34  # of 40 that there is room for, and of as many as there is room for without the leaving ones


class DrainCell(rig.Cell):
    def __init__(self, folder):
        super().__init__(folder, cores=5, edges=1, workers=20, capacity={"Cpu": 2000, "MemMb": 8192, "Gpus": 0})
        self.leaving = []

    def logs_heartbeats(self, worker):
        return worker in self.leaving

    async def load(self):
        """Jobs of four tasks of half a second, so that most of the room is in use."""
        while True:
            body = {"TaskSpec": "0.5",
                    "Steps": [{"TaskCount": 4, "Cpu": 1000, "MemMb": 256, "EstRuntimeMs": 500}]}
            self.keep(self.client(self.edges[0], "POST", self.job_id(), body))
            await asyncio.sleep(4 * 0.5 / BUSY_TASKS)


async def play_round(cell, number):
    """Returns the breaks; None if the leader's own paths were cut, so that it was not in touch."""
    leader = await cell.leader()
    followers = [core for core in cell.cores if core is not leader]
    cut_off = followers[number % len(followers)]
    others = [core.control for core in followers if core is not cut_off]
    cell.leaving = cell.workers[LEAVING * number:LEAVING * (number + 1)]
    paths = []
    for index, worker in enumerate(cell.leaving):
        paths.append(await cell.add_link(200 + LEAVING * number + index, cut_off.control))
        worker.nodes = [paths[-1].listen] + others[index:] + others[:index] + [leader.control]
        worker.node = 0
    await asyncio.sleep(3.5)  # two reports through these paths

    # A report of each worker is under way when its path to one core is cut.
    sequences = [worker.sequence for worker in cell.leaving]
    if rig.has_trouble():
        for link in paths:
            link.cut()
    cut_at = cell.record.now()
    cell.record.write("cut", paths=len(paths), to=cut_off.name)
    while rig.has_trouble() and any(worker.sequence == before for worker, before in zip(cell.leaving, sequences)):
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    for worker in cell.leaving:
        worker.state = "draining"
    cell.record.write("drain-begins", workers=",".join(worker.name for worker in cell.leaving))
    while any(worker.drain_acknowledged is None for worker in cell.leaving):
        await asyncio.sleep(0.01)

    in_touch = 0.0
    if rig.has_trouble():
        leader.signal(signal.SIGTERM)
        if not await leader.wait(rig.BOUNDS["GraceS"]):
            raise rig.CannotRun("the leader did not end within GraceS")
        leader.start()
        # From then on the core is stable; ContactMs later the others are in touch.
        in_touch = cell.record.now() + rig.BOUNDS["ContactMs"] / 1000
    await asyncio.sleep(max(0.0, cut_at + CUT_S + RETRANSMISSION_S - cell.record.now()))
    for link in paths:
        link.heal()
    cell.record.write("healed")
    await asyncio.sleep(max(0.0, cut_at + DRAIN_S - cell.record.now()))

    new_leader = await cell.leader()
    cell.record.write("leader", before=leader.name, now=new_leader.name)
    if rig.has_trouble() and new_leader in (leader, cut_off):
        return None
    breaks = []
    for worker in cell.leaving:
        after = worker.drain_acknowledged + rig.BOUNDS["DrainMs"] / 1000
        late = [one for one in worker.began_run if one[0] > max(after, in_touch)]
        excused = [one for one in worker.began_run if after < one[0] <= in_touch]
        cell.record.write("verdict", worker=worker.name, acknowledged=f"{worker.drain_acknowledged:.3f}",
                          in_touch=f"{in_touch:.3f}", late=len(late), excused=len(excused))
        if late:
            breaks.append(f"DRAIN: {len(late)} tasks were started on {worker.name}, the first one "
                          f"{late[0][0] - worker.drain_acknowledged:.2f} s after its draining was acknowledged")
    return breaks


async def play(cell):
    await cell.begin()
    cell.keep(cell.load())
    for number in range(ROUNDS):
        breaks = await play_round(cell, number)
        if breaks is not None:
            return breaks
        for worker in cell.leaving:  # replaced by new ones of the same kind
            worker.crash()
            worker.drain_acknowledged = None
            await worker.start()
    raise rig.CannotRun("each time the core whose paths were cut took over")


rig.main(DrainCell, play)
