"""The operator's routes, services, teams and limits, and the active revision of them.

This is the configuration of hosted processes; `deployments` holds that of standalone ones.
"""

from hibiscustray.catalog.holder import CatalogHolder
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
    "CallerLimits",
    "Catalog",
    "CatalogHolder",
    "EngineProfile",
    "OriginEntry",
    "Route",
    "RouteKind",
    "ServiceEntry",
    "ServiceShare",
    "TargetVersions",
    "TeamEntry",
    "WeightsVersion",
]
