"""A stand-in for a model engine: batches, streams, cancels, loads, checks fencing, crashes.

An answer tells which adapter gave it: its text is the served name, word by word a token number.
A prompt that contains CRASH ends the process's incarnation: connections break, and a new and
empty incarnation takes over.
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
    """Faults of the engine, and its speed.

    *wrong_adapter* echoes another name; *truncate_after* ends an answer after so many tokens
    without its end mark, *silent_after* goes silent there; *order_delay_s* answers orders late,
    also after their time-out; *loads_fail* refuses loads; *checks_fencing* refuses old numbers.
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
    """Raised when the incarnation that runs a request is gone."""


class Engine(StandIn):
    """One engine with its incarnations."""

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
        self.now = self._new_incarnation()
        self._is_up = True

    def _new_incarnation(self) -> _Incarnation:
        return _Incarnation(name=f"{self._boot_id}-{next(self._incarnation_numbers)}")

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer the agent."""
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
        """End this incarnation and begin an empty one."""
        self.crashes += 1
        old, self._is_up = self.now, False
        self.now = self._new_incarnation()
        for responder in list(old.responders):
            responder.cut()
        await asyncio.sleep(self.faults.restart_s)
        self._is_up = True

    async def _crash_now(self, request: Request, responder: Responder) -> None:
        write_json(responder, {})
        # A task of its own: the caller closes as soon as it has its answer.
        self._crashing = asyncio.ensure_future(self.crash())

    async def _stats(self, request: Request, responder: Responder) -> None:
        names = ("crashes", "evicted_in_use", "runs", "tokens")
        write_json(responder, {name: getattr(self, name) for name in names})

    async def _answer_report(self, request: Request, responder: Responder) -> None:
        now = self.now
        write_json(
            responder,
            {
                "incarnation": now.name,
                "slots": self.faults.slots,
                "batch": self.faults.batch,
                "resident": sorted(now.resident),
                "running": now.served_by_id,
                "fence": now.fence,
                "busy": now.orders > 0,
            },
        )

    # Orders

    async def _load(self, request: Request, responder: Responder) -> None:
        await self._order(request, responder, self._load_weights)

    async def _unload(self, request: Request, responder: Responder) -> None:
        await self._order(request, responder, self._drop_weights)

    async def _order(self, request: Request, responder: Responder, act: object) -> None:
        order, now = json.loads(request.body), self.now
        if self.faults.checks_fencing and order["fence"] <= now.fence:
            write_json(responder, {"error": "old fencing number"}, status=409)
            return
        now.fence = max(now.fence, order["fence"])
        now.orders += 1
        # Shielded: an order goes on when whoever gave it has hung up.
        is_done = await asyncio.shield(asyncio.ensure_future(self._act(act, now, order)))
        write_json(responder, {}, status=200 if is_done else 400)

    async def _act(self, act: object, now: _Incarnation, order: dict) -> bool:
        try:
            is_done = await act(now, order["lora_name"])
            await asyncio.sleep(self.faults.order_delay_s)
            return is_done and now is self.now
        finally:
            now.orders -= 1

    async def _load_weights(self, now: _Incarnation, served: str) -> bool:
        if self.faults.loads_fail or len(now.resident) >= self.faults.slots:
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
        now.resident.add(served)
        return True

    async def _drop_weights(self, now: _Incarnation, served: str) -> bool:
        if served in now.served_by_id.values():
            self.evicted_in_use += 1
        now.resident.discard(served)
        return True

    # Runs

    async def _cancel(self, request: Request, responder: Responder) -> None:
        request_id = json.loads(request.body)["request_id"]
        self._cancelled.add(request_id)
        while request_id in self.now.served_by_id:  # noqa: ASYNC110
            await asyncio.sleep(self.faults.token_s)
        self._cancelled.discard(request_id)
        write_json(responder, {})

    async def _complete(self, request: Request, responder: Responder) -> None:
        document, now = json.loads(request.body), self.now
        request_id = request.header(b"x-request-id") or f"r{self.runs}"
        # An engine without the adapter serves its base model, under the name it was asked for.
        served = document["model"] if document["model"] in now.resident else "base"
        now.served_by_id[request_id] = document["model"]
        now.responders.add(responder)
        self.runs += 1
        try:
            if CRASH_MARK in request.body.decode():
                await asyncio.sleep(self.faults.token_s)
                self._crashing = asyncio.ensure_future(self.crash())
            await self._generate(document, served, request_id, responder, now)
        except _Crashed:
            responder.cut()
        finally:
            now.served_by_id.pop(request_id, None)
            now.responders.discard(responder)

    async def _generate(
        self,
        document: dict,
        served: str,
        request_id: str,
        responder: Responder,
        now: _Incarnation,
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
            (b"x-engine-incarnation", now.name.encode()),
            (b"x-adapter", echo.encode()),
        ]
        shape = _ResponseFormat(document=document, request_id=request_id)
        if not document.get("stream"):
            for _ in words:
                if not await self._generate_token(request_id, now):
                    break
            body = shape.whole(" ".join(words), usage)
            responder.respond(200, [(b"content-type", b"application/json"), *headers], body)
            return
        responder.start(200, [(b"content-type", b"text/event-stream"), *headers])
        await self._stream(words, usage, shape, responder, now)

    async def _stream(
        self,
        words: list[str],
        usage: dict,
        shape: "_ResponseFormat",
        responder: Responder,
        now: _Incarnation,
    ) -> None:
        for number, word in enumerate(words, start=1):
            if not await self._generate_token(shape.request_id, now):
                break
            responder.send(shape.event(f"{word} "))
            if number == self.faults.truncate_after:
                responder.end()
                return
            if number == self.faults.silent_after:
                await asyncio.Event().wait()
        responder.send(shape.last_event("stop"))
        responder.send(shape.usage_event(usage))
        responder.send(b"data: [DONE]\n\n")
        responder.end()

    async def _generate_token(self, request_id: str, now: _Incarnation) -> bool:
        """Take the time of one token; tell whether the run goes on."""
        await asyncio.sleep(self.faults.slow_token_s or self.faults.token_s)
        if now is not self.now:
            raise _Crashed
        self.tokens += 1
        return request_id not in self._cancelled

    def _words(self, document: dict, served: str) -> list[str]:
        wanted = int(document.get("min_tokens") or 8)
        count = min(int(document.get("max_tokens") or 16), wanted)
        return [served, *(str(number) for number in range(2, count + 1))][:count]


@dataclass(frozen=True, slots=True, kw_only=True)
class _ResponseFormat:
    """Writes answers in the shape of the chat or the completions protocol."""

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

    def whole(self, text: str, usage: dict) -> bytes:
        choice = {"index": 0, "finish_reason": "stop"}
        if self.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self.is_chat else "text_completion"
        return json.dumps({**self._base(kind, [choice]), "usage": usage}).encode()

    def event(self, text: str) -> bytes:
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
