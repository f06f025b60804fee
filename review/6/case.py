"""The agent beside rank 1 is killed and started again, now and then, while maps are changed.

VARIANT of run.sh: "kill" (the default); "freeze": the agent beside rank 0 stands still for 2 s;
"silence": the channels that are open to the agent beside rank 1 go silent, while new ones work."""

import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import groupstandin2 as g  # noqa: E402
import standins2 as s  # noqa: E402

RANKS = 24
SECONDS = 90
SHIFT_S = 3.0
SHIFT_SHARE = 0.77
RESTART_S = 0.3
FREEZE_S = 2.0


# An agent has 120 ms to answer a poll. When the machine is busy with other work, agents are late by
# themselves, and the case says nothing about its disruption.
LATE_S = 0.08


class Lateness:
    """Measures how late this process gets the processor; the agents are no better off."""

    def __init__(self):
        self.last_late_at = -1e9
        self.worst = 0.0

    async def watch(self):
        while True:
            due = time.monotonic() + 0.01
            await asyncio.sleep(0.01)
            late = time.monotonic() - due
            self.worst = max(self.worst, late)
            if late > LATE_S:
                self.last_late_at = time.monotonic()


async def kill(record, agents, proxy):
    agents[1].send(signal.SIGKILL)
    agents[1].process.wait()
    await asyncio.sleep(RESTART_S)
    agents[1].start()
    record.add("the agent beside rank 1 was killed and is started again")


async def freeze(record, agents, proxy):
    agents[0].send(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    agents[0].send(signal.SIGCONT)
    record.add(f"the agent beside rank 0 stood still for {FREEZE_S} s")


async def silence(record, agents, proxy):
    for _ in range(2):
        record.add(f"{proxy.silence()} channels to the agent beside rank 1 went silent")
        await asyncio.sleep(SHIFT_S / 2 - 0.01)


DISRUPTIONS = {"kill": kill, "freeze": freeze, "silence": silence}


async def case(record, folder, with_trouble):
    store = s.Store()
    await store.start()
    group = g.Group(record, RANKS)
    await group.start()
    gateway = s.Program("gateway", s.gateway_fields("front-1", store.address, []), folder)
    agents = []
    proxy = None
    for rank in group.ranks:
        own_host = rank.host
        if rank.number == 1:
            # Others reach this machine through the proxy: its agent and its rank.
            proxy = g.SilencingProxy(s.new_host(), rank.host)
            await proxy.start()
            await group.serve_also_at(rank, proxy.host)
        store.put("servers", f"i-{rank.number}",
                  group.entry(rank, proxy.host if rank.number == 1 else None))
        agents.append(s.Program("rank-agent", g.agent_fields(
            f"side-{rank.number}", own_host, f"{own_host}:{g.PORT_OWN}", store.address,
            [gateway.fields["listen"]["control"]]), folder))
    config = s.configuration([s.route("r", "/s/", "streaming", "llm", 8000, 2)], [])
    config["services"] = [group.service()]
    store.put("config", "main", config)
    gateway.start()
    await s.until_ready([gateway])
    for agent in agents:
        agent.start()
    await asyncio.sleep(5)
    lateness = Lateness()
    watch = asyncio.create_task(lateness.watch())
    end = time.monotonic() + SECONDS
    disrupt = DISRUPTIONS[os.environ.get("VARIANT", "kill")]
    disruptions = 0
    chooser = random.Random(1)
    while time.monotonic() < end and not group.splits:
        shifted_at = time.monotonic()
        group.shift(chooser, SHIFT_SHARE)
        record.add("other experts are in demand")
        if with_trouble:
            disruptions += 1
            await disrupt(record, agents, proxy)
        await asyncio.sleep(max(0.0, shifted_at + SHIFT_S - time.monotonic()))
    record.add(f"{group.step} passes, {group.changes} changes of map, {disruptions} disruptions")
    record.add(f"MAP: {len(group.splits)} passes began with different maps")
    for agent in agents:
        if not agent.running():
            record.add(f"{agent.name} has ended")
    watch.cancel()
    record.add(f"this process got the processor at most {lateness.worst * 1000:.0f} ms late")
    if group.splits and group.split_at - lateness.last_late_at < 5:
        raise s.CannotRun("the machine was too busy in the last 5 s before")
    if group.changes < 3:
        raise s.CannotRun("the agents changed no maps")
    return bool(group.splits)


s.run_case(case, FOLDER)
