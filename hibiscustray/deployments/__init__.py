"""Deployments and their revisions: what operators state and what is in force."""

from hibiscustray.deployments.configuration import Configuration
from hibiscustray.deployments.ini import parse_deployment, render_deployment
from hibiscustray.deployments.justification import Justification
from hibiscustray.deployments.model import Deployment, Service, Team, Version
from hibiscustray.deployments.revisions import Revision, RevisionStore

__all__ = [
    "Configuration",
    "Deployment",
    "Justification",
    "Revision",
    "RevisionStore",
    "Service",
    "Team",
    "Version",
    "parse_deployment",
    "render_deployment",
]
