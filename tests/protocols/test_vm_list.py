"""The platform's list of VMs, which comes in pages."""

from __future__ import annotations

from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest

from hibiscustray.exceptions import StoreUnavailable
from hibiscustray.protocols import VmList
from hibiscustray.web.client import ClientResponse


class PagedHttp:
    """Returns one VM in each page."""

    def __init__(self, count: int, failing_page: int = -1) -> None:
        self._count = count
        self._failing_page = failing_page

    def call(self, method: str, path: str) -> ClientResponse:
        page = int(parse_qs(urlsplit(path).query).get("pageToken", ["0"])[0])
        if page == self._failing_page:
            return ClientResponse(503, {}, b"{}")
        metadata = {"items": [{"key": "hibiscustray-peer", "value": f"10.0.0.{page}:1"}]}
        body = {"items": [{"name": f"vm-{page}", "status": "RUNNING", "metadata": metadata}]}
        if page + 1 < self._count:
            body["nextPageToken"] = str(page + 1)
        return ClientResponse(200, {}, msgspec.json.encode(body))


def make_list(http: PagedHttp) -> VmList:
    vm_list = VmList("http://127.0.0.1:1", 1.0)
    vm_list._http = http
    return vm_list


@pytest.mark.parametrize("count", [1, 3])
def test_page_of_the_list_is_not_taken_for_the_whole_list(count):
    names = [vm.name for vm in make_list(PagedHttp(count)).read()]
    assert names == [f"vm-{number}" for number in range(count)]


def test_list_without_its_last_page_is_unavailable():
    with pytest.raises(StoreUnavailable):
        make_list(PagedHttp(3, failing_page=2)).read()
