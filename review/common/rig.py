"""Stand-ins for the scripts of the review: the store, executors and machines.

They follow PROTOCOL.md as a sound platform would: one thread for each
connection, loopback addresses and the real clock. A script starts them in its
own process, and the project's program as separate processes.
"""
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "instance", "geraniumrack-instance")
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def __call__(self, *words):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (now(), " ".join(str(w) for w in words)))
            self.file.flush()


class Reset(Exception):
    """The connection is reset without an answer."""


class Server:
    """An HTTP/1.1 server; handle(method, path, query, headers, body) returns
    a status and an object, raises Reset, or returns None: no answer ever."""

    def __init__(self, handle, host="127.0.0.1", port=0):
        self.handle = handle
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((host, port))
        self.sock.listen(256)
        self.port = self.sock.getsockname()[1]
        self.address = "%s:%d" % (host, self.port)
        self.open = set()
        self.lock = threading.Lock()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            with self.lock:
                self.open.add(conn)
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def reset(self, conn):
        try:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass
        # Wakes a thread that reads from it.
        conn.close()

    def reset_all(self):
        with self.lock:
            conns = list(self.open)
            self.open.clear()
        for conn in conns:
            try:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
                conn.shutdown(socket.SHUT_RD)
            except OSError:
                pass

    def close(self):
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        self.reset_all()

    def serve(self, conn):
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = conn.makefile("rb")
        try:
            while self.serve_one(conn, reader):
                pass
        except Reset:
            reader.close()
            self.reset(conn)
        except (OSError, ValueError):
            pass
        with self.lock:
            self.open.discard(conn)
        reader.close()
        conn.close()

    def serve_one(self, conn, reader):
        line = reader.readline()
        if not line:
            return False
        method, target, _ = line.decode().split(" ", 2)
        headers = {}
        while True:
            line = reader.readline().decode().strip()
            if not line:
                break
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
        text = reader.read(int(headers.get("content-length", 0)))
        body = json.loads(text) if text else {}
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        answer = self.handle(method, url.path, query, headers, body)
        if answer is None:
            while reader.read(1):
                pass
            return False
        status, value = answer
        text = json.dumps(value).encode()
        conn.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                     b"Content-Length: %d\r\n\r\n%s" % (status, len(text), text))
        return headers.get("connection", "").lower() != "close"


