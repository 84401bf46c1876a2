"""Runs of an engine stand-in that can be stopped, and continue from the memory that is kept."""

import itertools
import json


class MovableRun:
    """A run that is under way."""

    def __init__(self, first):
        self.events = first - 1
        """Number of its last event."""
        self.is_stopped = False


class MovableRuns:
    """Runs of one engine, and the memory that it keeps of runs that were stopped.

    Parameters
    ----------
    engines : dict
        The `MovableRuns` of all engines, by address.
    """

    _handles = itertools.count(1)

    def __init__(self, engines):
        self._engines = engines
        self._active = {}
        self._kept = {}
        """Requests whose memory is kept, by source address and handle."""
        self.address = ""

    def enter(self, address):
        """Let other engines copy to this one."""
        self.address = address
        self._engines[address] = self

    def begin(self, request_id, first):
        """Return a new run whose first event has this number."""
        run = self._active[request_id] = MovableRun(first)
        return run

    def end(self, request_id, run):
        if self._active.get(request_id) is run:
            del self._active[request_id]

    def take(self, request_id, path):
        """Use the memory of a request once; return whether it was kept."""
        return self._kept.pop(path, None) == request_id

    def report(self):
        """Return the part of a report that is about runs."""
        runs = [[name, 100, run.events, 5] for name, run in self._active.items()]
        return {"Queued": 0, "Active": len(runs), "Runs": runs}

    def move(self, inc):
        """Answer a request to copy the memory of a run, and with `Last` to stop the run."""
        asked = json.loads(inc.body)
        run = self._active.get(asked["Id"])
        if run is None:
            inc.respond(404, [], b"")
            return
        handle = f"h{next(self._handles)}"
        path = f"{self.address}/{handle}"
        if asked["Last"]:
            run.is_stopped = True
            del self._active[asked["Id"]]
            self._kept[path] = asked["Id"]
        target = self._engines.get(asked["TargetVersion"])
        if target is not None:
            target._kept[path] = asked["Id"]
        reply = {"handle": handle, "CreateRevision": run.events}
        inc.respond(200 if target is not None else 503, [], json.dumps(reply).encode())

    def release(self, inc):
        """Answer a request to drop the memory that is kept under a handle."""
        ending = "/" + inc.target.decode().rpartition("/")[2]
        for engine in self._engines.values():
            engine._kept = {
                path: one for path, one in engine._kept.items() if not path.endswith(ending)
            }
        inc.respond(200, [], b"")
