"""Replica selection, fair admission, concurrency limits and retry budgets."""

from hibiscustray.routing.admission import AdmissionController, Permit
from hibiscustray.routing.budget import RetryBudgets
from hibiscustray.routing.choice import Choice, ReplicaChooser
from hibiscustray.routing.policies import make_policy

__all__ = [
    "AdmissionController",
    "Choice",
    "Permit",
    "ReplicaChooser",
    "RetryBudgets",
    "make_policy",
]
