"""Which layers an engine is given first, so that two engines can serve a version together.

A version reaches an engine's VM in about the time that its bound allows. Half of its layers reach
it in half of that, and two engines that hold one half each serve until both are whole. The choice
depends on addresses alone, so that agents with different views agree.
"""

from __future__ import annotations

from hibiscustray.replicas import LayerSpan

WAVES = 2


def choose_first_span(host: str, layers: int, version: int) -> LayerSpan:
    """Return the half of the layers that the engine at an IP address is given first."""
    middle = layers // 2
    if _last_number(host) % 2 == 0:
        return LayerSpan(0, middle, version)
    return LayerSpan(middle, layers, version)


def choose_wave(host: str) -> int:
    """Return the wave in which an engine changes its weights; neighbours share one."""
    return _last_number(host) // 2 % WAVES


def is_partner(host: str, other: str) -> bool:
    """Tell whether the engines at two addresses hold different halves first."""
    return _last_number(host) % 2 != _last_number(other) % 2


def find_chunks(span: LayerSpan, layers: int, chunks: int) -> int:
    """Return the mask of the chunks that some layers are made of."""
    first = span.first * chunks // layers
    end = -(-span.end * chunks // layers)
    return (1 << end) - (1 << first)


def _last_number(host: str) -> int:
    """Return the last number of an IP address; VMs of a zone are numbered in turn."""
    text = host.rpartition(".")[2]
    return int(text) if text.isdigit() else 0
