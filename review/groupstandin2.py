"""A group of ranks in lock-step, as the pages describe it, and a proxy whose channels go silent."""

import asyncio
import bisect
import json
import random
import time

import standins2 as s

PORT_OWN = 8122     # Where the rank's own machine calls it ("app"); reports are fresh there.
PORT_OTHERS = 8123  # Where all others call it; reports are some hundred ms old there.
AGENT_PORT = 7340
# Between zones, and for a new channel (that and a round trip more).
ONE_WAY_S = 0.0014
NEW_CHANNEL_S = 0.001 + 2 * ONE_WAY_S


class Rank:
    def __init__(self, number, experts_of, layers, experts):
        self.number = number
        self.host = s.new_host()
        self.map = (0, experts_of)
        self.prepared = None   # (version, map), once copied.
        self.copying = None    # The same, while it is copied.
        self.armed = None      # (version, step)
        self.held = None
        self.highest = 0
        self.sequence = 0
        self.counts = [0] * (layers * experts)
        self.reports = []      # (time, report), at each change.


class Group:
    """All ranks execute each pass together; a pass uses the maps that the ranks have as it begins.

    The figures are those of tadmur-fcd-grown: 5 steps a pass, each of 5.85 ms and 0.426 ms for each
    of 10 requests and 512 prompt tokens at 61.2 a ms; an expert of 150 MB over 44,000 Mbit/s;
    reports to others 200 ms old. Only the sets of experts are fewer (3 of 16)."""

    def __init__(self, record, ranks, layers=3, experts=96, places=5, spare=2, pass_s=0.092,
                 copy_s=0.0273, lag_s=0.2):
        self.record = record
        self.layers, self.experts, self.places, self.spare = layers, experts, places, spare
        self.pass_s, self.copy_s, self.lag_s = pass_s, copy_s, lag_s
        self.epoch = 1
        self.step = 0
        chooser = random.Random(2)
        self.demand = [[self.draw(chooser) for _ in range(experts)] for _ in range(layers)]
        self.born = int(time.time() * 1000)
        first = [[expert for expert in range(experts) if expert % ranks == rank]
                 for rank in range(ranks)]
        first = [first for _ in range(layers)]
        self.ranks = [Rank(rank, first, layers, experts) for rank in range(ranks)]
        self.released = asyncio.Event()
        self.splits = []
        self.split_at = 0.0
        self.changes = 0
        for rank in self.ranks:
            self.note(rank)

    @staticmethod
    def draw(chooser):
        """Returns how often an expert is chosen in a pass at a rank; few are chosen often."""
        return int(300 / (chooser.random() + 0.02) ** 1.3)

    def shift(self, chooser, share):
        """Other experts are in demand: that share of them changes."""
        for layer in self.demand:
            for expert in range(self.experts):
                if chooser.random() < share:
                    layer[expert] = self.draw(chooser)

    def service(self):
        return {"name": "llm", "healthPath": "/health", "maxConnections": 400, "protocol": "h1",
                "tls": False, "coldStartS": 0.0, "coldPerS": 0.0,
                "engine": {"slots": 12, "kvCapacity": 372000, "linkMbps": 44000.0, "stride": 5,
                           "report_lag_ms": self.lag_s * 1000, "sets": self.layers,
                           "experts": self.experts, "places": self.places, "spare": self.spare,
                           "expertMb": self.copy_s * 44000.0 / 8, "expertShare": 0.85,
                           "form_ms": 600.0}}

    def entry(self, rank, host=None):
        return {"service": "llm", "address": f"{host or rank.host}:{PORT_OTHERS}",
                "zone": "zone-a", "version": "v1", "slots": 12, "state": "ready",
                "coldRemainingMs": 0, "sequence": 1, "born": self.born}

    async def start(self):
        self.servers = []
        for rank in self.ranks:
            for port in (PORT_OWN, PORT_OTHERS):
                self.servers.append(await s.serve(rank.host, port, self.handler(rank, port)))
        self.passes = asyncio.create_task(self.make_passes())

    async def serve_also_at(self, rank, host):
        """Serves a rank's port for others at a further address."""
        self.servers.append(await s.serve(host, PORT_OTHERS, self.handler(rank, PORT_OTHERS)))

    # -- Passes

    async def make_passes(self):
        while True:
            while any(rank.held == self.step + 1 for rank in self.ranks):
                self.released.clear()
                await self.released.wait()
            self.begin_pass()
            await asyncio.sleep(self.pass_s)

    def begin_pass(self):
        self.step += 1
        switched = []
        for rank in self.ranks:
            for layer in range(self.layers):
                for expert, choices in enumerate(self.demand[layer]):
                    rank.counts[layer * self.experts + expert] += choices
            if rank.armed and rank.armed[1] == self.step:
                rank.map, rank.prepared, rank.armed = rank.prepared, None, None
                switched.append(rank.number)
            self.note(rank)
        self.changes += 1 if switched else 0
        maps = {json.dumps(rank.map) for rank in self.ranks}
        if len(maps) > 1 and not self.splits:
            self.split_at = time.monotonic()
            versions = {rank.number: rank.map[0] for rank in self.ranks}
            self.record.add(f"SPLIT    pass {self.step} begins with maps of versions {versions}; "
                            f"just switched: {switched}")
        if len(maps) > 1:
            self.splits.append(self.step)

    # -- What ranks say

    def note(self, rank):
        report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                  "busy": rank.copying is not None, "sequence": rank.sequence, "waiting": 0,
                  "running": 6, "kvUsed": 41000, "kvTotal": 372000, "handles": 0,
                  "group": {"name": "g0", "epoch": self.epoch, "rank": rank.number,
                            "state": "open"},
                  "size": len(self.ranks), "born": self.born, "step": self.step,
                  "map": rank.map[0], "pace": 1.0,
                  "prepared": rank.prepared[0] if rank.prepared else None,
                  "armed": ({"version": rank.armed[0], "step": rank.armed[1]}
                            if rank.armed else None),
                  "held": rank.held}
        rank.reports.append((time.monotonic(), report))
        if len(rank.reports) > 400:
            del rank.reports[:200]

    def report(self, rank, port):
        if port == PORT_OWN:
            return rank.reports[-1][1]
        index = bisect.bisect_right(rank.reports, time.monotonic() - self.lag_s,
                                    key=lambda item: item[0])
        return rank.reports[max(index - 1, 0)][1]

    def handler(self, rank, port):
        async def on_connection(reader, writer):
            if port == PORT_OTHERS:
                await asyncio.sleep(NEW_CHANNEL_S)
            while head := await s.read_head(reader):
                first_line, headers = head
                method, target, _ = first_line.split(" ")
                if port == PORT_OTHERS:
                    await asyncio.sleep(ONE_WAY_S)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = 200, {}
                if target == "/-/report":
                    answer = self.report(rank, port)
                elif target.startswith("/-/picked") and "lists" in target:
                    answer = {"map": {"version": rank.map[0],
                                      "experts": [layer[rank.number] for layer in rank.map[1]]},
                              "prepared": None}
                elif target.startswith("/-/picked"):
                    answer = {"step": self.step, "epoch": self.epoch, "counts": rank.counts}
                elif target == "/-/order" and method == "POST":
                    status = self.order(rank, json.loads(body))
                else:
                    status = 404
                content = json.dumps(answer).encode()
                fields = [("Content-Type", "application/json"), ("Content-Length", len(content))]
                if "x-request-id" in headers:
                    fields.append(("X-Request-Id", headers["x-request-id"]))
                if port == PORT_OTHERS:
                    await asyncio.sleep(ONE_WAY_S)
                writer.write(s.message(f"HTTP/1.1 {status} X", fields, content))
        return on_connection

    # -- Orders

    def order(self, rank, order):
        status = self.carry_out(rank, order)
        detail = {key: value for key, value in order.items() if key not in ("map", "operation")}
        self.record.add(f"order    {order['operation']} {detail} at rank {rank.number} in pass "
                        f"{self.step}: {status}")
        self.note(rank)
        return status

    def carry_out(self, rank, order):
        operation = order["operation"]
        if "epoch" in order and order["epoch"] != self.epoch:
            return 409
        version, step = order.get("version", 0), order.get("step", 0)
        if operation == "prepare":
            return self.prepare(rank, version, order["map"])
        if operation == "arm":
            if not rank.prepared or rank.prepared[0] != version or step <= self.step:
                return 409
            rank.armed = (version, step)
        elif operation == "disarm":
            if rank.map[0] == version:
                return 409
            if rank.armed and rank.armed[0] == version:
                rank.armed = None
        elif operation == "hold":
            if step <= self.step or rank.held not in (None, step):
                return 409
            rank.held = step
        elif operation == "go":
            if rank.held == step:
                rank.held = None
                self.released.set()
        else:
            return 400
        rank.sequence += 1
        return 200

    def prepare(self, rank, version, new):
        layers = range(self.layers)
        if version <= rank.highest or rank.armed:
            return 409
        added = max(len(set(new[layer][rank.number]) - set(rank.map[1][layer][rank.number]))
                    for layer in layers)
        if added > self.spare:
            return 409
        for layer in layers:
            if any(len(held) > self.places for held in new[layer]) \
                    or set().union(*new[layer]) != set(range(self.experts)):
                return 400
        rank.highest = version
        rank.prepared, rank.copying = None, (version, new)
        rank.sequence += 1

        def copied():
            if rank.copying and rank.copying[0] == version:
                rank.prepared, rank.copying = rank.copying, None
                self.note(rank)

        if added:
            asyncio.get_running_loop().call_later(added * self.copy_s, copied)
        else:
            copied()
        return 202


