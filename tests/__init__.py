"""Tests of skylarkrack."""

import os

from hypothesis import Phase, settings
from loguru import logger

# The same examples at every run. "quick" stops at the first failure without making it smaller.
settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.register_profile(
    "quick", parent=settings.get_profile("same"), phases=(Phase.explicit, Phase.generate)
)
settings.load_profile(os.environ.get("SKYLARKRACK_TEST_PROFILE", "same"))

# Tests look at logs only where a process writes them.
logger.remove()
