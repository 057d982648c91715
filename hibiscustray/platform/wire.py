"""Names in the platform's protocols: headers, paths, tables, keys and an environment variable."""

from __future__ import annotations

import os
import re
from pathlib import Path

from hibiscustray.exceptions import SettingsError

SETTINGS_VARIABLE = "HIBISCUSTRAY_BOOT"
"""Environment variable with the path of the settings file."""

ATTEMPT_ID = "X-Hibiscustray-Attempt-Id"
TIME_LEFT_MS = "X-Hibiscustray-Deadline-Ms"
SERVER_SEAL = "X-Hibiscustray-Server-Seal"
TEAM = "X-Hibiscustray-Tenant"
EXPECTED_REPLICA = "X-Hibiscustray-Expect-Instance"
EXPECTED_VERSION = "X-Hibiscustray-Expect-Version"
REPLICA_LOAD = "X-Hibiscustray-Replica-Load"
NOT_RUN = "X-Hibiscustray-Not-Executed"
RATE_LIMIT = "Server-Limit"
RETRY_AFTER = "Retry-After"
SERVER_LEAVING = "Server-Leaving"
MODEL = "X-Hibiscustray-Model"
TOKEN_COUNTS = "X-Hibiscustray-Token-Count"
EXPECTED_OUTPUT_TOKENS = "X-Hibiscustray-Length-Hint"
PROMPT_PARTS = "X-Hibiscustray-Prompt-Prefix"
URGENCY = "X-Hibiscustray-Urgency-Class"
WEIGHT_VERSIONS = "X-Hibiscustray-Weight-Versions"
LAST_EVENT_ID = "Last-Event-Id"
AUTHORIZATION = "Authorization"
BEARER_PREFIX = "Bearer "

READY_PATH = "/v1/ready"
REPORT_PATH = "/v1/report"
ORDER_PATH = "/v1/order"
MANIFEST_PATH = "/v1/manifest/"
CHUNK_PATH = "/v1/piece/"
STAGE_PUT_PATH = "/v1/stage-put/"
STAGE_GET_PATH = "/v1/stage-get/"
ROWS_GET_PATH = "/v1/rows-get"
ROWS_TX_PATH = "/v1/rows-tx"
ROWS_FEED_PATH = "/v1/rows-feed"
OBJECT_PUT_PATH = "/v1/blob-put/"
OBJECT_GET_PATH = "/v1/blob-get/"

OPERATOR_TABLE = "op"
REPLICA_TABLE = "servers"
RELAY_TABLE = "hibiscustray"
ENTRY_TABLE = "hibiscustray-entries"
CONFIGURATION_KEY = "config"
VERSION_KEY_PREFIX = "version/"

MS_PER_S = 1000.0
COUNT = re.compile(r"[0-9]{1,15}")
"""A whole number in a header; one with more digits could exceed a float."""


def find_settings_path() -> Path:
    """Return the path of this process's settings file; raise `SettingsError`."""
    text = os.environ.get(SETTINGS_VARIABLE, "")
    if not text:
        raise SettingsError((f"{SETTINGS_VARIABLE}: found nothing; allowed: a settings file",))
    return Path(text)


def read_count(text: str) -> int | None:
    """Return the whole number in a header, None if it has none."""
    text = text.strip()
    return int(text) if COUNT.fullmatch(text) else None
