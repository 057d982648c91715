"""Small stand-ins for the platform, engines, plain services and callers, for demo and tests."""

from hibiscustray.standins.engine import EngineStandIn
from hibiscustray.standins.platform import PlatformStandIn
from hibiscustray.standins.service import ServiceStandIn

__all__ = ["EngineStandIn", "PlatformStandIn", "ServiceStandIn"]
