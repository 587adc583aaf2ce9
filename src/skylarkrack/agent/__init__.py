"""The agent of one endpoint: the only process that sends requests and orders to it."""

from skylarkrack.agent._agent import Agent

__all__ = ["Agent"]