class SilencingProxy:
    """Stands before an agent. Open channels may go silent for good, while new ones work."""

    def __init__(self, host, target_host):
        self.host, self.target_host = host, target_host
        self.open = []

    async def start(self):
        self.server = await s.serve(self.host, AGENT_PORT, self.on_connection)

    def silence(self):
        """Silences the channels that are open now; returns how many."""
        count = sum(1 for channel in self.open if not channel["silent"])
        for channel in self.open:
            channel["silent"] = True
        return count

    async def on_connection(self, reader, writer):
        channel = {"silent": False}
        self.open.append(channel)
        other_reader, other_writer = await asyncio.open_connection(self.target_host, AGENT_PORT)

        async def copy(source, sink):
            while data := await source.read(65536):
                if not channel["silent"]:
                    sink.write(data)
                    await sink.drain()

        copies = [asyncio.create_task(copy(reader, other_writer)),
                  asyncio.create_task(copy(other_reader, writer))]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for each in copies:
                each.cancel()
            self.open.remove(channel)
            other_writer.close()


def agent_fields(name, host, endpoint, store, gateways):
    return {"nodeName": name, "zone": "zone-a", "ip": host, "internalPorts": [AGENT_PORT, 7355],
            "app": endpoint, "service": "llm", "platform": {"address": store},
            "seedNodes": gateways, "bounds": dict(s.BOUNDS)}

