"""The operators' library: state a deployment in Python; printing it gives the INI in force."""

from hibiscustray.operator.client import Operator
from hibiscustray.operator.objects import Adapter, DeploymentPlan, Model, PlainService, ServicePlan

__all__ = ["Adapter", "DeploymentPlan", "Model", "Operator", "PlainService", "ServicePlan"]
