"""The operators' library: deployments as Python objects, which print as INI, and their status."""

from hibiscustray.operator.client import Operator
from hibiscustray.operator.objects import Adapter, DeploymentPlan, Model, PlainService, ServicePlan
from hibiscustray.operator.programs import read_deployment_text
from hibiscustray.operator.status import ProcessStatus, SiteStatus, read_status

__all__ = [
    "Adapter",
    "DeploymentPlan",
    "Model",
    "Operator",
    "PlainService",
    "ProcessStatus",
    "ServicePlan",
    "SiteStatus",
    "read_deployment_text",
    "read_status",
]
