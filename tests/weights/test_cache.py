"""Tests of the chunk cache."""

from __future__ import annotations

import hashlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.exceptions import CacheFull, ChunkCorrupt, ChunkMissing
from hibiscustray.weights import ChunkCache, Manifest
from hibiscustray.weights.cache import decode_bitmap, encode_bitmap, list_chunks

CHUNK_B = 4


def make_manifest(data: bytes) -> Manifest:
    chunks = [data[i : i + CHUNK_B] for i in range(0, len(data), CHUNK_B)]
    digests = tuple(hashlib.sha256(chunk).digest() for chunk in chunks)
    return Manifest("m", len(data), CHUNK_B, digests)


@given(st.binary(min_size=1, max_size=60), st.randoms(use_true_random=False))
def test_chunks_in_any_order_with_repeats_complete_the_version(data, random):
    manifest = make_manifest(data)
    cache = ChunkCache(1000)
    cache.add_version("d", manifest)
    order = [i for i in range(manifest.count) for _ in range(2)]
    random.shuffle(order)
    for index in order:
        start, length = manifest.locate_chunk(index)
        cache.put("d", index, data[start : start + length], "peer")
    assert cache.is_complete("d")
    assert b"".join(cache.get("d", i) for i in range(manifest.count)) == data
    held = decode_bitmap(encode_bitmap(cache.held("d")), manifest.count)
    assert list_chunks(held) == list(range(manifest.count))


def test_a_corrupt_chunk_is_not_stored():
    manifest = make_manifest(b"12345678")
    cache = ChunkCache(1000)
    cache.add_version("d", manifest)
    with pytest.raises(ChunkCorrupt) as caught:
        cache.put("d", 1, b"567x", "peer-9")
    assert caught.value.sender == "peer-9"
    assert list_chunks(cache.held("d")) == []


def test_only_versions_that_are_not_pinned_are_evicted():
    cache = ChunkCache(20)
    cache.add_version("old", make_manifest(b"x" * 12))
    cache.pin("old")
    with pytest.raises(CacheFull):
        cache.add_version("new", make_manifest(b"y" * 12))
    cache.unpin("old")
    cache.add_version("new", make_manifest(b"y" * 12))
    with pytest.raises(ChunkMissing):
        cache.get("old", 0)
