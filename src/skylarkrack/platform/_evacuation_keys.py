"""Keys by which an operator evacuates a failure domain; their values are not read."""

from skylarkrack._events import Event, log
from skylarkrack.core.relay import is_domain_name

EVACUATIONS_PREFIX = "op/evacuate/"

MAX_LOGGED_CHARACTERS = 60
"""Characters of an invalid name that are logged; it may be as long as the store allows."""


def is_evacuation(key: str) -> bool:
    """Return whether *key* is that of an evacuation, of a valid domain or not."""
    return key.startswith(EVACUATIONS_PREFIX)


def evacuated_domain(key: str) -> str | None:
    """Return the domain in the key of an evacuation; an invalid one is logged, and gives None."""
    domain = key.removeprefix(EVACUATIONS_PREFIX)
    if is_domain_name(domain):
        return domain
    log(Event.EVACUATION_IGNORED, domain=domain[:MAX_LOGGED_CHARACTERS], length=len(domain))
    return None
