"""Late heartbeats let servers that leave get requests again."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig2.deployment import CONTACT_S, TROUBLE, Deployment, judge, run_case  # noqa: E402

LOST_FROM_S, LOST_FOR_S = 4.0, 4.5
LAST_BEAT_S = LOST_FROM_S + LOST_FOR_S - 0.05
LEAVES_S = LOST_FROM_S + LOST_FOR_S + CONTACT_S + 0.1
LATE_BY_S = 4.85
"""Within the 1 to 6 s after which a write without an answer is done."""
SILENCE_S = 3.6
"""Three status report intervals, after which the entry of a silent server is removed."""
STAYS_S = 9.0


def run(folder: Path) -> int:
    """Run the case; return its exit status."""
    site = Deployment(folder, entries=4, servers=7)
    try:
        site.start()
        load = site.begin_load({"book": 2, "look": 1}, threads=24, per_s=20.0)
        announced, *quiet = site.servers[:3]
        site.wait_until(LAST_BEAT_S)
        if TROUBLE:
            # The heartbeats that they send now get no answer; the store does them later.
            for server in (announced, *quiet):
                row = server.make_beat()
                timer = threading.Timer(LATE_BY_S, site.store.put, ("servers", server.id, row))
                timer.start()
                site.note(f"a heartbeat of {server.id} (ready) gets no answer")
        site.wait_until(LEAVES_S)
        leavers = {
            server.id: server.leave(is_announced=server is announced, stays_s=STAYS_S)
            for server in (announced, *quiet)
        }
        for server, at in leavers.items():
            site.note(f"the store acknowledges that {server} leaves", at)
        late_s = LAST_BEAT_S + LATE_BY_S
        site.wait_until(late_s)
        if TROUBLE:
            site.note("the store does the heartbeats")
        site.wait_until(late_s + SILENCE_S)
        for server in quiet:
            site.store.remove("servers", server.id)
        site.wait_until(late_s + SILENCE_S + 1.0)
        sent = load.stop()
        late = site.find_late(sent, leavers, lambda entry, at: False)
        site.write_record(FOLDER / "record.txt", sent)
        return judge(sent, len(late), "requests reached leaving servers later than drainMs")
    finally:
        site.end()


run_case(run)
