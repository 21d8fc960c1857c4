"""Starts that were left unanswered reach an executor after it has started again."""
import asyncio
import collections
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from platform2 import SILENCE, Cell, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXECUTORS = 6
TRAFFIC_S, EVERY_S, WORK_MS = 24.0, 0.07, (500, 500, 500, 3000)
LATE_AT_S, LATE_FOR_S, LATE_SHARE, LATE_S = 8.0, 5.5, 0.5, (2.0, 12.0)
CUT_AT_S, CUT_FOR_S, DOWN_S = 13.0, 5.5, 0.3
SETTLE_S = 20.0
STEPS = [{"count": 1, "cpu": 2500, "memMb": 256, "estimateMs": 500}]


class Trouble:
    def __init__(self, cell):
        self.cell, self.began = cell, now()
        self.cut = None  # The executor that is cut off.
        self.late = 0
        self.late_orders = set()
        self.pending = collections.Counter()  # Late starts by executor.

    def elapsed(self):
        return now() - self.began

    async def on_order(self, executor, path, order):
        if executor is self.cut:
            return SILENCE
        within = LATE_AT_S <= self.elapsed() < LATE_AT_S + LATE_FOR_S
        if path == "/run-start" and within and random.random() < LATE_SHARE:
            task = asyncio.create_task(self.carry_out(executor, path, order))
            self.late_orders.add(task)
            self.pending[executor.name] += 1
            self.cell.record.add(f"executor {executor.name}: start of {order['task']} "
                                 f"run {order['run']} is left unanswered")
            return SILENCE
        return None

    async def carry_out(self, executor, path, order):
        await asyncio.sleep(random.uniform(*LATE_S))
        self.pending[executor.name] -= 1
        if executor.up:
            self.late += 1
            answer = await executor.do(path, order)
            self.cell.record.add(
                f"executor {executor.name}: late start of {order['task']} run "
                f"{order['run']} is carried out, born {executor.born}: {answer}")

    async def cut_one(self):
        await asyncio.sleep(CUT_AT_S)
        executor = max(self.cell.executors, key=lambda e: self.pending[e.name])
        self.cell.record.say(f"executor {executor.name} is cut off and starts again")
        self.cut = executor
        executor.silent_store = True
        await executor.crash()
        await asyncio.sleep(DOWN_S)
        await executor.boot()
        await asyncio.sleep(CUT_FOR_S - DOWN_S)
        self.cut, executor.silent_store = None, False
        self.cell.record.say(f"executor {executor.name} is reached again")


def is_noted(executor, task, number, born, ended):
    """An end is taken note of when lastSeen reaches it, unless the executor's lease
    lapsed between the two."""
    noted = executor.noted.get((task, number, born))
    return noted is not None and not any(
        ended <= lapse <= noted for lapse in executor.lapses)


def broken_rules(cell):
    """TWICE: two runs of a task at once, or a start after an end as done that is
    taken note of, then or later."""
    broken = []
    runs = {}
    for row in cell.history():
        runs.setdefault(row[0], []).append(row)
    for task, rows in runs.items():
        for i, (_, number, began, ended, how, executor, born) in enumerate(rows):
            for _, later, began_later, _, _, where, _ in rows[i + 1:]:
                start = f"TWICE {task}: run {later} on {where.name} begins at " \
                        f"{began_later:.3f}"
                if ended is None or began_later < ended:
                    broken.append(f"{start}, beside run {number} on {executor.name} of "
                                  f"{began:.3f}")
                elif how == "done" and is_noted(executor, task, number, born, ended):
                    broken.append(f"{start}, run {number} on {executor.name} had ended "
                                  f"done at {ended:.3f}, which is taken note of")
    return broken


async def play(cell):
    await cell.start()
    trouble = Trouble(cell)
    cut = None
    if TROUBLE:
        for executor in cell.executors:
            executor.on_order = (
                lambda path, order, executor=executor:
                trouble.on_order(executor, path, order))
        cut = asyncio.create_task(trouble.cut_one())
    tasks = []
    end = now() + TRAFFIC_S
    while now() < end:
        tasks.append(asyncio.create_task(cell.submit(STEPS, random.choice(WORK_MS))))
        await asyncio.sleep(EVERY_S)
    await asyncio.gather(*tasks)
    if cut:
        await cut
    await asyncio.sleep(SETTLE_S)
    broken = broken_rules(cell)
    for line in broken:
        cell.record.say(line)
    cell.record.say(f"{len(cell.accepted())} of {len(cell.submissions)} submissions "
                    f"accepted, {trouble.late} starts carried out late, rule broken "
                    f"{len(broken)} times; TROUBLE={int(TROUBLE)}")
    return 1 if broken else 0


async def main():
    random.seed()
    cell = Cell(HERE, executors=EXECUTORS)
    try:
        return await play(cell)
    except RuntimeError as error:
        cell.record.say(f"could not run: {error}")
        return 2
    finally:
        await cell.stop()


sys.exit(asyncio.run(main()))
