"""Tests of the event loop in a process that is stopped and continued."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time

TIMER_MS = 1_000
STOP_S = 1.2
SETTLE_S = 0.3
"""Time within which the process waits for events."""

PROGRAM = f"""
import socket
import sys
from bambooglade.core import clock
from bambooglade.eventloop import loop as loop_lib

loop = loop_lib.EventLoop(clock.Clock())
sock = socket.socket(fileno=int(sys.argv[1]))
sock.setblocking(False)
done = []

def read(events):
    sock.recv(10)
    done.append("read")

loop.watch(sock, loop_lib.READ, read)
loop.call_later({TIMER_MS}, done.append, "timer")
print("started", flush=True)
loop.run(until=lambda: len(done) == 2)
print(*done)
"""


def test_data_that_arrived_during_a_stop_is_read_before_timers_run():
    own, other = socket.socketpair()
    with own, other:
        process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM, str(other.fileno())],
            pass_fds=[other.fileno()],
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            assert process.stdout.readline() == "started\n"
            time.sleep(SETTLE_S)
            process.send_signal(signal.SIGSTOP)
            os.waitpid(process.pid, os.WUNTRACED)
            own.send(b"data")
            time.sleep(STOP_S)
            process.send_signal(signal.SIGCONT)
            assert process.stdout.readline() == "read timer\n"
        finally:
            process.kill()
            process.wait()
            process.stdout.close()
