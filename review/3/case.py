"""A rolling restart of the daemons meets a return of the store from a copy."""

import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
from standins import *

WINDOW_S = 5
RATE_PER_DAEMON = 15
COPY_AGE_S = 3.0


def case(record, cleanups):
    net = free_net()
    platform = Platform((f"{net}.250", 8225), record, era=1)

    def handle(runner, connection, request):
        time.sleep(0.02)
        record.write(f"runner {runner.id} runs {request['id']} of {request['headers'].get('tenant')}")
        answer_plain(connection, request)

    entries = {}
    for number in (1, 2):
        runner = Runner(f"i-{number}", (f"{net}.{200 + number}", 8080), handle, record)
        entries[runner.id] = runner.entry()
        platform.put("servers", runner.id, entries[runner.id])
    platform.put("op", "config", config(7, [route("lookup", "/lookup/", "safe")]))
    stop = threading.Event()
    cleanups.append(stop.set)
    keep_heartbeats(platform, entries, stop)
    deployment = Deployment(3, platform, net, record)
    cleanups.append(deployment.stop)
    deployment.wait_ready()

    def load(index):
        while not stop.wait(1 / RATE_PER_DAEMON):
            id = unique(f"c{index}-")
            if not deployment.is_ready_cached(index):
                continue
            threading.Thread(target=lambda: consume(index, id), daemon=True).start()

    def consume(index, id):
        status = ask(deployment.ip(index), id, "/lookup/x", deadline_ms=3000, timeout=4)[0]
        record.write(f"consumer of daemon {index} sent {id}: {status}")

    # The balancer asks once a second; here a daemon gets nothing from its SIGTERM on.
    out = set()
    deployment.is_ready_cached = lambda index: index not in out
    for index in (1, 2, 3):
        threading.Thread(target=load, args=(index,), daemon=True).start()

    def restart(index):
        out.add(index)
        deployment.signal(index, signal.SIGTERM)
        deployment.processes[index].wait(12)
        record.write(f"daemon {index} has exited")
        deployment.start(index)
        while not deployment.is_ready(index):
            time.sleep(0.05)
        record.write(f"daemon {index} is ready again")
        out.discard(index)

    copies = []

    def back_up():
        while not stop.wait(0.1):
            copies.append((time.monotonic(), platform.copy()))

    threading.Thread(target=back_up, daemon=True).start()
    until = time.monotonic() + 40
    while len(platform.usage) < 2:
        if time.monotonic() > until:
            raise CannotRun("no usage is reported")
        time.sleep(0.05)
    holder = int(platform.usage[-1][2]["holder"].rsplit("-", 1)[1])
    first, second = [it for it in (1, 2, 3) if it != holder]
    record.write(f"daemon {holder} reports usage")
    window = int(time.time() // WINDOW_S) + 1
    end = (window + 1) * WINDOW_S
    record.write(f"window {window} ends at {record.now() + end - time.time():.3f}")

    def sleep_until(moment):
        time.sleep(max(0.0, moment - time.time()))

    # Planned work: the daemons are stopped and started again one after the other, the one that
    # reports usage last.
    sleep_until(end - 4.5)
    restart(first)
    restart(second)
    while not any(it[0] == window for it in platform.usage):
        if time.time() > end + 8:
            raise CannotRun("the window was not reported in time")
        time.sleep(0.02)
    record.write("the window is reported")
    last = threading.Thread(target=restart, args=(holder,), daemon=True)
    last.start()
    if TROUBLE:
        time.sleep(0.3)
        record.write("the store goes away")
        platform.is_down = True
        time.sleep(0.5)
        now = time.monotonic()
        platform.restore([it[1] for it in copies if it[0] <= now - COPY_AGE_S][-1])
        record.write(f"the store returns from a copy, era {platform.era}")
        # The operator and the runners write again what they wrote.
        platform.put("op", "config", platform.value("op", "config"))
        for id, entry in entries.items():
            platform.put("servers", id, entry)
        platform.is_down = False
    sleep_until(end + 25)
    by_window = {}
    for number, counts, headers in platform.usage:
        by_window.setdefault(number, []).append((counts, headers.get("holder")))
    broken = False
    for number, reports in sorted(by_window.items()):
        different = {json.dumps(it[0], sort_keys=True) for it in reports}
        if len(different) > 1:
            broken = True
            record.write(f"ONE: window {number} was reported as {reports}")
    return broken


if __name__ == "__main__":
    main(case, os.path.dirname(os.path.abspath(__file__)))
