"""A stand-in for a model engine: streams, cancels, loads adapters, checks fencing, crashes.

The text of an answer is the name of the adapter that served it, followed by token numbers, one
word per token. A request whose body contains `CRASH` ends the engine's incarnation: its
connections are closed, and a new incarnation without resident adapters starts in the same process.
"""

import asyncio
import itertools
import json
import secrets
from dataclasses import dataclass, field

from skylarkrack._errors import LinkLost
from skylarkrack.web import HttpClient, Request, Responder
from standins._base import StandIn, arguments, run, write_json

CRASH_MARK = "CRASH"
STORE_TIMEOUT_MS = 30_000


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineFaults:
    """Capacity, speed and faults of the engine, set by name through `/faults`.

    The engine holds at most *slots* adapters, reports a batch of *batch* requests, and takes
    *token_s* per token, or *slow_token_s* unless that is 0. *wrong_adapter* echoes the name of
    another adapter. *truncate_after* ends a stream after this many tokens without `[DONE]`;
    *silent_after* sends nothing more after this many tokens; 0 turns either off. *order_delay_s*
    delays answers to orders, also beyond the caller's time-out. *loads_fail* refuses loads.
    *checks_fencing* refuses orders whose fencing number is not newer than the last one.
    *restart_s* is the time without connections after a crash.
    """

    slots: int = 8
    batch: int = 16
    token_s: float = 0.004
    slow_token_s: float = 0.0
    wrong_adapter: bool = False
    truncate_after: int = 0
    silent_after: int = 0
    order_delay_s: float = 0.0
    loads_fail: bool = False
    checks_fencing: bool = True
    restart_s: float = 0.1


@dataclass(slots=True, kw_only=True)
class _Incarnation:
    name: str
    resident: set[str] = field(default_factory=set)
    served_by_id: dict[str, str] = field(default_factory=dict)
    responders: set[Responder] = field(default_factory=set)
    fence: int = 0
    orders: int = 0


class _Crashed(Exception):
    """Raised when the incarnation that runs a request has ended."""