class Store:
    """The platform's store. Each instance has a gate of its own to it, so that
    trouble can be limited to some instances."""

    def __init__(self, answer_s=0.004):
        self.cond = threading.Condition()
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1
        self.answer_s = answer_s
        threading.Thread(target=self.expire, daemon=True).start()

    def gate(self):
        return Gate(self)

    def expire(self):
        while True:
            time.sleep(0.02)
            with self.cond:
                for lease, row in list(self.leases.items()):
                    if now() >= row["until"]:
                        self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [k for k, v in self.items.items() if v["lease"] == lease]
        for key in gone:
            self.change([], [key])

    def change(self, writes, removals):
        self.revision += 1
        for row in writes:
            old = self.items.get(row["key"])
            item = {"key": row["key"], "value": row.get("value", ""),
                    "revision": self.revision, "lease": row.get("lease", 0),
                    "created-rev": old["created-rev"] if old else self.revision}
            self.items[row["key"]] = item
            self.events.append(item)
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.events.append({"key": key, "revision": self.revision,
                                    "deleted": True})
        self.cond.notify_all()

    def put(self, key, value):
        """A write of the operator or of an executor."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self.cond:
            self.change([{"key": key, "value": text}], [])

    def remove(self, key):
        with self.cond:
            self.change([], [key])

    def text(self, key):
        with self.cond:
            item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def call(self, method, path, query, body):
        if path == "/v1/kv-watch":
            return self.watch(query)
        time.sleep(self.answer_s)
        with self.cond:
            if path == "/v1/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"as-of": self.revision}
                return 200, dict(item, **{"as-of": self.revision})
            if path == "/v1/kv-range":
                keys = sorted(k for k in self.items
                              if k.startswith(query["prefix"])
                              and k > query.get("after", ""))
                return 200, {"items": [self.items[k] for k in keys[:500]],
                             "truncated": len(keys) > 500,
                             "as-of": self.revision}
            if path == "/v1/kv-txn":
                return self.txn(body)
            if path == "/v1/kv-lease":
                lease = self.next_lease
                self.next_lease += 1
                self.leases[lease] = {"ttl": body["ttl-ms"],
                                      "until": now() + body["ttl-ms"] / 1000}
                return 200, {"lease": lease, "ttl-ms": body["ttl-ms"]}
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            if path.startswith("/v1/kv-keep/"):
                row = self.leases[lease]
                row["until"] = now() + row["ttl"] / 1000
                return 200, {"lease": lease, "ttl-ms": row["ttl"]}
            self.end_lease(lease)
            return 200, {}

    def txn(self, body):
        held = True
        items = []
        for row in body.get("expected-rev", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                held = False
            if item:
                items.append(item)
        if not held:
            return 412, {"items": items}
        for row in body.get("writes", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        self.change(body.get("writes", []), body.get("remove", []))
        return 200, {"revision": self.revision}

    def watch(self, query):
        until = now() + min(int(query["wait-ms"]), 30000) / 1000
        after = int(query["after"])
        with self.cond:
            while True:
                events = [e for e in self.events if e["revision"] > after
                          and e["key"].startswith(query["prefix"])]
                left = until - now()
                if events or left <= 0:
                    return 200, {"events": events, "as-of": self.revision}
                self.cond.wait(left)


class Gate:
    """The way of one instance to the store. mode: ok, busy (503), cut (no
    answer) or refuse (resets). before and after see each call; a call for which
    before returns True gets no answer."""

    def __init__(self, store):
        self.store = store
        self.mode = "ok"
        self.before = None
        self.after = None
        self.server = Server(self.handle)
        self.address = self.server.address

    def handle(self, method, path, query, headers, body):
        if self.before is not None and self.before(method, path, query, body):
            return None
        answer = self.trouble()
        if answer is not False:
            return answer
        answer = self.store.call(method, path, query, body)
        if self.after is not None:
            self.after(method, path, query, body, answer)
        trouble = self.trouble()
        return answer if trouble is False else trouble

    def trouble(self):
        if self.mode == "busy":
            return 503, {}
        if self.mode == "cut":
            return None
        if self.mode == "refuse":
            raise Reset()
        return False


class Executor:
    """One executor: runs tasks for the time that their spec names (run_ms=N),
    under one lease, with fences, and lists its ends until they are noted."""

    def __init__(self, rig, name, rack="r1", zone="a", machine=None,
                 gpu=8, answer_s=0.001, labels=()):
        self.rig = rig
        self.id = name
        self.machine = machine or name
        self.labels = ["a", rack] + list(labels)
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.since = now()
        self.capacity = {"cpu": 128000, "mem-mb": 262144, "gpu": gpu}
        self.cond = threading.Condition()
        self.fence = 0
        self.deadline = 0
        self.running = {}
        self.ended = []
        self.n_ends = 0
        self.highest = {}
        self.answer_s = answer_s
        self.sequence = 0
        self.alive = True
        self.dark = False
        self.grey = False  # rejects all starts
        self.worst = 0  # most tasks at a time
        self.before = None
        self.server = Server(self.handle)
        threading.Thread(target=self.work, daemon=True).start()

    def clock(self):
        return int((now() - self.since) * 1000)

    def register(self):
        self.sequence += 1
        self.rig.store.put("servers/" + self.id, {
            "id": self.id, "service": "render", "address": self.server.address,
            "zone": self.zone, "config-version": 1, "slots": 8,
            "state": "ready", "cold-left-ms": 0, "sequence": self.sequence,
            "capacity": self.capacity, "labels": self.labels,
            "machine": self.machine, "born": self.born})

    def beat(self):
        born = self.born
        while self.alive and self.born == born:
            self.register()
            time.sleep(1.5)

    def end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.n_ends += 1
        self.ended.append([self.n_ends, task, run["run"], how, ""])
        self.rig.note_end(self, task, run["run"], how)
        self.cond.notify_all()

    def leave(self):
        """Everything on it terminates, and its process is gone."""
        with self.cond:
            self.alive = False
            for task in list(self.running):
                run = self.running.pop(task)
                self.rig.note_end(self, task, run["run"], "gone")
            self.cond.notify_all()
        self.rig.store.remove("servers/" + self.id)
        if self.server is not None:
            self.server.close()

    def work(self):
        born = self.born
        while self.alive and self.born == born:
            time.sleep(0.01)
            with self.cond:
                for task, run in list(self.running.items()):
                    if self.clock() >= self.deadline:
                        self.end(task, "lapsed")
                    elif run["stop"] and now() >= run["stop"]:
                        self.end(task, "stopped")
                    elif run["until"] and now() >= run["until"]:
                        self.end(task, "done")

    def percent(self, run):
        if run["until"]:
            return min(99, int(100 * (now() - run["from"])
                               / (run["until"] - run["from"])))
        return 100 if now() - run["from"] > 0.3 else 50

    def answer(self, status, **more):
        return status, dict(more, **{"clock-ms": self.clock(), "born": self.born})

    def lose_power(self):
        """Everything on it terminates; it is silent, and its entry lapses."""
        with self.cond:
            self.alive = False
            self.dark = True
            for task in list(self.running):
                run = self.running.pop(task)
                self.rig.note_end(self, task, run["run"], "gone")
            self.cond.notify_all()
        self.rig.record(self.id, "loses power")
        timer = threading.Timer(4.5, self.rig.store.remove, ["servers/" + self.id])
        timer.daemon = True
        timer.start()

    def crash(self):
        """The process ends; its machine refuses connections."""
        with self.cond:
            self.alive = False
            for task in list(self.running):
                run = self.running.pop(task)
                self.rig.note_end(self, task, run["run"], "gone")
            self.cond.notify_all()
        self.rig.record(self.id, "crashes")
        port = self.server.port
        self.server.close()
        self.server = None
        self.port = port

    def restart(self):
        """Starts again under its id, with nothing of before."""
        with self.cond:
            self.fence = self.deadline = self.n_ends = 0
            self.ended = []
            self.highest = {}
            self.born = int(time.time() * 1000)
            self.since = now()
            self.alive = True
        self.server = Server(self.handle, port=self.port)
        self.rig.record(self.id, "starts again")
        threading.Thread(target=self.work, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def handle(self, method, path, query, headers, body):
        born = self.born
        answer = self.act(path, headers, body)
        if self.dark:
            return None
        if not self.alive or self.born != born:
            raise Reset()  # the process has ended meanwhile
        return answer

    def act(self, path, headers, body):
        time.sleep(self.answer_s)
        if self.dark:
            return None
        if self.before is not None and self.before(path, body) is None:
            return None
        if not self.alive:
            raise Reset()
        if headers.get("x-expect-instance", self.id) != self.id:
            return self.answer(421)
        with self.cond:
            if body.get("fencing-token", 0) < self.fence:
                return self.answer(409, reason="fence")
            self.fence = body.get("fencing-token", 0)
            if path == "/v1/run-start":
                return self.start(body)
            if path == "/v1/run-stop":
                return self.stop(body)
            if path == "/v1/hold":
                return self.hold(body)
        return self.answer(200)

    def extend(self, deadline):
        self.deadline = max(self.deadline,
                            min(deadline, self.clock() + self.rig.max_hold_ms))

    def start(self, body):
        task, run = body["task"], body["run"]
        at = self.running.get(task)
        if self.grey:
            self.rig.record("start", task, "run", run, "on", self.id, "-> 503")
            return self.answer(503)
        if at and at["run"] == run:
            return self.answer(200)
        if at or run <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        if body["deadline-ms"] <= self.clock():
            return self.answer(409, reason="late")
        spec = dict(w.split("=") for w in body["task-spec"].split())
        run_ms = int(spec.get("run_ms", 0))
        self.extend(body["deadline-ms"])
        self.running[task] = {"run": run, "from": now(), "stop": 0,
                              "until": now() + run_ms / 1000 if run_ms else 0}
        self.rig.note_start(self, task, run, body["fencing-token"])
        # No script has jobs of different sizes at a time.
        self.worst = max(self.worst, len(self.running))
        return self.answer(200)

    def stop(self, body):
        task, run = body["task"], body["run"]
        at = self.running.get(task)
        if at and at["run"] <= run and not at["stop"]:
            at["stop"] = now() + 0.05
        self.highest[task] = max(self.highest.get(task, 0), run)
        return self.answer(200)

    def hold(self, body):
        if body.get("deadline-ms"):
            self.extend(body["deadline-ms"])
        self.ended = [e for e in self.ended if e[0] > body.get("seen-upto", 0)]
        until = now() + min(body.get("wait-ms", 0), 2000) / 1000
        n_ends = self.n_ends
        while (self.alive and self.n_ends == n_ends and not self.ended
               and now() < until):
            self.cond.wait(until - now())
        rows = [[t, r["run"], "", self.percent(r), 0]
                for t, r in self.running.items()]
        return self.answer(200, running=rows, ended=self.ended[:500])


class Cloud:
    """GET /v1/machines and POST /v1/machine-upkeep."""

    def __init__(self, rig, upkeep_s=2.0, answer_s=0.004):
        self.rig = rig
        self.upkeep_s = upkeep_s
        self.answer_s = answer_s
        self.machines = {}
        self.waves = {}
        self.lock = threading.Lock()
        self.server = Server(self.handle)
        self.address = self.server.address

    def add(self, executor):
        self.machines[executor.machine] = {
            "machine": executor.machine, "state": "up", "executor": executor,
            "fence": 0, "done": set()}

    def handle(self, method, path, query, headers, body):
        time.sleep(self.answer_s)
        with self.lock:
            if path == "/v1/machines":
                rows = []
                for row in self.machines.values():
                    e = row["executor"]
                    rows.append({"machine": row["machine"], "pool": "render",
                                 "state": row["state"], "zone": e.zone,
                                 "labels": e.labels, "capacity": e.capacity,
                                 "id": e.id if row["state"] == "up" else ""})
                return 200, {"machines": rows, "next-token": ""}
            return self.upkeep(headers, body)

    def upkeep(self, headers, body):
        row = self.machines.get(body["machine"])
        holder = headers.get("x-duty-holder")
        fence = int(headers.get("x-fencing-token", 0))
        if row is None:
            return 400, {}
        if fence < row["fence"]:
            return 409, {"reason": "fence"}
        row["fence"] = fence
        if body["wave"] in row["done"]:
            return 200, {}
        if row["state"] != "up":
            return 409, {"reason": "busy"}
        if row["machine"] not in self.waves.get(body["wave"], {}).get("machines", []):
            return 409, {"reason": "wave"}
        row["done"].add(body["wave"])
        row["state"] = "upkeep"
        down = sorted(m for m, r in self.machines.items() if r["state"] == "upkeep")
        self.rig.record("upkeep of", row["machine"], "by", holder, "fence", fence,
                        "down:", ",".join(down))
        self.rig.note_upkeep(row["machine"], down)
        threading.Thread(target=self.restore, args=(row,), daemon=True).start()
        return 200, {}

    def restore(self, row):
        old = row["executor"]
        old.leave()
        time.sleep(self.upkeep_s)
        new = self.rig.add_executor(old.id + "x", old.labels[1], old.zone,
                                    row["machine"], labels=old.labels[2:],
                                    answer_s=old.answer_s)
        with self.lock:
            row["executor"] = new
            row["state"] = "up"
        self.rig.record("machine", row["machine"], "is up as", new.id)


SETTINGS = """[instance]
name = {name}
data_centre = a
cpu_share = 0.25
client_address = 127.0.0.1:{front}
ready_address = 127.0.0.1:{ready}
metrics_address = 127.0.0.1:{metrics}
[platform]
store_address = {store}
advice_address =
machines_address = {cloud}
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


