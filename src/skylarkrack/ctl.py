"""The command-line tool `skylarkctl` for operators."""

import asyncio
import hashlib
import json
import os
import secrets
import sys
from pathlib import Path

import fire
from fire.decorators import SetParseFn

from skylarkrack._errors import FileRejected, LinkLost
from skylarkrack._lists import (
    REQUIRED_VALUES,
    build_catalogue,
    dangling_references,
    kind_of,
    parse_value,
)
from skylarkrack._log_reader import explain
from skylarkrack._route_command import RouteOptions, describe_request, format_explanation
from skylarkrack._settings import read_settings
from skylarkrack.web import HttpClient

RESPONSE_TIMEOUT_MS = 3000
KEY_VARIABLE = "SKYLARK_KEY"
KEY_BYTES = 32
EXIT_PROBLEMS = 1
EXIT_BAD_INPUT = 2

# The platform publishes these values itself; operators have no files of them.
_PLATFORM_VALUES = frozenset({"vms"})


class Ctl:
    """Operate skylarkrack. ADDRESS is the `status` address in the settings of a process."""

    def check_settings(self, *files: str) -> str:
        """Check settings files of daemons, and print every problem of every file."""
        problems = []
        for file in files:
            try:
                read_settings(file)
            except FileRejected as error:
                problems += error.problems
            except OSError as error:
                problems.append(str(error))
        return _summary_or_exit(problems, f"{len(files)} settings files are good")

    def check_lists(self, folder: str) -> str:
        """Check the lists in FOLDER (organisations.toml, plans.toml, ...) before publishing."""
        values, problems = {}, []
        for path in sorted(Path(folder).rglob("*.toml")):
            name = path.relative_to(folder).with_suffix("").as_posix()
            if kind_of(name) is None:
                problems.append(f"{path}: unknown list; the lists are {', '.join(REQUIRED_VALUES)}")
                continue
            try:
                values[name] = parse_value(name, path.read_bytes(), file=str(path))
            except FileRejected as error:
                problems += error.problems
        missing = set(REQUIRED_VALUES) - _PLATFORM_VALUES - {kind_of(name) for name in values}
        if not problems:
            problems += [f"{folder}: the list {name} is missing" for name in sorted(missing)]
            problems += dangling_references(build_catalogue(values, revision=0), file=folder)
        return _summary_or_exit(problems, f"{len(values)} lists are good")

    def make_key(self, organisation: str) -> str:
        """Make a key for ORGANISATION. Give it to the caller, and publish only its digest."""
        key = "sk-" + secrets.token_urlsafe(KEY_BYTES)
        digest = hashlib.sha256(key.encode()).hexdigest()
        row = f'[keys.{digest}]\norganisation = "{organisation}"'
        return f"key for the caller, shown only now:\n{key}\n\nto add to the list of keys:\n{row}"

    def state(self, address: str) -> str:
        """Show the state of a process: members, residency, shares, revisions and their age."""
        return json_text(_get(address, "/state"))

    def explain(self, address: str, request_id: str) -> str:
        """Show the steps of one request, by its X-Request-Id, at the entry that received it."""
        document = _get(address, f"/explain/{request_id}")
        return "\n".join(_step_line(step) for step in document["steps"])

    def explain_log(self, request_id: str, *files: str) -> str:
        """Show the events of a relayed request from log FILES, with the state of its processes."""
        lines = [line for file in files for line in Path(file).read_text().splitlines()]
        return "\n".join(explain(str(request_id), lines))

    @SetParseFn(str)
    def route(
        self,
        address: str,
        *arguments: str,
        host: str = "",
        path: str = "",
        method: str = "POST",
        model: str | None = None,
        tokens: str | None = None,
        prefix: str | None = None,
        deadline_ms: str | None = None,
        json: str = "False",  # noqa: A002 - the name of the flag
        key_stdin: str = "False",
        **unknown: str,
    ) -> str:
        """Explain where a request would go now and why, without sending it.

        The key is read from SKYLARK_KEY, or from standard input with --key-stdin.
        """
        options = RouteOptions(
            address=address,
            host=host,
            path=path,
            method=method,
            model=model,
            tokens=tokens,
            prefix=prefix,
            deadline_ms=deadline_ms,
        )
        try:
            if arguments or unknown:
                # Values are not repeated: one of them may be the key.
                raise ValueError("unknown options or arguments; see skylarkctl route --help")
            is_json, reads_key = _is_set("--json", json), _is_set("--key-stdin", key_stdin)
            key = sys.stdin.readline() if reads_key else os.environ.get(KEY_VARIABLE)
            if reads_key and not key.strip():
                raise ValueError("there is no key on standard input")
            body = describe_request(options, key)
        except ValueError as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_BAD_INPUT)
        explanation = _post_route(address, body)
        return json_text(explanation) if is_json else format_explanation(explanation)

    def burn(self, address: str) -> str:
        """Show the burn rate of the error budget of each service-level objective."""
        rows = _get(address, "/burn")["rows"]
        head = (
            f"{'objective':<14}{'target':>8}{'window s':>10}{'requests':>10}{'bad':>7}{'burn':>8}"
        )
        return "\n".join([head, *(_burn_line(row) for row in rows)])


def main() -> None:
    """Run the tool."""
    fire.Fire(Ctl, name="skylarkctl")


def _summary_or_exit(problems: list, summary: str) -> str:
    if not problems:
        return summary
    for problem in problems:
        print(problem, file=sys.stderr)
    sys.exit(EXIT_PROBLEMS)


def _get(address: str, path: str) -> dict:
    try:
        status, body = asyncio.run(_fetch(address, path))
    except LinkLost as error:
        sys.exit(f"{address}: {error}")
    if status != 200:
        sys.exit(f"{address}: {json.loads(body)['message']}")
    return json.loads(body)


def _post_route(address: str, body: bytes) -> dict:
    """Return the entry's explanation; the exit status is 2 if it takes the description for bad."""
    try:
        status, response = asyncio.run(_fetch(address, "/route", method="POST", body=body))
        document = json.loads(response)
        if status == 200:
            return document
        print(f"{address}: {document['message']}", file=sys.stderr)
    except (LinkLost, ValueError, KeyError, TypeError) as error:
        reason = error if isinstance(error, LinkLost) else "the response is not understood"
        sys.exit(f"{address}: {reason}")
    sys.exit(EXIT_BAD_INPUT if status in (400, 413) else EXIT_PROBLEMS)


def json_text(document: dict) -> str:
    """Return a document as text for operators."""
    return json.dumps(document, indent=2)


def _is_set(name: str, value: str) -> bool:
    """Return whether a flag is set, which arrives as text; raises `ValueError` for other text."""
    if value not in ("True", "False"):
        raise ValueError(f"{name} takes no value")
    return value == "True"


async def _fetch(
    address: str, path: str, *, method: str = "GET", body: bytes = b""
) -> tuple[int, bytes]:
    client = HttpClient(address)
    response = await client.request(method, path, body=body, timeout_ms=RESPONSE_TIMEOUT_MS)
    body = await response.read_body(timeout_ms=RESPONSE_TIMEOUT_MS)
    client.close()
    return response.status, body


def _step_line(step: dict) -> str:
    fields = {key: value for key, value in step.items() if key not in ("at_ms", "step")}
    text = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"{step['at_ms']:>9.1f} ms  {step['step']:<10} {text}"


def _burn_line(row: dict) -> str:
    return (
        f"{row['objective']:<14}{row['target']:>8}{row['window_s']:>10}"
        f"{row['requests']:>10}{row['bad']:>7}{row['burn_rate']:>8}"
    )


if __name__ == "__main__":
    main()
