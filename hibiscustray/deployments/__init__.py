"""Deployments as described by operators, their accepted revisions and the active configuration.

This is the configuration of standalone processes; `catalog` holds that of hosted ones.
"""

from hibiscustray.deployments.configuration import Configuration
from hibiscustray.deployments.ini import parse_deployment, render_deployment
from hibiscustray.deployments.justification import Justification
from hibiscustray.deployments.model import Deployment, Service, Team, Version
from hibiscustray.deployments.revisions import Revision, RevisionStore
from hibiscustray.deployments.signing import OperatorKeys, load_operator_keys, sign_change

__all__ = [
    "Configuration",
    "Deployment",
    "Justification",
    "OperatorKeys",
    "Revision",
    "RevisionStore",
    "Service",
    "Team",
    "Version",
    "load_operator_keys",
    "parse_deployment",
    "render_deployment",
    "sign_change",
]
