"""Stand-ins for the platform, model engines, plain services and callers, for demos and tests."""

from hibiscustray.standins.engine import EngineStandIn
from hibiscustray.standins.platform import PlatformStandIn
from hibiscustray.standins.service import ServiceStandIn

__all__ = ["EngineStandIn", "PlatformStandIn", "ServiceStandIn"]
