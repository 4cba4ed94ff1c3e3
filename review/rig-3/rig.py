"""Stand-ins of the platform for the cases 11 to 15: the store and executors, and
helpers that start the project's instances.

Everything runs in one asyncio loop on loopback. Each instance has a listening
port of its own for the store, and one for each executor if the case asks for
it, so that a case can disturb the path of one instance alone. Without a fault,
all stand-ins answer as PROTOCOL.md says.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time

HEARTBEAT_MS = 1500
STOP_MS = 100
GANG_WAIT_MS = 3000
HISTORY_S = 20


def now_ms():
    return time.monotonic() * 1000


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Signal:
    """Wakes all that wait for it."""

    def __init__(self):
        self.waiters = set()

    def wake(self):
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()

    async def wait(self, timeout_ms):
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            await asyncio.wait_for(waiter, max(timeout_ms, 1) / 1000)
        except asyncio.TimeoutError:
            self.waiters.discard(waiter)


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.headers = headers
        self.body = body
        self.query = {}
        for part in query.split("&"):
            name, _, value = part.partition("=")
            if name:
                self.query[name] = unquote(value)

    def json(self):
        return json.loads(self.body) if self.body else {}


def unquote(text):
    from urllib.parse import unquote_plus
    return unquote_plus(text)


class Drop(Exception):
    """Ends the connection without an answer; reset: with a TCP reset."""

    def __init__(self, reset=True):
        super().__init__("dropped")
        self.reset = reset


class Silence(Exception):
    """Leaves the call without an answer and the connection open."""


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """A small HTTP/1.1 server. handle (request) returns (status, object)."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.port = 0
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    def reset(self, writer):
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        writer.transport.abort()

    def reset_all(self):
        for writer in list(self.writers):
            self.reset(writer)

    def close(self):
        """The process is gone: nothing listens, all connections are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset_all()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                request = Request(method, target, headers, body)
                try:
                    status, answer = await self.handle(request)
                except Silence:
                    await asyncio.sleep(3600)
                    return
                except Drop as drop:
                    if drop.reset:
                        self.reset(writer)
                    return
                text = json.dumps(answer if answer is not None else {})
                writer.write(("HTTP/1.1 %d X\r\nContent-Type: application/json"
                              "\r\nContent-Length: %d\r\n\r\n%s"
                              % (status, len(text), text)).encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store. One port for each instance and one fault each:
    faults[i] is None, or a coroutine function (request, apply) that returns an
    answer or raises Drop or Silence; apply (request) is the normal answer."""

    def __init__(self, log, n_paths, latency_ms=4):
        self.log = log
        self.items = {}
        self.changes = []
        self.leases = {}
        self.revision = 1
        self.history_start = 0
        self.last_lease = 0
        self.latency_ms = latency_ms
        self.changed = Signal()
        self.faults = [None] * n_paths
        self.paths = []
        self.entry_until = {}
        self.calls = 0

    async def start(self):
        for i in range(len(self.faults)):
            server = Server(lambda request, i=i: self.handle(i, request))
            await server.listen()
            self.paths.append(server)
        asyncio.ensure_future(self.expire())

    async def handle(self, path, request):
        self.calls += 1
        if self.latency_ms:
            await asyncio.sleep(self.latency_ms / 1000)
        fault = self.faults[path]
        if fault is not None:
            return await fault(request, self.apply)
        return await self.apply(request)

    def note(self, key, item):
        change = {"key": key, "revision": self.revision}
        if item is None:
            change["deleted"] = True
        else:
            change.update(item)
        self.changes.append((time.monotonic(), change))
        while self.changes and self.changes[0][0] < time.monotonic() - HISTORY_S:
            self.history_start = self.changes.pop(0)[1]["revision"]

    def put_raw(self, key, value, lease=0):
        known = self.items.get(key)
        item = {"key": key, "value": value, "revision": self.revision,
                "created-rev": known["created-rev"] if known else self.revision,
                "lease": lease}
        self.items[key] = item
        self.note(key, item)

    def wake(self):
        self.changed.wake()

    def put(self, key, value):
        """A write of the operator or of an executor."""
        self.revision += 1
        text = value if isinstance(value, str) else json.dumps(value)
        self.put_raw(key, base64.b64encode(text.encode()).decode())
        self.wake()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.note(key, None)
            self.wake()

    def text(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]).decode("utf8", "replace") \
            if item else None

    def heartbeat(self, key, value):
        self.entry_until[key] = now_ms() + 3 * HEARTBEAT_MS
        self.put(key, value)

    def leave(self, key):
        self.entry_until.pop(key, None)
        self.remove(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for key, until in list(self.entry_until.items()):
                if until < now_ms():
                    self.leave(key)
            for lease, row in list(self.leases.items()):
                if row["until"] < now_ms():
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if not keys:
            return
        self.revision += 1
        for key in keys:
            del self.items[key]
            self.note(key, None)
        self.wake()

    async def apply(self, request):
        path = request.path
        if path == "/v1/kv-key":
            item = self.items.get(request.query.get("key"))
            if item is None:
                return 404, None
            return 200, dict(item, **{"as-of": self.revision})
        if path == "/v1/kv-range":
            return self.range(request)
        if path == "/v1/kv-watch":
            return await self.watch(request)
        if path == "/v1/kv-txn":
            return self.txn(request.json())
        if path == "/v1/kv-lease":
            self.last_lease += 1
            ttl = request.json()["ttl-ms"]
            self.leases[self.last_lease] = {"ttl": ttl, "until": now_ms() + ttl}
            return 200, {"lease": self.last_lease, "ttl-ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            row = self.leases.get(int(path.rsplit("/", 1)[1]))
            if row is None:
                return 404, None
            row["until"] = now_ms() + row["ttl"]
            return 200, {"lease": int(path.rsplit("/", 1)[1]),
                         "ttl-ms": row["ttl"]}
        if path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            self.end_lease(lease)
            return 200, {}
        return 404, None

    def range(self, request):
        prefix = request.query.get("prefix", "")
        after = request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix)
                      and k > after)
        return 200, {"items": [self.items[k] for k in keys[:500]],
                     "truncated": len(keys) > 500, "as-of": self.revision}

    async def watch(self, request):
        prefix = request.query.get("prefix", "")
        after = int(request.query.get("after", 0))
        until = now_ms() + int(request.query.get("wait-ms", 0))
        if after < self.history_start:
            return 410, None
        while True:
            events = [c for _, c in self.changes if c["revision"] > after
                      and c["key"].startswith(prefix)]
            if events or now_ms() >= until:
                return 200, {"events": events, "as-of": self.revision}
            await self.changed.wait(until - now_ms())

    def txn(self, body):
        for row in body.get("expected-rev", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]]
                                       for r in body["expected-rev"]
                                       if r["key"] in self.items],
                             "as-of": self.revision}
        for row in body.get("writes", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, None
            if row["key"].startswith(("op/", "servers/")):
                return 403, None
        self.revision += 1
        for row in body.get("writes", []):
            self.put_raw(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            if key in self.items:
                del self.items[key]
                self.note(key, None)
        self.wake()
        return 200, {"revision": self.revision}


def spec_value(spec, name, fallback):
    for word in spec.split():
        key, _, value = word.partition("=")
        if key == name:
            return float(value)
    return fallback


class Executor:
    """One executor that guards its capacity. task-spec has words such as
    run_ms=2000, startup_ms=500 lasting=1 for a task that lasts, and gang=3 for
    one of three members, which work from when all of one run are present."""

    def __init__(self, store, name, kind="a", rack="r1", zone="z1",
                 service="svc", capacity=None, events=None, gangs=None):
        self.store = store
        self.id = name
        self.kind = kind
        self.rack = rack
        self.zone = zone
        self.service = service
        self.capacity = capacity or {"cpu": 64000, "mem-mb": 256000, "gpu": 8}
        self.events = events if events is not None else []
        self.gangs = gangs if gangs is not None else {}
        self.server = None
        self.port = 0
        self.cut = False
        self.state = "ready"
        self.remaining_ms = 0
        self.up = False
        self.fail_all = False
        self.muted = False
        self.needs = {}
        self.runs = {}
        self.ended = []

    def log(self, what, **fields):
        self.events.append(dict(at=now_ms(), what=what, executor=self.id,
                                kind=self.kind, **fields))

    async def start(self, kind=None):
        if kind is not None:
            self.kind = kind
        self.born = int(time.time() * 1000)
        self.clock0 = now_ms() - 1000
        self.fence = 0
        self.until = 0
        self.runs = {}
        self.ended = []
        self.highest = {}
        self.last_end = 0
        self.sequence = 0
        self.changed = Signal()
        self.server = Server(self.handle)
        self.port = await self.server.listen(self.port)
        self.up = True
        self.log("up", born=self.born)
        self.beat_task = asyncio.ensure_future(self.beat())
        self.tick_task = asyncio.ensure_future(self.tick())

    def crash(self):
        """The process is gone with all that it knew; its entry stays until it
        has been silent for three heartbeats."""
        self.log("down", running=list(self.runs))
        for name, row in self.runs.items():
            self.log("killed", task=name, run=row["run"])
            gang = self.gangs.get((name.rsplit(".", 1)[0], row["run"]))
            if gang and not gang["over"]:
                gang["over"] = "lost"
        self.up = False
        self.server.close()
        self.beat_task.cancel()
        self.tick_task.cancel()
        self.runs = {}

    def clock(self):
        return int(now_ms() - self.clock0)

    def entry(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.server.address,
                 "zone": self.zone, "config-version": "v1", "slots": 8,
                 "state": self.state, "cold-left-ms": 0,
                 "capacity": self.capacity, "labels": [self.kind, self.rack],
                 "born": self.born, "sequence": self.sequence}
        if self.state == "draining":
            entry["remaining-ms"] = self.remaining_ms
        return entry

    async def beat(self):
        while True:
            if not self.muted and not self.cut:
                self.store.heartbeat("servers/" + self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            self.settle()

    def settle(self):
        for name, row in list(self.runs.items()):
            if self.clock() > self.until:
                self.end(name, "lapsed")
            elif row["stop_at"] and now_ms() >= row["stop_at"]:
                self.end(name, "stopped")
            elif row["end_at"] and now_ms() >= row["end_at"]:
                self.end(name, row["how"])
            elif row["gang"]:
                self.settle_gang(name, row)

    def settle_gang(self, name, row):
        """Members of one run that are present work together, end together,
        and do not wait longer than gang-wait-ms for each other."""
        gang = self.gangs.setdefault((name.rsplit(".", 1)[0], row["run"]),
                                     {"members": set(), "full_at": 0,
                                      "over": None})
        if gang["over"]:
            self.end(name, "done" if gang["over"] == "done" else "broken")
            return
        gang["members"].add(name)
        if not gang["full_at"] and len(gang["members"]) == row["gang"]:
            gang["full_at"] = now_ms()
        if gang["full_at"]:
            row["at"] = gang["full_at"]
            if now_ms() >= gang["full_at"] + row["full_ms"]:
                gang["over"] = "done"
                self.end(name, "done")
        elif now_ms() >= row["at"] + GANG_WAIT_MS:
            gang["over"] = "alone"
            self.end(name, "alone")

    def end(self, name, how):
        row = self.runs.pop(name)
        self.last_end += 1
        self.highest[name] = max(self.highest.get(name, 0), row["run"])
        self.ended.append([self.last_end, name, row["run"], how, ""])
        gang = self.gangs.get((name.rsplit(".", 1)[0], row["run"]))
        if gang and not gang["over"]:
            gang["over"] = how
        self.log("end", task=name, run=row["run"], how=how)
        self.changed.wake()

    def used(self):
        total = {"cpu": 0, "mem-mb": 0, "gpu": 0}
        for row in self.runs.values():
            for key in total:
                total[key] += row["needs"].get(key, 0)
        return total

    def reply(self, status, reason=None):
        body = {"clock-ms": self.clock(), "born": self.born}
        if reason:
            body["reason"] = reason
        return status, body

    def lists(self):
        running = []
        for name, row in self.runs.items():
            age = now_ms() - row["at"]
            percent = min(100, int(100 * age / max(row["full_ms"], 1)))
            running.append([name, row["run"], "", percent,
                            row["needs"].get("cpu", 0)])
        return 200, {"clock-ms": self.clock(), "born": self.born,
                     "running": running, "ended": self.ended[:500]}

    async def handle(self, request):
        if self.cut:
            raise Silence()
        self.settle()
        expected = request.headers.get("x-expect-instance")
        if expected is not None and expected != self.id:
            return 421, {}
        body = request.json()
        fence = body.get("fencing-token", 0)
        if fence < self.fence:
            return self.reply(409, "fence")
        self.fence = fence
        if request.path == "/v1/run-start":
            return self.run_start(body)
        if request.path == "/v1/run-stop":
            return self.run_stop(body)
        if request.path == "/v1/pace":
            return self.reply(200)
        if request.path == "/v1/hold":
            return await self.hold(body)
        return 404, {}

    def run_start(self, body):
        name, run = body["task"], body["run"]
        known = self.runs.get(name)
        if known and known["run"] == run:
            return self.reply(200)
        deadline = body.get("deadline-ms", 0)
        if deadline < self.clock():
            return self.reply(409, "late")
        self.until = max(self.until, min(deadline, self.clock() + 10000))
        if run <= self.highest.get(name, 0) or known:
            return self.reply(409, "old")
        spec = body["task-spec"]
        needs = {"cpu": spec_value(spec, "cpu", 1000),
                 "mem-mb": spec_value(spec, "mem", 100),
                 "gpu": spec_value(spec, "gpu", 1)}
        used = self.used()
        if any(used[k] + needs[k] > self.capacity[k] for k in used):
            return self.reply(409, "room")
        lasting = spec_value(spec, "lasting", 0) > 0
        run_ms = spec_value(spec, "run_ms", 1000)
        gang = int(spec_value(spec, "gang", 0))
        row = {"run": run, "at": now_ms(), "needs": needs, "stop_at": 0,
               "how": "done", "full_ms": run_ms, "gang": gang,
               "end_at": 0 if lasting or gang else now_ms() + run_ms}
        if lasting:
            row["full_ms"] = spec_value(spec, "startup_ms", 500)
        if self.fail_all:
            row["how"] = "failed"
            row["end_at"] = now_ms() + 20
        self.runs[name] = row
        self.log("start", task=name, run=run, fence=body["fencing-token"])
        return self.reply(200)

    def run_stop(self, body):
        name, run = body["task"], body["run"]
        known = self.runs.get(name)
        if known and known["run"] <= run:
            known["stop_at"] = known["stop_at"] or now_ms() + STOP_MS
        else:
            self.highest[name] = max(self.highest.get(name, 0), run)
        self.log("stop", task=name, run=run)
        return self.reply(200)

    async def hold(self, body):
        deadline = body.get("deadline-ms", 0)
        if deadline:
            self.until = max(self.until, min(deadline, self.clock() + 10000))
        seen = body.get("seen-upto", 0)
        for row in self.ended:
            if row[0] <= seen:
                self.log("noted", task=row[1], run=row[2], how=row[3])
        self.ended = [row for row in self.ended if row[0] > seen]
        wait_ms = body.get("wait-ms", 0)
        if wait_ms and not self.ended:
            await self.changed.wait(wait_ms)
        return self.lists()


SETTINGS = """[instance]
name = {name}
data_centre = {zone}
cpu_share = {cpu_share}
client_address = {client}
ready_address = {ready}
metrics_address = {metrics}

[platform]
store_address = {store}
heartbeat_ms = 1500

[learning]
run_times = on
speeds = on

[placement]
objectives = on

[preemption]
budget = on

[bounds]
revoke_ms = 5000
grace_s = 6
max_hold_ms = 10000
gang_wait_ms = 3000
reclaim_ms = 2700
checkpoint_s = 1
far_factor = 3
stop_ms = 200
state_kept_s = 120

[clients]
state_wait_ms = 100
"""


class Instance:
    """One process of the project, with the command of the deploy file and
    settings as its template renders them."""

    def __init__(self, folder, number, store, zone="z1", cpu_share=0.25):
        self.name = "front-%s-%d" % (zone, number)
        self.number = number
        self.folder = folder
        self.store = store
        self.zone = zone
        self.cpu_share = cpu_share
        self.process = None
        self.new_address()

    def new_address(self):
        self.client, self.ready, self.metrics = (free_port() for _ in range(3))
        self.file = os.path.join(self.folder, self.name + ".ini")
        with open(self.file, "w") as out:
            out.write(SETTINGS.format(
                name=self.name, zone=self.zone, cpu_share=self.cpu_share,
                client="127.0.0.1:%d" % self.client,
                ready="127.0.0.1:%d" % self.ready,
                metrics="127.0.0.1:%d" % self.metrics,
                store=self.store.paths[self.number].address))

    async def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "LANG": "C",
               "HOME": self.folder, "GERANIUMRACK_NODE_FILE": self.file}
        self.process = await asyncio.create_subprocess_exec(
            "target/instance/geraniumrack-instance", env=env, stdout=log,
            stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def logged(self, event):
        """The log lines of this event, of all processes with this name."""
        rows = []
        try:
            with open(os.path.join(self.folder, self.name + ".log")) as lines:
                for line in lines:
                    if '"%s"' % event in line:
                        rows.append(line.strip())
        except FileNotFoundError:
            pass
        return rows

    async def call(self, method, path, body=None, timeout_s=3.0, host="h.example",
                   key="k1"):
        """One call of a client on a connection of its own. Returns (status,
        object), or (0, None) without an answer."""
        try:
            return await asyncio.wait_for(
                self.call_once(method, path, body, timeout_s, host, key),
                timeout_s)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError,
                ValueError):
            return 0, None

    async def call_once(self, method, path, body, timeout_s, host, key):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.client)
        try:
            text = json.dumps(body) if body is not None else ""
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer "
                          "%s\r\nX-Request-Deadline: %d\r\nContent-Type: "
                          "application/json\r\nContent-Length: %d\r\n"
                          "Connection: close\r\n\r\n%s"
                          % (method, path, host, key, timeout_s * 1000,
                             len(text), text)).encode())
            line, _, answer = await read_message(reader)
            status = int(line.split(" ")[1])
            return status, json.loads(answer) if answer else None
        finally:
            writer.close()


