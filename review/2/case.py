"""LOST: a work order that a stopping daemon took is cut when the daemon ends before its grace period does."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import standin  # noqa: E402  pylint: disable=wrong-import-position

DEADLINE_MS = 4000
WORK_S = 2.4  # Of a long work order; the others take 60 ms.
SEND_UNTIL_S = 5.8  # Callers keep an answer of the directory for up to three times its ttl_s of 2 s.


def case(record):
    config = standin.config([standin.route("orders", "/orders/", "unsafe", "records", timeout_ms=DEADLINE_MS, goal_ms=300)], [standin.service("records", max_conns=96)])
    fleet = standin.Fleet(3, record, config)
    try:
        for number in range(3):
            fleet.add_server(number, "records", slots=64)
        fleet.start_all()
        time.sleep(standin.CONTACT_S + 1)
        return drive(fleet, record)
    finally:
        fleet.end()


def drive(fleet, record):
    addresses = fleet.look_up(0)
    record(f"the directory names {addresses}")
    target = fleet.front(0)  # One of them.
    looked_up = time.monotonic()
    results = []
    threads = []

    def order(number, work_s):
        request = f"order-{number}"
        sent = time.monotonic()
        record(f"client sends {request} ({work_s} s of work) {sent - looked_up:.2f} s after the lookup")
        try:
            reply = standin.call(target, "POST", f"/orders/{number}", {"X-Request-Id": request, "X-Deadline-Ms": DEADLINE_MS, "Api-Key": standin.KEY, "Work-S": work_s}, b"valve", timeout=DEADLINE_MS / 1000)
            outcome = str(reply.status) if reply.is_complete else f"{reply.status}, cut"
        except TimeoutError:
            outcome = "no answer in time"
        except (OSError, EOFError, ValueError) as error:
            outcome = f"channel closed without an answer ({type(error).__name__})"
        record(f"client gets for {request}: {outcome} after {time.monotonic() - sent:.2f} s")
        results.append((request, sent, outcome))

    if standin.has_trouble():
        fleet.signal(0, signal.SIGTERM)
    stopped = time.monotonic()
    number = 0
    while time.monotonic() - looked_up < SEND_UNTIL_S:
        number += 1
        threads.append(threading.Thread(target=order, args=(number, WORK_S if number % 2 == 0 else 0.06)))
        threads[-1].start()
        time.sleep(0.1)
    if standin.has_trouble():
        try:
            fleet.processes[0].wait(standin.GRACE_S - (time.monotonic() - stopped))
            record(f"daemon 0 ended by itself {time.monotonic() - stopped:.2f} s after SIGTERM")
        except Exception:  # pylint: disable=broad-except
            fleet.processes[0].kill()
            record("daemon 0 was killed at the end of grace_s")
    for thread in threads:
        thread.join()
    ran = {request for server in fleet.servers for _, request, _ in server.runs}
    lost = []
    for request, sent, outcome in sorted(results, key=lambda entry: entry[1]):
        is_excused = sent - stopped <= 3.0  # "sent no later than 3 s after the SIGTERM"
        if request in ran and outcome.startswith("channel closed") and not is_excused:
            lost.append(request)
    answered = sum(1 for _, _, outcome in results if outcome == "200")
    refused = sum(1 for _, _, outcome in results if outcome == "503")
    record.result(f"{len(results)} orders: {answered} answered 200, {refused} refused 503; run by a server and cut without an answer, sent over 3 s after the SIGTERM: {len(lost)} {lost}")
    return not lost and (standin.has_trouble() or answered == len(results))


standin.run_case(FOLDER, case)
