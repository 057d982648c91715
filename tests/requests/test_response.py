"""Only the exact sequence of frames is accepted as a complete response."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.exceptions import PeerConnectionLost
from hibiscustray.peers import Data, End
from hibiscustray.requests import ResponseDigest, ResponseReader

payloads = st.lists(st.binary(max_size=6), min_size=1, max_size=8)
edits = st.lists(
    st.tuples(
        st.sampled_from(["drop", "repeat", "swap", "cross", "truncate", "change"]), st.integers(0)
    ),
    max_size=4,
)


def make_frames(request_id, items):
    digest = ResponseDigest(request_id)
    frames = []
    for item in items:
        number = digest.count
        digest.add([item])
        frames.append(Data(number, (item,), digest.checksum()))
    return [*frames, End(digest.count, digest.hexdigest())]


def edit_frames(frames, other, kind, at):
    """Return the frames with one fault injected."""
    at %= max(1, len(frames))
    match kind:
        case "drop":
            return frames[:at] + frames[at + 1 :]
        case "repeat":
            return frames[: at + 1] + frames[at:]
        case "swap":
            return frames[:at] + frames[at : at + 2][::-1] + frames[at + 2 :]
        case "cross":
            return frames[:at] + other[at:]
        case "truncate":
            return frames[:at]
    if at < len(frames) and isinstance(frames[at], Data):
        changed = Data(frames[at].number, (frames[at].payloads[0] + b"!",), frames[at].check)
        return [*frames[:at], changed, *frames[at + 1 :]]
    return frames


def read_response(request_id, frames):
    """Return the complete response, None if there is none, and the payloads accepted before."""
    reader, accepted = ResponseReader(request_id), []
    try:
        for frame in frames:
            if isinstance(frame, End):
                reader.finish(frame)
                return accepted, accepted
            accepted.extend(reader.accept(frame))
    except PeerConnectionLost:
        pass
    return None, accepted


@given(payloads, payloads, edits)
def test_faulty_frames_are_never_a_complete_response(items, others, faults):
    frames, other = make_frames("r1", items), make_frames("r2", others)
    for kind, at in faults:
        frames = edit_frames(frames, other, kind, at)
    response, accepted = read_response("r1", frames)
    assert response is None or response == items
    assert accepted == items[: len(accepted)]


@given(payloads)
def test_response_to_another_request_is_rejected_at_first_frame(items):
    assert read_response("r1", make_frames("r2", items)) == (None, [])


@given(payloads, st.integers(0, 8))
def test_resumed_response_must_continue_same_payloads(items, skip):
    skip = min(skip, len(items) - 1)
    frames = make_frames("r1", items)
    assert read_response("r1", frames[:skip] + frames[skip:])[0] == items
    differing = make_frames("r1", [b"other", *items[1:]])
    if items[0] != b"other" and skip:
        assert read_response("r1", frames[:skip] + differing[skip:])[0] is None
