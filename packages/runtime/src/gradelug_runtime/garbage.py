"""Keeping the collector of cyclic garbage from walking over the configuration."""

from __future__ import annotations

import gc


def settle_garbage() -> None:
    """Collect once, then leave what is alive out of later collections.

    Called after a configuration has come into force: its tens of thousands of objects live until
    the next one and hold no cycles, so that they are freed without the collector; walking over
    them again and again holds up the loop, and with it the tokens of every stream.
    """
    gc.collect()
    gc.freeze()
