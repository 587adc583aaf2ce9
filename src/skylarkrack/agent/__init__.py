"""The agent: stands beside one endpoint and is the only sender of its work and orders."""

from skylarkrack.agent._agent import Agent

__all__ = ["Agent"]
