"""Choice of replicas, fairness between teams, limits and retry budgets."""

from hibiscustray.routing.admission import Admission, Permit
from hibiscustray.routing.budget import RetryBudgets
from hibiscustray.routing.choice import Choice, ReplicaChooser
from hibiscustray.routing.policies import make_policy

__all__ = [
    "Admission",
    "Choice",
    "Permit",
    "ReplicaChooser",
    "RetryBudgets",
    "make_policy",
]
