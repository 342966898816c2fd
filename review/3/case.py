"""LOST: streams that a rolling release has cut twice are taken for requests that crash servers, and refused."""

import os
import re
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import standin  # noqa: E402  pylint: disable=wrong-import-position

SERVERS = 4
REPLACED = 2  # release: share .5
GAP_S = 3.0  # Between two replacements.
DRAIN_S = 2.0  # drain_ms
LONGER_S = 0.3  # "and a little longer"
STREAMS = 210  # Long ones, which begin before the release.
EVENTS = 36
SHORT_EVENTS = 3
SHORT_RATE = 40  # Short streams a second, all the time.
EVENT_S = 0.25
LEAST_TAKEN_UP = 12
RECONNECT_S = 1.0  # After which a client takes up a stream that has broken off, as readers of event streams do.


class Server(standin.Server):
    """Says in all its answers that it leaves, once it drains."""

    def send_events(self, connection, process, version, request_id, head, fields):
        if request_id.startswith("short"):
            self.send_short(connection, process, version, head)
        else:
            super().send_events(connection, process, version, request_id, head, fields)

    def send_short(self, connection, process, version, head):
        connection.sendall(f"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, SHORT_EVENTS + 1):
            if self.is_gone(connection, process, 0.01):
                raise EOFError
            text = f"id: {number}\ndata: {version} {self.id}\n\n".encode()
            connection.sendall(f"{len(text):x}\r\n".encode() + text + b"\r\n")
        connection.sendall(b"0\r\n\r\n")

    def drain(self, fleet):
        fleet.list(self, "draining")
        self.extra_fields = "Server-Leaving: 1\r\n"
        self.record(f"server {self.id} ({self.version}) reports draining")


def case(record):
    config = standin.config([standin.route("hint", "/stream/", "stream", "llm", timeout_ms=12000, goal_ms=600, attempts=2, resumable=True, gap_goal_ms=600)], [standin.service("llm")])
    standin.Server, original = Server, standin.Server
    fleet = standin.Fleet(3, record, config)
    try:
        for number in range(SERVERS):
            fleet.add_server(number, "llm", events=EVENTS, event_s=EVENT_S)
        fleet.start_all()
        time.sleep(standin.CONTACT_S + 1)
        return drive(fleet, record)
    finally:
        standin.Server = original
        fleet.end()


def send(fleet, record, daemon, number, request, **fields):
    headers = {"X-Request-Id": request, "X-Deadline-Ms": 12000, "Api-Key": standin.KEY, **fields}
    record(f"client sends {request} to daemon {daemon}" + (f" after event {fields['Last-Event-Id']} of {fields['Resumes']}" if fields else ""))
    try:
        reply = standin.call(fleet.front(daemon), "POST", f"/stream/{number}", headers, f"prompt {number}".encode(), timeout=12)
    except (OSError, EOFError, ValueError) as error:
        record(f"client gets for {request}: {type(error).__name__}")
        return [], False
    events = re.findall(r"id: (\d+)\ndata: (\S+) (\S+)\n\n", reply.body.decode()) if reply.status == 200 else []
    title = "" if reply.status == 200 else f", {reply.body.decode()}, Retry-After: {reply.fields.get('retry-after')}"
    record(f"client gets for {request}: status {reply.status}, {len(events)} events, whole: {reply.is_complete}{title}")
    return events, reply.status == 200 and reply.is_complete


def drive(fleet, record):
    lock = threading.Lock()
    new = []  # (began, whole) of each new stream that begins while the release runs.
    taken_up = []
    whole = []

    # The sheet allows one repeat. A client takes a stream up at another daemon.
    def stream(number):
        request = f"stream-{number}"
        events, is_whole = send(fleet, record, number % 3, number, request)
        if not is_whole and events:
            time.sleep(RECONNECT_S)
            more, is_whole = send(fleet, record, (number + 1) % 3, number, f"{request}-again", **{"Last-Event-Id": events[-1][0], "Resumes": request})
            with lock:
                taken_up.append(bool(more))
        with lock:
            whole.append(is_whole)

    def short_stream(number):
        events, _ = send(fleet, record, number % 3, number, f"short-{number}")
        with lock:
            new.append(bool(events))

    threads = []
    release = None
    begin = time.monotonic()
    number = 0
    while release is None or release.is_alive() or time.monotonic() - begin < 16:
        number += 1
        threads.append(threading.Thread(target=short_stream, args=(number,)))
        threads[-1].start()
        if time.monotonic() - begin > 4 and release is None:
            threads += [threading.Thread(target=stream, args=(long,)) for long in range(STREAMS)]
            for thread in threads[-STREAMS:]:
                thread.start()
                time.sleep(0.003)
            new.clear()
            release = threading.Thread(target=replace_servers, args=(fleet, record))
            release.start()
        time.sleep(max(0.0, begin + number / SHORT_RATE - time.monotonic()))
    for thread in threads:
        thread.join()
    goes_on = sum(taken_up)
    new_share = sum(new) / len(new)
    record.result(f"{goes_on} of {len(taken_up)} streams that clients took up again went on; {sum(new)} of {len(new)} new streams began meanwhile; {sum(whole)} of {len(whole)} long streams whole")
    if standin.has_trouble() and len(taken_up) < LEAST_TAKEN_UP:
        raise RuntimeError("too few streams were taken up again")
    return not taken_up or goes_on / len(taken_up) >= new_share / 2


# The new server starts first, then the old one drains.
def replace_servers(fleet, record):
    if not standin.has_trouble():
        return
    exits = []
    for number in range(REPLACED):
        old = fleet.servers[number]
        new = fleet.add_server(10 + number, "llm", version="v2", events=EVENTS, event_s=EVENT_S)
        record(f"server {new.id} ({new.version}) starts")
        old.drain(fleet)
        exits.append(threading.Thread(target=leave, args=(fleet, old)))
        exits[-1].start()
        time.sleep(GAP_S)
    for thread in exits:
        thread.join()


def leave(fleet, server):
    time.sleep(DRAIN_S + LONGER_S)
    server.end_process()
    fleet.store.remove("servers", server.id)


standin.run_case(FOLDER, case)
