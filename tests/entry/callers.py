"""Callers for tests, and the faults that tests inject."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

import msgspec

from hibiscustray.standins.site import TEAM_KEY, Site
from hibiscustray.web import HttpClient
from tests import waiting

wait_until = partial(waiting.wait_until, timeout_s=10.0)


@dataclass(frozen=True)
class CallerResponse:
    """A response with the outcome that the caller derives from it."""

    status: int
    outcome: str
    body: dict


class Caller:
    """Sends requests of one team to one entry of a site."""

    def __init__(self, site: Site, entry: int = 0) -> None:
        self.http = HttpClient(site.entries[entry].url, 60.0)
        self.service = site.shape.plain_service

    def headers(self, **extra: str) -> dict[str, str]:
        headers = {name.replace("_", "-"): value for name, value in extra.items()}
        return {"Authorization": f"Bearer {TEAM_KEY}"} | headers

    def book(self, reference: str, key: str = "", **extra: str) -> CallerResponse:
        if key:
            extra["Idempotency_Key"] = key
        body = msgspec.json.encode({"reference": reference})
        response = self.http.call(
            "POST", f"/v1/services/{self.service}", body, self.headers(**extra)
        )
        content = msgspec.json.decode(response.body)
        return CallerResponse(response.status, content.get("outcome", "answered"), content)

    def request_ticket(self) -> str:
        response = self.http.call(
            "POST", f"/v1/services/{self.service}/tickets", b"", self.headers()
        )
        assert response.status == 201
        return msgspec.json.decode(response.body)["key"]

    def open_stream(self, tokens: int):
        body = {
            "model": "guide-llm",
            "messages": [{"role": "user", "content": "where does the railcar stop"}],
            "max_tokens": tokens,
            "stream": True,
        }
        return self.http.open(
            "POST", "/v1/chat/completions", msgspec.json.encode(body), self.headers()
        )


def count_runs(site: Site, reference: str) -> int:
    return sum(plain.service.runs[reference] for plain in site.plains)


def kill(agent) -> None:
    """Stop an agent without grace, as when its VM dies."""
    agent.stop(0.0)