def free_port():
    """A port below those that the system gives to outgoing connections, so that
    none takes it before the instance does, or while that is restarted."""
    while True:
        port = random.randrange(12000, 30000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Instance:
    """A process of the deploy file's command."""

    def __init__(self, rig, name):
        self.rig = rig
        self.name = name
        self.gate = rig.store.gate()
        self.front = free_port()
        self.file = os.path.join(rig.folder, name + ".ini")
        with open(self.file, "w") as file:
            file.write(SETTINGS.format(
                name=name, front=self.front, ready=free_port(),
                metrics=free_port(), store=self.gate.address,
                cloud=rig.cloud.address if rig.cloud else ""))
        self.start()

    def start(self):
        env = {"PATH": os.environ.get("PATH", ""),
               "GERANIUMRACK_NODE_FILE": self.file}
        self.log = open(os.path.join(self.rig.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=env,
                                        stdout=self.log, stderr=self.log)

    def signal(self, number):
        self.process.send_signal(number)
        self.rig.record("signal", signal.Signals(number).name, "to", self.name)

    def call(self, method, path, body=None, timeout=3.0):
        """Sends a client's call. Returns its status and body; status 0: there
        was no whole answer."""
        text = json.dumps(body).encode() if body is not None else b""
        try:
            with socket.create_connection(("127.0.0.1", self.front), timeout) as sock:
                sock.settimeout(timeout)
                sock.sendall(b"%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s"
                             b"\r\nX-Request-Deadline: %d\r\nConnection: close\r\n"
                             b"Content-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n%s"
                             % (method.encode(), path.encode(), b"jobs.example",
                                b"key-1", int(timeout * 1000), len(text), text))
                data = b""
                while True:
                    part = sock.recv(65536)
                    if not part:
                        break
                    data += part
            head, _, rest = data.partition(b"\r\n\r\n")
            return int(head.split()[1]), rest.decode()
        except (OSError, IndexError, ValueError) as error:
            return 0, str(error)


class Rig:
    def __init__(self, folder, cloud=False):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.max_hold_ms = 10000
        self.store = Store()
        self.cloud = Cloud(self) if cloud else None
        self.executors = []
        self.instances = []
        self.runs = []
        self.upkeeps = []
        self.lock = threading.Lock()

    def note_start(self, executor, task, run, fence):
        with self.lock:
            self.runs.append({"task": task, "run": run, "on": executor.id,
                              "from": now(), "to": None, "how": None})
        self.record("start", task, "run", run, "on", executor.id, "fence", fence)

    def note_end(self, executor, task, run, how):
        with self.lock:
            for row in self.runs:
                if (row["task"], row["run"], row["on"]) == (task, run, executor.id):
                    row["to"], row["how"] = now(), how
        self.record("end", task, "run", run, "on", executor.id, how)

    def note_upkeep(self, machine, down):
        self.upkeeps.append((now(), machine, down))

    def add_executor(self, name, rack="r1", zone="a", machine=None, **more):
        executor = Executor(self, name, rack, zone, machine, **more)
        self.executors.append(executor)
        threading.Thread(target=executor.beat, daemon=True).start()
        return executor

    def configure(self, version=1, **more):
        route = {"name": "q", "host": "jobs.example", "prefix": "/q/",
                 "service": "render", "priority": 1, "max-attempts": 3,
                 "timeout-ms": 3000, "slo-ms": 1000, "stretch": 3.0}
        self.store.put("op/config", dict({
            "config-version": version, "routes": [route],
            "services": [{"name": "render", "rejects-overload": True}],
            "tenants": [{"name": "t1", "api-keys": ["key-1"]}],
            "limits": {}}, **more))

    def start_instances(self, count):
        for i in range(count):
            self.instances.append(Instance(self, "i%d" % i))

    def owner(self):
        """The instance that holds gr/owner, or None."""
        text = self.store.text("gr/owner")
        name = text.decode().split()[0] if text else None
        return next((i for i in self.instances if i.name == name), None)

    def wait(self, condition, seconds):
        until = now() + seconds
        while now() < until:
            value = condition()
            if value:
                return value
            time.sleep(0.02)
        return None

    def close(self):
        for instance in self.instances:
            if instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
            instance.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def trouble():
    """False if run.sh was called with TROUBLE=0."""
    return "--without-trouble" not in sys.argv[1:]


def run(main):
    """Exits with what main returns, or with 2 if it fails itself."""
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
