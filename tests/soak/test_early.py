"""Responses of replicas that end early: what is sent, and that entries pass on no more."""

from __future__ import annotations

import random
import socket

import pytest

from hibiscustray.platform import standins
from hibiscustray.soak import (
    EarlyEnd,
    EarlyEnds,
    EntryFault,
    LinkFault,
    LinkState,
    ReplicaFault,
    SoakOptions,
    run_soak,
)
from hibiscustray.soak.early import (
    CHUNK_PLACES,
    ENDINGS,
    FRAMINGS,
    PLACES,
    generate_early_end,
    send_response,
)

PARTS = [b"first ", b"second ", b"third"]
BODY = b"".join(PARTS)
REQUEST = standins.ReceivedRequest("GET", "/book/look/1", {"x-hibiscustray-attempt-id": "r1"}, b"")
SECONDS = 8.0


def send(early: EarlyEnd) -> tuple[bytes, bytes, bool, list[bytes]]:
    """Return the head and body that are sent, whether a reset ends them, and the ends reported."""
    closed: list[bytes] = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname(), timeout=1.0)
        server, _ = listener.accept()
        with server:
            if early.ending == "silence":
                client.shutdown(socket.SHUT_WR)
            send_response(
                server,
                early,
                lambda **fields: standins.encode_success(REQUEST, **fields),
                PARTS,
                closed.append,
            )
        data, is_reset = b"", False
        with client:
            try:
                while block := client.recv(65536):
                    data += block
            except ConnectionResetError:
                is_reset = True
    head, _, body = data.partition(b"\r\n\r\n")
    return head, body, is_reset, closed


@pytest.mark.parametrize(
    ("framing", "place", "sent"),
    [
        ("length", "whole", BODY),
        ("length", "after head", b""),
        ("length", "part", b"first sec"),
        ("connection", "whole", BODY),
        ("connection", "between", b"first second "),
        ("chunks", "part", b"0006\r\nfirst \r\n0007\r\nsec"),
        ("chunks", "size", b"0006\r\nfirst \r\n00"),
        ("chunks", "last chunk", b"0006\r\nfirst \r\n0007\r\nsecond \r\n0005\r\nthird\r\n"),
        (
            "chunks",
            "trailer",
            b"0006\r\nfirst \r\n0007\r\nsecond \r\n0005\r\nthird\r\n0\r\n",
        ),
    ],
)
@pytest.mark.parametrize("ending", ENDINGS)
def test_a_response_ends_where_it_is_told_to(framing, place, sent, ending):
    head, body, is_reset, closed = send(EarlyEnd(framing, place, ending, share=0.5))
    assert (body, is_reset) == (sent, ending != "close")
    assert (b"Content-Length: 18" in head) == (framing == "length")
    assert (b"Transfer-Encoding: chunked" in head) == (framing == "chunks")
    # Only an orderly end is one that a caller may take for the end of the body.
    assert closed == ([sent] if framing == "connection" and ending == "close" else [])


@pytest.mark.parametrize("share", [0.0, 0.3, 0.6, 0.999])
def test_a_head_is_cut_before_its_end(share):
    early = EarlyEnd("connection", "head", "close", share, "1.0")
    whole = send(EarlyEnd("connection", "whole", "close", http_version="1.0"))[0]
    head, body, _, closed = send(early)
    assert whole.startswith(head.rstrip(b"\r\n")) and head and not body
    assert closed == []


def test_a_late_second_response_follows_a_whole_one():
    _, body, _, _ = send(EarlyEnd("length", "whole", "close", late_s=0.01))
    assert body.startswith(BODY + b"HTTP/1.1 200") and body.endswith(b"late")


def test_all_ends_are_generated():
    rng = random.Random(1)
    ends = [generate_early_end(rng) for _ in range(3000)]
    found = {(end.framing, end.place, end.ending) for end in ends}
    assert found == {
        (framing, place, ending)
        for framing in FRAMINGS
        for place in (CHUNK_PLACES if framing == "chunks" else PLACES)
        for ending in ENDINGS
    }
    assert {(end.framing, end.http_version) for end in ends} == {
        ("chunks", "1.1"),
        *((framing, version) for framing in ("length", "connection") for version in ("1.0", "1.1")),
    }
    assert any(end.late_s is not None for end in ends)


def make_ends(*framings: str) -> tuple[EarlyEnd, ...]:
    """Return an orderly end at each place of these framings."""
    return tuple(
        EarlyEnd(framing, place, "close", share)
        for framing in framings
        for place in (CHUNK_PLACES if framing == "chunks" else PLACES)
        for share in (0.2, 0.5, 0.95)
    )


def run(*ends: EarlyEnd, others: tuple = ()) -> tuple[dict[str, int], list[str]]:
    """Run a soak whose replicas all use these ends; return its outcomes and violations."""
    early = tuple(EarlyEnds(0.2, SECONDS - 2.0, number, ends) for number in range(4))
    options = SoakOptions(7, SECONDS, entries=2, replicas=4, callers=8)
    schedule = tuple(sorted((*early, *others), key=lambda step: step.at_s))
    report = run_soak(options, standins, schedule)
    return report.outcomes, [f"{v.rule}: {v.detail}" for v in report.violations]


@pytest.mark.parametrize("framings", [("length", "chunks"), ("connection",)], ids="-".join)
def test_responses_that_end_early_do_not_look_whole_to_callers_of_a_soak(framings):
    outcomes, violations = run(*make_ends(*framings))
    assert violations == []
    is_closed = {kind for kind in ("book", "look", "draft") if outcomes.get(f"{kind} 200 closed")}
    assert is_closed == ({"book", "look", "draft"} if "connection" in framings else set())


def test_responses_that_end_early_do_not_look_whole_while_entries_stop_and_links_reset():
    others = (
        EntryFault(1.0, 0.5, 0, "stop"),
        LinkFault(1.5, 0.5, "replica", 0, LinkState.RESET),
        LinkFault(2.0, 0.5, "replica", 1, LinkState.RESET),
        ReplicaFault(2.5, 1.0, 2, "quiet"),
        EntryFault(3.0, 0.5, 1, "kill"),
        ReplicaFault(3.5, 0.5, 3, "restart"),
    )
    _, violations = run(*make_ends("connection"), others=others)
    assert violations == []
