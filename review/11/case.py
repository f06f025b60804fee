"""A group of ranks whose map was changed last by an agent on a machine whose time of day had jumped
ahead. Orders stay without an answer and are carried out late, and ranks turn slow."""

import asyncio
import hashlib
import json
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins3 as s  # noqa: E402

RANKS, SETS, EXPERTS, PLACES, SPARE = 4, 4, 16, 6, 2
STEP_S = 0.03
EXPERT_MB, LINK_MBPS = 2500.0, 180000.0
LOAD_S = EXPERT_MB * 8 / LINK_MBPS
EPISODES, EPISODE_S = 30, 2.6
# The time of day had jumped by 2.4 s, and the map was planned 0.4 s before the agents start.
VERSION_AHEAD_S = 2.4 - 0.4
LATE_SHARE, LATE_S = 0.35, (2, 12)
# For trials with a part of the trouble only.
CLOCK = s.TROUBLE and os.environ.get("CLOCK", "1") != "0"
SLOW, SLOW_GAP_S = 5.0, (0.1, 0.3)


def content(experts):
    """A short name of a map's content."""
    return hashlib.sha256(json.dumps(experts).encode()).hexdigest()[:6]


class Group:
    """The engine of a group of ranks, with one address for each rank."""

    def __init__(self):
        self.random = random.Random()
        self.begin = time.monotonic()
        self.changes = 0
        self.port = s.free_port()
        self.hosts = [f"127.0.0.{11 + rank}" for rank in range(RANKS)]
        self.born = int(time.time() * 1000)
        self.step, self.held, self.log, self.splits = 1, None, [], []
        self.writers = set()
        first = [[[e for e in range(EXPERTS) if e % RANKS == rank] for rank in range(RANKS)]
                 for _ in range(SETS)]
        version = int((time.time() + VERSION_AHEAD_S) * 1e6) if CLOCK else 0
        self.ranks = [{"map": (version, first), "highest": version, "prepared": None,
                       "loading": None, "armed": None, "sequence": 1, "pace": 1.0,
                       "counts": [0] * (SETS * EXPERTS)} for _ in range(RANKS)]
        self.demand = [int(3000 / (self.random.random() + 0.02) ** 1.3)
                       for _ in range(SETS * EXPERTS)]

    async def start(self):
        self.servers = [await asyncio.start_server(
            lambda r, w, rank=rank: self.serve(rank, r, w), host, self.port, limit=1 << 20)
            for rank, host in enumerate(self.hosts)]
        self.tasks = [asyncio.create_task(self.run())]
        if s.TROUBLE:
            self.tasks.append(asyncio.create_task(self.make_slow()))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def address(self, rank):
        return f"{self.hosts[rank]}:{self.port}"

    def note(self, text):
        self.log.append((time.monotonic(), text))

    async def run(self):
        while True:
            await asyncio.sleep(STEP_S)
            if self.held is not None and self.held[1] == self.step + 1:
                continue
            self.step += 1
            version = self.ranks[0]["map"][0]
            for rank in self.ranks:
                for index, count in enumerate(self.demand):
                    rank["counts"][index] += count // RANKS
                if rank["armed"] and rank["armed"]["step"] == self.step:
                    rank["map"], rank["prepared"], rank["armed"] = rank["prepared"], None, None
            maps = [rank["map"] for rank in self.ranks]
            self.changes += maps[0][0] != version
            if any(m != maps[0] for m in maps):
                self.splits.append(self.step)
                if len(self.splits) == 1:
                    self.note(f"BROKEN: pass {self.step} begins with maps of versions "
                              f"{[m[0] for m in maps]}, contents {[content(m[1]) for m in maps]}")

    def execute(self, number, order):
        rank = self.ranks[number]
        if order.get("epoch", 1) != 1 or order.get("expected", rank["sequence"]) != rank["sequence"]:
            return 409
        kind, version, step = order["operation"], order.get("version"), order.get("step")
        if kind == "prepare":
            if version <= rank["highest"] or rank["armed"]:
                return 409
            rank["highest"], rank["prepared"] = version, None
            wanted, has = order["map"], rank["map"][1]
            added = sum(len(set(wanted[l][number]) - set(has[l][number])) for l in range(SETS))
            self.note(f"rank {number} begins to copy {added} experts for map {version}, content "
                      f"{content(wanted)}")

            def complete():
                if rank["highest"] == version:
                    rank["prepared"] = (version, wanted)
            if added:
                asyncio.get_running_loop().call_later(added * LOAD_S, complete)
            else:
                complete()
        elif kind == "arm":
            if rank["armed"] == {"version": version, "step": step}:
                return 200
            if (not rank["prepared"] or rank["prepared"][0] != version or step <= self.step
                    or rank["armed"]):
                return 409
            rank["armed"] = {"version": version, "step": step}
        elif kind == "disarm":
            if not rank["armed"] or rank["armed"]["version"] != version:
                return 200 if version != rank["map"][0] else 409
            rank["armed"] = None
        elif kind == "hold":
            if self.held == (number, step):
                return 200
            if step <= self.step or self.held is not None:
                return 409
            self.held = (number, step)
        elif kind == "go":
            if self.held == (number, step):
                self.held = None
            else:
                return 200
        else:
            return 400
        rank["sequence"] += 1
        return 202

    async def serve(self, number, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await s.read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                target = line.split(" ")[1]
                rank = self.ranks[number]
                status, answer = 200, {}
                if target == "/-/report":
                    answer = {"stage": "both", "models": [{"name": "m", "version": 1}],
                              "busy": False, "sequence": rank["sequence"], "waiting": 0,
                              "running": 1, "kvUsed": 0, "kvTotal": 280000, "handles": 0,
                              "born": self.born, "pace": rank["pace"], "size": RANKS,
                              "group": {"name": "g0", "epoch": 1, "rank": number, "state": "open"},
                              "step": self.step, "map": rank["map"][0],
                              "prepared": rank["prepared"] and rank["prepared"][0],
                              "armed": rank["armed"],
                              "held": self.held[1] if self.held and self.held[0] == number
                              else None}
                elif target.startswith("/-/picked?"):
                    answer = {"map": {"version": rank["map"][0],
                                      "experts": [layer[number] for layer in rank["map"][1]]},
                              "prepared": None}
                elif target == "/-/picked":
                    answer = {"step": self.step, "epoch": 1, "counts": rank["counts"]}
                elif target == "/-/order":
                    order = json.loads(body)
                    is_late = self.is_late(number, order)
                    name = f"{order['operation']} {order.get('version', '')} " \
                           f"{order.get('step', '')} for rank {number}"
                    if is_late:
                        delay = self.random.uniform(*LATE_S)
                        asyncio.get_running_loop().call_later(delay, self.execute, number, order)
                        self.note(f"{name}: no answer")
                        await asyncio.sleep(1)
                        return
                    status = self.execute(number, order)
                    self.note(f"{name}: {status}")
                else:
                    status = 404
                writer.write(s.response(status, [("Content-Type", "application/json"),
                                                 ("X-Request-Id", headers.get("x-request-id", ""))],
                                        json.dumps(answer).encode()))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def is_late(self, number, order):
        return s.TROUBLE and self.random.random() < LATE_SHARE

    async def make_slow(self):
        """Ranks turn slow, one after the other, and well again."""
        while True:
            await asyncio.sleep(self.random.uniform(*SLOW_GAP_S))
            rank = self.random.randrange(RANKS)
            self.ranks[rank]["pace"] = SLOW
            self.note(f"rank {rank} turns slow")
            await asyncio.sleep(self.random.uniform(*SLOW_GAP_S))
            self.ranks[rank]["pace"] = 1.0
            self.note(f"rank {rank} is well again")


def configuration():
    config = s.stream_configuration()
    config["services"][0]["engine"].update({
        "sets": SETS, "experts": EXPERTS, "places": PLACES, "spare": SPARE, "expertMb": EXPERT_MB,
        "linkMbps": LINK_MBPS, "expertShare": 0.85, "form_ms": 600.0, "report_lag_ms": 200.0})
    return config


async def play_episode(deployment, store, control, number):
    """Starts the agents beside the ranks of a group, and ends them; returns the group."""
    group = Group()
    await group.start()
    for rank in range(RANKS):
        await store.put("servers", f"i-{number}-{rank}", {
            "service": "llm", "address": group.address(rank), "zone": "zone-a", "version": "1",
            "slots": 12, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
            "born": group.born})
    agent_port = s.free_port()
    template = (s.ROOT / "platform/rank-agent.ini").read_text()
    agents = []
    for rank, host in enumerate(group.hosts):
        values = {"nodeName": f"side-{number}-{rank}", "zone": "zone-a", "ip": host,
                  "internalPorts": [agent_port, agent_port + 15], "app": group.address(rank),
                  "service": "llm", "platform": {"address": f"{s.HOST}:{store.port}"},
                  "seedNodes": [control], "limits": {"memoryMb": 128, "maxFds": 2048}}
        path = deployment.folder / f"side-{number}-{rank}.ini"
        path.write_text(s.render(template, values))
        agents.append(deployment.start(["rank-agent", f"--settings={path}"],
                                       f"side-{number}-{rank}"))
    await asyncio.sleep(EPISODE_S)
    if any(agent.poll() is not None for agent in agents):
        raise RuntimeError("an agent has ended")
    for agent in agents:
        agent.kill()
        agent.wait()
    await group.stop()
    for rank in range(RANKS):
        await store.remove("servers", f"i-{number}-{rank}")
    return group


async def main(deployment):
    store = s.Store()
    await store.start()
    await store.put("config", "main", configuration())
    control = f"{s.HOST}:{s.free_port()}"
    settings = deployment.gateway_settings("gateway-1", store.port, [control], control)
    gateway = deployment.start_gateway(settings)
    await s.until_ready(settings["listen"]["ready"], gateway)
    groups = [await play_episode(deployment, store, control, n) for n in range(EPISODES)]
    broken = [n for n, group in enumerate(groups) if group.splits]
    with open(FOLDER / "record.txt", "w", encoding="utf-8") as file:
        file.write(f"trouble {s.TROUBLE}, clock {CLOCK}\n"
                   f"episodes {EPISODES}, map changes "
                   f"{sum(group.changes for group in groups)}, broken in {len(broken)}: {broken}\n")
        for number, group in enumerate(groups):
            file.write(f"episode {number}: passes {group.step}, with different maps "
                       f"{len(group.splits)}, last map {group.ranks[0]['map'][0]}\n")
        for number in broken[:1] or [0]:
            file.write(f"orders of episode {number}, in seconds since its start:\n")
            file.writelines(f"{at - groups[number].begin:.3f} {text}\n"
                            for at, text in groups[number].log)
    return not broken


s.run_case(main)
