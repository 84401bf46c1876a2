"""Gateways as processes whose clients keep to no limit: life, memory and descriptors."""

import asyncio

import pytest
from hostile_clients import (
    BODY_BYTES,
    FILE_DESCRIPTORS,
    HostileSite,
    announced,
    chunks,
    endless_head,
    half_head,
    nothing,
    requests_ahead,
)

# One after the other: each of them fills the memory of a process.
pytestmark = pytest.mark.xdist_group("memory")

MEMORY_MB = 160
"""Memory of the smallest instances."""
MAX_FDS = 600
LARGE_CHUNK_BYTES = 65_536
OVER_BYTES = 16 * BODY_BYTES


def survives(folder, crowds, memory_mb=MEMORY_MB, max_fds=4_100):
    """Let crowds of clients, as counts and what each sends, call one gateway and check it."""

    async def scenario():
        async with HostileSite(folder, memory_mb, max_fds) as site:
            pid = site.gateway.process.pid
            async with asyncio.TaskGroup() as group:
                for clients, pieces in crowds:
                    group.create_task(site.crowd(clients, pieces))
            await site.end_crowd()
            is_answered = await site.is_answered()
            assert site.gateway.is_running
            assert site.gateway.process.pid == pid
            highest = site.gateway.memory_kb("VmHWM") * 1_024
            print(
                f"peak {highest / 1e6:.0f} MB, {site.peak_bytes / 1e6:.0f} MB with what was not "
                f"read, {site.max_sockets} sockets, answered: {is_answered}"
            )
            assert max(highest, site.peak_bytes) <= site.memory_bytes
            assert site.max_sockets <= max_fds - FILE_DESCRIPTORS
            assert is_answered

    asyncio.run(scenario())


class TestBodies:
    def test_bodies_in_large_chunks_that_stop_short_of_their_end_filled_the_memory(self, tmp_path):
        survives(tmp_path, [(200, lambda: chunks(BODY_BYTES, LARGE_CHUNK_BYTES))])

    def test_bodies_in_chunks_of_two_bytes_filled_the_memory(self, tmp_path):
        survives(tmp_path, [(60, lambda: chunks(BODY_BYTES, 2))])

    def test_announced_bodies_over_the_limit_filled_the_memory(self, tmp_path):
        survives(tmp_path, [(100, lambda: announced(OVER_BYTES))])

    def test_chunked_bodies_over_the_limit_filled_the_memory(self, tmp_path):
        survives(tmp_path, [(100, lambda: chunks(OVER_BYTES, LARGE_CHUNK_BYTES))])


class TestRequestsAhead:
    def test_requests_ahead_with_unread_answers_filled_the_memory(self, tmp_path):
        survives(tmp_path, [(200, lambda: requests_ahead(1_500))])


class TestHeads:
    def test_heads_without_end_filled_the_memory(self, tmp_path):
        survives(tmp_path, [(300, endless_head)])

    def test_halves_of_long_heads_filled_the_memory(self, tmp_path):
        survives(tmp_path, [(600, half_head)])


class TestConnections:
    def test_connections_that_send_nothing_took_all_descriptors(self, tmp_path):
        survives(tmp_path, [(MAX_FDS + 100, nothing)], max_fds=MAX_FDS)


def test_clients_of_all_kinds_together_filled_the_memory(tmp_path):
    kinds = [
        lambda: chunks(BODY_BYTES, LARGE_CHUNK_BYTES),
        lambda: chunks(BODY_BYTES, 2),
        lambda: announced(OVER_BYTES),
        lambda: chunks(OVER_BYTES, LARGE_CHUNK_BYTES),
        lambda: requests_ahead(1_500),
        endless_head,
        half_head,
        nothing,
    ]
    survives(tmp_path, [(20, pieces) for pieces in kinds])
