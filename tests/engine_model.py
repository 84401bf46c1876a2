"""Simulated engine with weight slots, an order sequence, fencing tokens and delayed reports."""

from gradelug_gateway.model import AdapterKey, EngineReport, Holding, OrderOutcome

SLOTS = 3
MODEL = AdapterKey("m")
REPORT_LAG_S = 0.2


class ModelEngine:
    """An engine that checks the order sequence and fencing tokens and crashes if overfilled."""

    def __init__(self, clock, versions, checks_tokens=True):
        self.checks_tokens = checks_tokens
        self.clock = clock
        self.versions = versions
        self.held = {MODEL: 1}
        self.ready_at = {MODEL: clock()}
        self.orders = 0
        self.fence = 0
        self.is_overfilled = False
        self.cached = set()
        """Adapters and versions in host memory, which load ten times as fast."""
        self.users = {}
        self.leaving = set()
        self.history = []
        self._record_state()

    def carry_out(self, order):
        if self.checks_tokens and order.fence < self.fence:
            return OrderOutcome.OUTRANKED
        self.fence = order.fence
        if order.expected != self.orders:
            return OrderOutcome.CONFLICT
        outcome = self._load(order) if order.load else self._unload(order)
        self._record_state()
        return outcome

    def use(self, key, count):
        """Set how many requests use an adapter; a pending unload completes with the last one."""
        self.users[key] = count
        for leaving in [candidate for candidate in self.leaving if not self._is_used(candidate)]:
            self.leaving.discard(leaving)
            self._drop(leaving)
            self._record_state()

    def can_run(self, key):
        needed = (key, AdapterKey(key.model)) if key is not None else (key,)
        return all(
            candidate in self.held and self.ready_at[candidate] <= self.clock()
            for candidate in needed
        )

    def _is_used(self, key):
        """Tell whether requests use some weights; requests for adapters also use the model."""
        return any(
            count and used is not None and key in (used, AdapterKey(used.model))
            for used, count in self.users.items()
        )

    def report(self):
        at = self.clock() - REPORT_LAG_S
        visible = self.history[0]
        for state in self.history:
            if state[0] <= at:
                visible = state
        _, orders, held, ready_at = visible
        ready = [Holding(key, held[key]) for key in held if ready_at[key] <= at]
        loading = [Holding(key, held[key]) for key in held if ready_at[key] > at]
        return EngineReport(
            orders, tuple(ready), tuple(loading), frozenset(), MODEL in self.leaving
        )

    def _load(self, order):
        version = order.version or self.versions.get(order.key, 1)
        if self.held.get(order.key) == version:
            return OrderOutcome.HOLDS
        self.orders += 1
        self.held[order.key] = version
        load_s = 0.6
        if order.key.adapter:
            load_s = 0.025 if (order.key, version) in self.cached else 0.25
            self.cached.add((order.key, version))
        self.ready_at[order.key] = self.clock() + load_s
        if sum(bool(key.adapter) for key in self.held) > SLOTS:
            self.is_overfilled = True
        return OrderOutcome.TAKEN

    def _unload(self, order):
        self.orders += 1
        if self._is_used(order.key):
            self.leaving.add(order.key)
            return OrderOutcome.TAKEN
        self._drop(order.key)
        return OrderOutcome.HOLDS

    def _drop(self, dropped):
        """Drop weights, and with a model all its adapters."""
        self.held.pop(dropped, None)
        if not dropped.adapter:
            self.held = {key: at for key, at in self.held.items() if key.model != dropped.model}

    def _record_state(self):
        self.history.append((self.clock(), self.orders, dict(self.held), dict(self.ready_at)))