class Engine(StandIn):
    """An engine that loads weights from *store*, or at once without a store.

    `/stats` returns the counters *crashes*, *evicted_in_use* (adapters unloaded while a request
    ran on them), *runs* (requests started) and *tokens* (tokens generated).
    """

    def __init__(self, store: str | None = None, faults: EngineFaults | None = None) -> None:
        super().__init__(faults or EngineFaults())
        self._store = HttpClient(store) if store else None
        self._incarnation_numbers = itertools.count(1)
        self._boot_id = secrets.token_hex(4)
        self._cancelled: set[str] = set()
        self.crashes = 0
        self.evicted_in_use = 0
        self.runs = 0
        self.tokens = 0
        self.current_incarnation = self._new_incarnation()
        self._is_up = True

    def _new_incarnation(self) -> _Incarnation:
        return _Incarnation(name=f"{self._boot_id}-{next(self._incarnation_numbers)}")

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer a request of the agent; during a restart only `/stats` is answered."""
        if not self._is_up and request.path != "/stats":
            responder.cut()
            return
        handler = {
            "/v1/engine": self._answer_report,
            "/v1/chat/completions": self._complete,
            "/v1/completions": self._complete,
            "/v1/cancel": self._cancel,
            "/v1/load_lora_adapter": self._load,
            "/v1/unload_lora_adapter": self._unload,
            "/stats": self._stats,
            "/crash": self._crash_now,
        }.get(request.path)
        if handler is None:
            write_json(responder, {}, status=404)
            return
        await handler(request, responder)

    async def crash(self) -> None:
        """End this incarnation, close its connections and start an empty one after `restart_s`."""
        self.crashes += 1
        old, self._is_up = self.current_incarnation, False
        self.current_incarnation = self._new_incarnation()
        for responder in list(old.responders):
            responder.cut()
        await asyncio.sleep(self.faults.restart_s)
        self._is_up = True

    async def _crash_now(self, request: Request, responder: Responder) -> None:
        write_json(responder, {})
        # Runs as a separate task, since the caller closes the connection once it has the answer.
        self._crashing = asyncio.ensure_future(self.crash())

    async def _stats(self, request: Request, responder: Responder) -> None:
        names = ("crashes", "evicted_in_use", "runs", "tokens")
        write_json(responder, {name: getattr(self, name) for name in names})

    async def _answer_report(self, request: Request, responder: Responder) -> None:
        incarnation = self.current_incarnation
        write_json(
            responder,
            {
                "incarnation": incarnation.name,
                "slots": self.faults.slots,
                "batch": self.faults.batch,
                "resident": sorted(incarnation.resident),
                "running": incarnation.served_by_id,
                "fence": incarnation.fence,
                "busy": incarnation.orders > 0,
            },
        )

    # Orders

    async def _load(self, request: Request, responder: Responder) -> None:
        await self._order(request, responder, self._load_weights)

    async def _unload(self, request: Request, responder: Responder) -> None:
        await self._order(request, responder, self._drop_weights)

    async def _order(self, request: Request, responder: Responder, act: object) -> None:
        order, incarnation = json.loads(request.body), self.current_incarnation
        if self.faults.checks_fencing and order["fence"] <= incarnation.fence:
            write_json(responder, {"error": "old fencing number"}, status=409)
            return
        incarnation.fence = max(incarnation.fence, order["fence"])
        incarnation.orders += 1
        # Shielded: an order continues when its caller has closed the connection.
        is_done = await asyncio.shield(asyncio.ensure_future(self._act(act, incarnation, order)))
        write_json(responder, {}, status=200 if is_done else 400)

    async def _act(self, act: object, incarnation: _Incarnation, order: dict) -> bool:
        try:
            is_done = await act(incarnation, order["lora_name"])
            await asyncio.sleep(self.faults.order_delay_s)
            return is_done and incarnation is self.current_incarnation
        finally:
            incarnation.orders -= 1

    async def _load_weights(self, incarnation: _Incarnation, served: str) -> bool:
        if self.faults.loads_fail or len(incarnation.resident) >= self.faults.slots:
            return False
        if self._store is not None:
            target = f"/store/{served}"
            try:
                response = await self._store.request("POST", target, timeout_ms=STORE_TIMEOUT_MS)
                await response.read_body(timeout_ms=STORE_TIMEOUT_MS)
            except LinkLost:
                return False
            if response.status != 200:
                return False
        incarnation.resident.add(served)
        return True

    async def _drop_weights(self, incarnation: _Incarnation, served: str) -> bool:
        if served in incarnation.served_by_id.values():
            self.evicted_in_use += 1
        incarnation.resident.discard(served)
        return True

    # Runs

    async def _cancel(self, request: Request, responder: Responder) -> None:
        request_id = json.loads(request.body)["request_id"]
        self._cancelled.add(request_id)
        while request_id in self.current_incarnation.served_by_id:  # noqa: ASYNC110
            await asyncio.sleep(self.faults.token_s)
        self._cancelled.discard(request_id)
        write_json(responder, {})

    async def _complete(self, request: Request, responder: Responder) -> None:
        document, incarnation = json.loads(request.body), self.current_incarnation
        request_id = request.header(b"x-request-id") or f"r{self.runs}"
        # Without the adapter the engine runs its base model, under the requested name.
        served = document["model"] if document["model"] in incarnation.resident else "base"
        incarnation.served_by_id[request_id] = document["model"]
        incarnation.responders.add(responder)
        self.runs += 1
        try:
            if CRASH_MARK in request.body.decode():
                await asyncio.sleep(self.faults.token_s)
                self._crashing = asyncio.ensure_future(self.crash())
            await self._generate(document, served, request_id, responder, incarnation)
        except _Crashed:
            responder.cut()
        finally:
            incarnation.served_by_id.pop(request_id, None)
            incarnation.responders.discard(responder)

    async def _generate(
        self,
        document: dict,
        served: str,
        request_id: str,
        responder: Responder,
        incarnation: _Incarnation,
    ) -> None:
        words = self._words(document, served)
        prompt = document.get("messages") or document.get("prompt")
        usage = {
            "prompt_tokens": max(1, len(json.dumps(prompt)) // 4),
            "completion_tokens": len(words),
        }
        usage["total_tokens"] = sum(usage.values())
        echo = "other@1" if self.faults.wrong_adapter else served
        headers = [
            (b"x-engine-incarnation", incarnation.name.encode()),
            (b"x-adapter", echo.encode()),
        ]
        response_format = _ResponseFormat(document=document, request_id=request_id)
        if not document.get("stream"):
            for _ in words:
                if not await self._generate_token(request_id, incarnation):
                    break
            body = response_format.completion(" ".join(words), usage)
            responder.respond(200, [(b"content-type", b"application/json"), *headers], body)
            return
        responder.start(200, [(b"content-type", b"text/event-stream"), *headers])
        await self._stream(words, usage, response_format, responder, incarnation)

    async def _stream(
        self,
        words: list[str],
        usage: dict,
        response_format: "_ResponseFormat",
        responder: Responder,
        incarnation: _Incarnation,
    ) -> None:
        for number, word in enumerate(words, start=1):
            if not await self._generate_token(response_format.request_id, incarnation):
                break
            responder.send(response_format.text_event(f"{word} "))
            if number == self.faults.truncate_after:
                responder.end()
                return
            if number == self.faults.silent_after:
                await asyncio.Event().wait()
        responder.send(response_format.last_event("stop"))
        responder.send(response_format.usage_event(usage))
        responder.send(b"data: [DONE]\n\n")
        responder.end()

    async def _generate_token(self, request_id: str, incarnation: _Incarnation) -> bool:
        """Wait for the time of one token and return whether the request is not cancelled.

        Raises `_Crashed` if the incarnation has ended.
        """
        await asyncio.sleep(self.faults.slow_token_s or self.faults.token_s)
        if incarnation is not self.current_incarnation:
            raise _Crashed
        self.tokens += 1
        return request_id not in self._cancelled

    def _words(self, document: dict, served: str) -> list[str]:
        min_tokens = int(document.get("min_tokens") or 8)
        count = min(int(document.get("max_tokens") or 16), min_tokens)
        return [served, *(str(number) for number in range(2, count + 1))][:count]


@dataclass(frozen=True, slots=True, kw_only=True)
class _ResponseFormat:
    """Formats answers for the chat or the completions protocol, depending on the request."""

    document: dict
    request_id: str

    @property
    def is_chat(self) -> bool:
        return "messages" in self.document

    def _base(self, kind: str, choices: list) -> dict:
        return {
            "id": self.request_id,
            "object": kind,
            "created": 0,
            "model": self.document["model"],
            "choices": choices,
        }

    def completion(self, text: str, usage: dict) -> bytes:
        choice = {"index": 0, "finish_reason": "stop"}
        if self.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self.is_chat else "text_completion"
        return json.dumps({**self._base(kind, [choice]), "usage": usage}).encode()

    def text_event(self, text: str) -> bytes:
        choice = {"index": 0, "finish_reason": None}
        if self.is_chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        return self._event([choice])

    def last_event(self, reason: str) -> bytes:
        choice = {"index": 0, "finish_reason": reason}
        choice |= {"delta": {}} if self.is_chat else {"text": ""}
        return self._event([choice])

    def usage_event(self, usage: dict) -> bytes:
        return self._event([], usage=usage)

    def _event(self, choices: list, **more: object) -> bytes:
        kind = "chat.completion.chunk" if self.is_chat else "text_completion"
        return b"data: " + json.dumps({**self._base(kind, choices), **more}).encode() + b"\n\n"


if __name__ == "__main__":
    listen, store = arguments(2, "engine IP:PORT STORE-IP:PORT")
    run(Engine(store), listen)
