"""The operator's routes, services, teams and limits, and the active revision of them.

This is the configuration of hosted processes; `deployments` holds that of standalone ones.
"""

from hibiscustray.catalog.holder import CatalogHolder
from hibiscustray.catalog.limits import (
    CLOSE_LEAD_S,
    MAX_DATING_ERROR_S,
    SEND_LEAD_S,
    WORK_LEAD_S,
    VersionLimits,
)
from hibiscustray.catalog.model import (
    CallerLimits,
    Catalog,
    EngineProfile,
    OriginEntry,
    Route,
    RouteKind,
    ServiceEntry,
    ServiceShare,
    TeamEntry,
)
from hibiscustray.catalog.versions import TargetVersions, WeightsVersion

__all__ = [
    "CLOSE_LEAD_S",
    "CallerLimits",
    "Catalog",
    "CatalogHolder",
    "EngineProfile",
    "MAX_DATING_ERROR_S",
    "OriginEntry",
    "Route",
    "RouteKind",
    "SEND_LEAD_S",
    "ServiceEntry",
    "ServiceShare",
    "TargetVersions",
    "TeamEntry",
    "VersionLimits",
    "WORK_LEAD_S",
    "WeightsVersion",
]
