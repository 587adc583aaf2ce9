"""Input and output of `skylarkctl route`: the description of a request, and the explanation."""

import json
import re
import secrets
from dataclasses import dataclass

from skylarkrack.platform._headers import headers_of_call

REQUEST_ID_BYTES = 8

_ADDRESS = re.compile(r"(\[[0-9a-fA-F:.]+\]|[^\s:/\[\]]+):[0-9]{1,5}", re.ASCII)
_METHOD = re.compile(r"[A-Z]{1,20}", re.ASCII)
_HOST = re.compile(r"[A-Za-z0-9.\-_:\[\]]{1,255}", re.ASCII)
_PATH = re.compile(r"/[!-~]*", re.ASCII)
_MODEL = re.compile(r"[!-.0-~]+(/[!-.0-~]+)?", re.ASCII)
_TOKENS = re.compile(r"[0-9]{1,9},[0-9]{1,9}", re.ASCII)
_PREFIX = re.compile(r"[!-+\--9;-~]+:[0-9]{1,9}(,[!-+\--9;-~]+:[0-9]{1,9})*", re.ASCII)
_DEADLINE = re.compile(r"[1-9][0-9]{0,8}", re.ASCII)
_KEY = re.compile(r"[!-~]+", re.ASCII)


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteOptions:
    """The options of the command as given; None where an option is left out."""

    address: str
    host: str
    path: str
    method: str
    model: str | None
    tokens: str | None
    prefix: str | None
    deadline_ms: str | None


def describe_request(options: RouteOptions, key: str | None) -> bytes:
    """Return the body for an entry's `/route`; raises `ValueError` for input that can't be used.

    The message names every option that is wrong, and never contains the key.
    """
    rows = (
        ("ADDRESS", options.address, _ADDRESS, "must be IP:port"),
        ("--host", options.host, _HOST, "must be a host name"),
        ("--path", options.path, _PATH, "must begin with / and have no spaces"),
        ("--method", options.method, _METHOD, "must be a method such as POST"),
        ("--model", options.model, _MODEL, "must be MODEL or MODEL/ADAPTER"),
        ("--tokens", options.tokens, _TOKENS, "must be IN,OUT"),
        ("--prefix", options.prefix, _PREFIX, "must be ID:TOKENS,..."),
        ("--deadline-ms", options.deadline_ms, _DEADLINE, "must be a number of ms above 0"),
    )
    problems = [
        f"{name} {problem}"
        for name, value, pattern, problem in rows
        if value is not None and not pattern.fullmatch(value)
    ]
    if _ADDRESS.fullmatch(options.address) and int(options.address.rpartition(":")[2]) > 65535:
        problems.append("ADDRESS has a port above 65535")
    key = key.strip() if key else None
    if key and not _KEY.fullmatch(key):
        problems.append("the key has characters that a header can't carry")
    if problems:
        raise ValueError("\n".join(problems))
    headers = headers_of_call(
        # A split route chooses the service by the request's id.
        secrets.token_hex(REQUEST_ID_BYTES),
        key=key or None,
        model=options.model,
        tokens=options.tokens,
        prefix=options.prefix,
        timeout_ms=options.deadline_ms,
    )
    description = {
        "method": options.method,
        "host": options.host,
        "path": options.path,
        "headers": headers,
    }
    return json.dumps(description).encode()


def format_explanation(explanation: dict) -> str:
    """Return an explanation as lines for operators."""
    entry = explanation["entry"]
    lines = [
        f"entry         {entry['vm']}, configuration {entry['table']}, "
        f"{'ready' if entry['ready'] else 'not ready'}",
        f"route         {_or_none(explanation['route'])}",
        f"service       {_or_none(explanation['service'])}{_split(explanation['shares'])}",
        f"organisation  {_or_none(explanation['organisation'])}",
        f"quota         {_quota(explanation['quota'])}",
    ]
    if explanation["stream_origin"] is not None:
        lines.append(f"stream origin {explanation['stream_origin']} at this entry")
    for candidate in explanation["candidates"]:
        lines += _candidate(candidate)
    for row in explanation["excluded"]:
        lines.append(f"  {row['endpoint']} in {row['domain']}: no candidate, {row['reason']}")
    if explanation["omitted"]:
        lines.append(f"  {explanation['omitted']} further endpoints")
    lines.append(f"binds         {explanation['binds'] or 'nothing'}")
    lines.append(f"decision      {_decision(explanation['decision'])}")
    return "\n".join(lines)


def _or_none(value: str | None) -> str:
    return "none" if value is None else value


def _split(shares: list | None) -> str:
    if not shares or len(shares) < 2:
        return ""
    parts = ", ".join(f"{name} {weight:g}" for name, weight in shares)
    return f" (the route is split by request id: {parts})"


def _quota(quota: dict | None) -> str:
    if quota is None:
        return "none"
    if quota["level"] is None:
        return "no limit"
    allowed = "allowed now" if quota["allowed"] else f"allowed in {quota['wait_ms']:.0f} ms"
    return (
        f"{allowed}; cost {quota['cost']:g}, level {quota['level']:g} of {quota['burst']:g}, "
        f"{quota['rate_per_s']:g} a second"
    )


def _candidate(candidate: dict) -> list[str]:
    mark = ">" if candidate["chosen"] else " "
    costs = ", ".join(f"{name} {ms:g}" for name, ms in candidate["costs"].items())
    waits = ", ".join(f"{constraint} ({ms:g} ms)" for constraint, ms in candidate["waits_for"])
    lines = [
        f"{mark} {candidate['endpoint']} at {candidate['address']} in {candidate['domain']}: "
        f"cost {candidate['cost_ms']:g} ms, {candidate['runs']} runs of {candidate['slots']}",
        f"    costs in ms: {costs or 'none'}",
        f"    waits for: {waits or 'nothing'}",
    ]
    if candidate["adapter"] is not None:
        lines.append(f"    adapter: {_adapter(candidate['adapter'])}")
    if candidate["limit"] is not None:
        lines.append(f"    limit: {_limit(candidate['limit'])}")
    return lines


def _adapter(adapter: dict) -> str:
    held = "not held" if adapter["held"] is None else f"version {adapter['held']}"
    loading = ", being loaded" if adapter["loading"] else ""
    source = "" if adapter["reported"] else ", by the registration"
    return f"{held}, newest {adapter['newest']}{loading}{source}"


def _limit(limit: dict) -> str:
    parts = []
    if limit["named_per_s"] is not None:
        parts.append(f"names {limit['named_per_s']:g} a second")
    if limit["cold_per_s"] is not None:
        parts.append(f"cold, {limit['cold_per_s']:g} a second")
    if limit["window"] is not None:
        parts.append(f"paced, {limit['in_flight']:g} in flight of {limit['window']:g}")
    return f"{', '.join(parts)}; home {limit['home']}"


def _decision(decision: dict) -> str:
    if decision["kind"] != "refuse":
        verb = "send to" if decision["kind"] == "send" else "wait for"
        return f"{verb} {decision['endpoint']}, expected delay {decision['cost_ms']:g} ms"
    retry_ms = decision["retry_after_ms"]
    retry = "" if retry_ms is None else f", Retry-After {retry_ms / 1000:.2f}"
    return (
        f"refuse with {decision['status']}, code {decision['code']} {decision['name']}{retry}: "
        f"{decision['reason']}"
    )
