"""An operator's withdrawal of an evacuation is held up at a frozen core, and is carried out after a later
evacuation has been acknowledged. See claim.txt."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import rig

FREEZE_S = 4.0
EVACUATE_S = 5.0  # EvacuateMs of the deployment that has evacuations
CONTACT_S = 4.0  # its ContactMs
ZONE = rig.ZONES[0]
BUSY_TASKS = 34  # of 40 that there is room for


class EvacuationCell(rig.Cell):
    def __init__(self, folder):
        super().__init__(folder, cores=5, edges=1, workers=20, capacity={"Cpu": 2000, "MemMb": 8192, "Gpus": 0})

    async def load(self):
        while True:
            body = {"TaskSpec": "0.5",
                    "Steps": [{"TaskCount": 4, "Cpu": 1000, "MemMb": 256, "EstRuntimeMs": 500}]}
            self.keep(self.client(self.edges[0], "POST", self.job_id(), body))
            await asyncio.sleep(4 * 0.5 / BUSY_TASKS)


async def play(cell):
    await cell.begin()
    cell.keep(cell.load())
    await asyncio.sleep(2.0)
    path = "/evacuation/" + ZONE
    await cell.operate("POST", path)
    await asyncio.sleep(1.0)

    # The zone is taken back: the first core that the operator calls is frozen, the next one acknowledges.
    leader = await cell.leader()
    followers = [core for core in cell.cores if core is not leader]
    frozen = followers[0]
    frozen_at = cell.record.now()
    if rig.has_trouble():
        frozen.signal(signal.SIGSTOP)
    await cell.operate("DELETE", path, first=frozen)
    await asyncio.sleep(0.3)
    # It is evacuated again; the operator goes on with the core that has acknowledged last.
    await cell.operate("POST", path, first=followers[1])
    evacuated_at = cell.record.now()
    cell.record.write("evacuation-acknowledged", zone=ZONE)
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - cell.record.now()))
    if rig.has_trouble():
        frozen.signal(signal.SIGCONT)
    thawed_at = cell.record.now()
    # From then on the bound counts, and the core has been stable for ContactMs.
    counted_from = max(evacuated_at + EVACUATE_S, thawed_at + CONTACT_S)
    await asyncio.sleep(counted_from + 5.0 - cell.record.now())

    late = [(one[0], worker.name) for worker in cell.workers if worker.zone == ZONE
            for one in worker.began_run if one[0] > counted_from]
    cell.record.write("verdict", zone=ZONE, evacuated=f"{evacuated_at:.3f}", counted_from=f"{counted_from:.3f}",
                      late=len(late))
    if late:
        return [f"EVAC: {len(late)} tasks were started in {ZONE}, the first of those that count "
                f"{min(late)[0] - evacuated_at:.2f} s after its evacuation was acknowledged"]
    return []


rig.main(EvacuationCell, play)