def config(version=1, queues=None, guaranteed=8):
    return {
        "config-version": version,
        "routes": queues or [queue("q", "/q/")],
        "services": [{"name": "svc", "rejects-overload": True}],
        "limits": {},
        "tenants": [{"name": "t1", "api-keys": ["k1"],
                     "guaranteed": {"gpu": guaranteed}}],
    }


def queue(name, prefix, priority=1, max_attempts=3, service="svc"):
    return {"name": name, "host": "h.example", "prefix": prefix,
            "service": service, "priority": priority,
            "max-attempts": max_attempts, "stretch": 3, "slo-ms": 1000,
            "timeout-ms": 3000}


def step(count=1, spec_cpu=1000, **fields):
    row = dict({"count": count, "cpu": spec_cpu, "mem-mb": 100, "gpu": 1,
                "estimate-ms": 1000}, **fields)
    return {name: value for name, value in row.items() if value}


class Case:
    """Runs a scenario and writes record.txt. main (case) returns a list of
    broken rules."""

    def __init__(self, folder):
        self.record_file = os.path.join(folder, "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.start_ms = now_ms()
        self.lines = []
        self.events = []
        self.gangs = {}
        self.instances = []
        self.executors = []
        self.temp = tempfile.mkdtemp(prefix="geraniumrack-case-")
        self.store = None

    def log(self, text):
        line = "%8.3f %s" % ((now_ms() - self.start_ms) / 1000, text)
        self.lines.append((now_ms(), line))

    async def setup(self, n_instances):
        self.store = Store(self.log, n_instances)
        await self.store.start()
        for i in range(n_instances):
            zone = "z%d" % (i % 3 + 1)
            self.instances.append(Instance(self.temp, i, self.store, zone))

    async def start_instances(self):
        for instance in self.instances:
            await instance.start()
        # Another process can have taken a port in the meantime.
        await asyncio.sleep(0.2)
        for instance in self.instances:
            if instance.process.returncode is not None:
                instance.new_address()
                await instance.start()

    async def add_executor(self, name, **fields):
        executor = Executor(self.store, name, events=self.events,
                            gangs=self.gangs, **fields)
        await executor.start()
        self.executors.append(executor)
        return executor

    async def wait(self, seconds):
        await asyncio.sleep(seconds)

    async def until(self, condition, seconds):
        """Whether the condition holds within this time."""
        limit = now_ms() + seconds * 1000
        while now_ms() < limit:
            if condition():
                return True
            await asyncio.sleep(0.01)
        return bool(condition())

    async def all_ready(self, seconds=15):
        for instance in self.instances:
            limit = now_ms() + seconds * 1000
            while now_ms() < limit:
                status, _ = await instance.call("GET", "/q/")
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                return False
        return await self.until(lambda: self.owner() is not None, seconds)

    def owner(self):
        text = self.store.text("gr/owner")
        if text is None:
            return None
        name = text.split(" ")[0]
        for instance in self.instances:
            if instance.name == name:
                return instance
        return None

    def starts(self, task):
        return [e for e in self.events
                if e["what"] == "start" and e["task"] == task]

    def running(self, task):
        return [e for e in self.executors if e.up and task in e.runs]

    async def submit(self, instance, job, spec, steps, prefix="/q/", **fields):
        body = dict({"task-spec": spec, "steps": steps}, **fields)
        status, answer = await instance.call("POST", prefix + job, body)
        self.log("client POST %s%s -> %s %s" % (prefix, job, status, answer))
        return status

    async def state(self, instance, job, prefix="/q/"):
        status, answer = await instance.call("GET", prefix + job)
        self.log("client GET %s%s -> %s %s" % (prefix, job, status, answer))
        return status, (answer or {}).get("state")

    async def finish(self):
        for instance in self.instances:
            await instance.kill()
        for event in self.events:
            fields = " ".join("%s=%s" % (k, v) for k, v in event.items()
                              if k not in ("at", "what", "executor"))
            self.lines.append((event["at"], "%8.3f executor %s %s %s" % (
                (event["at"] - self.start_ms) / 1000, event["executor"],
                event["what"], fields)))
        with open(self.record_file, "w") as out:
            for _, line in sorted(self.lines, key=lambda row: row[0]):
                out.write(line + "\n")


def run(main, folder):
    """Runs the case; exits with 1 if a rule was broken, 0 if all held, 2 if
    the case could not run."""

    async def body():
        case = Case(folder)
        code = 2
        try:
            broken = await asyncio.wait_for(main(case), 110)
            if broken is None:
                case.log("the case could not run")
            else:
                for text in broken:
                    case.log("BROKEN " + text)
                code = 1 if broken else 0
        except (Exception, asyncio.CancelledError) as failure:
            case.log("the case could not run: %r" % failure)
        finally:
            await case.finish()
            if os.environ.get("KEEP_LOGS"):
                print(case.temp)
            else:
                import shutil
                shutil.rmtree(case.temp, ignore_errors=True)
        case_result = {0: "held", 1: "broken", 2: "could not run"}[code]
        with open(case.record_file, "a") as out:
            out.write("result: %s (trouble=%d)\n" % (case_result, case.trouble))
        print(case_result)
        return code

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    task = loop.create_task(body())
    # The instances are ended in any case.
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    code = loop.run_until_complete(task)
    sys.stdout.flush()
    os._exit(code)
