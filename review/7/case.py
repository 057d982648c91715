"""Late heartbeats list servers again that have left."""

from __future__ import annotations

import sys
import threading
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "6"))

from rig2.deployment import CONTACT_S, TROUBLE, Deployment, judge, run_case  # noqa: E402
from rig2.server import HEARTBEAT_S  # noqa: E402

LOST_FROM_S, LOST_FOR_S = 4.0, 4.5
LAST_BEAT_S = LOST_FROM_S + LOST_FOR_S - 0.05
LEAVES_S = LOST_FROM_S + LOST_FOR_S + CONTACT_S + 0.1
LATE_BY_S = 4.85
"""Within the 1 to 6 s after which a write without an answer is done."""
LATE_S = LAST_BEAT_S + LATE_BY_S
ASKS_S = LATE_S + CONTACT_S + 0.1
"""Time of the next requests: the store has been left alone for `contactMs` again."""
EXPIRES_S = LATE_S + 3 * HEARTBEAT_S
"""After three status report intervals of silence the entry of a server is removed."""
STAYS_S = 9.0
LEAVING = 3


def run(folder: Path) -> int:
    """Run the case; return its exit status."""
    site = Deployment(folder, entries=3, servers=5)
    try:
        site.start()
        load = site.begin_load({"book": 2, "look": 1}, threads=12, per_s=20.0)
        leaving = site.servers[:LEAVING]
        site.wait_until(LAST_BEAT_S)
        if TROUBLE:
            # The heartbeats that they send now get no answer; the store does them later.
            for server in leaving:
                row = ("servers", server.id, server.make_beat())
                threading.Timer(LATE_BY_S, site.store.put, row).start()
                site.note(f"a heartbeat of {server.id} (ready) gets no answer")
        site.wait_until(LEAVES_S - 1.0)
        sent = load.stop()
        site.wait_until(LEAVES_S)
        leavers = {s.id: s.leave(is_announced=False, stays_s=STAYS_S) for s in leaving}
        for server, at in leavers.items():
            site.note(f"the store acknowledges that {server} is gone", at)
        site.wait_until(LATE_S)
        if TROUBLE:
            site.note("the store does the heartbeats")
        site.wait_until(ASKS_S)
        load = site.begin_load({"book": 1}, threads=24, per_s=200.0, keeps=0.0)
        site.wait_until(EXPIRES_S - 0.1)
        sent += load.stop()
        site.wait_until(EXPIRES_S)
        for server in leaving:
            site.store.remove("servers", server.id)
        late = site.find_late(sent, leavers, lambda entry, at: False)
        site.write_record(FOLDER / "record.txt", sent)
        return judge(sent, len(late), "requests reached servers that had left")
    finally:
        site.end()


run_case(run)
