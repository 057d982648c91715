"""The agent, which runs on each upstream VM and through which all requests reach the upstream."""

from hibiscustray.agent.attempts import AttemptServer
from hibiscustray.agent.chunks import ChunkServer
from hibiscustray.agent.deployer import Deployer
from hibiscustray.agent.process import AgentProcess

__all__ = ["AgentProcess", "AttemptServer", "ChunkServer", "Deployer"]
