"""The agent: one per upstream VM, the sole path from the system to its upstream."""

from hibiscustray.agent.attempts import AttemptServer
from hibiscustray.agent.chunks import ChunkServer
from hibiscustray.agent.deployer import Deployer
from hibiscustray.agent.process import AgentProcess

__all__ = ["AgentProcess", "AttemptServer", "ChunkServer", "Deployer"]
