"""Tests of the path of requests through a fleet of separate processes, as callers see it."""

import json
import unittest

import openai

from standins.fleet import key_of
from standins.run import bearer, demonstrate
from tests.shared_fleet import shared_fleet, wait_for

HELLO = [{"role": "user", "content": "How do I renew my badge?"}]


class TestWholePath(unittest.TestCase):
    """A request of each kind gets the right answer."""

    def test_each_kind_of_request(self) -> None:
        self.assertTrue(wait_for(demonstrate(shared_fleet())))


class TestOpenAiClient(unittest.TestCase):
    """The official Python client of OpenAI works with an entry without changes."""

    def client(self, organisation: str = "singers") -> openai.OpenAI:
        callers = shared_fleet().address("entry-0", "callers")
        return openai.OpenAI(
            base_url=f"http://{callers}/v1", api_key=key_of(organisation), max_retries=0
        )

    def test_whole_chat(self) -> None:
        answer = self.client().chat.completions.create(model="adapter-2@1", messages=HELLO)
        self.assertTrue(answer.choices[0].message.content.startswith("adapter-2@1"))
        self.assertEqual(answer.usage.completion_tokens, 8)

    def test_streamed_chat(self) -> None:
        stream = self.client().chat.completions.create(
            model="adapter-3", messages=HELLO, stream=True
        )
        chunks = list(stream)
        text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
        self.assertEqual(text, "adapter-3@2 2 3 4 5 6 7 8 ")
        self.assertEqual(chunks[-1].choices[0].finish_reason, "stop")

    def test_streamed_chat_with_usage(self) -> None:
        stream = self.client().chat.completions.create(
            model="adapter-3",
            messages=HELLO,
            stream=True,
            stream_options={"include_usage": True},
        )
        self.assertEqual(list(stream)[-1].usage.completion_tokens, 8)

    def test_completions(self) -> None:
        answer = self.client().completions.create(model="adapter-1", prompt="Hi", max_tokens=3)
        self.assertEqual(answer.choices[0].text, "adapter-1@2 2 3")

    def test_models_are_those_of_the_plan(self) -> None:
        names = [model.id for model in self.client("bursars").models.list()]
        self.assertEqual(names, ["adapter-0", "adapter-1"])

    def test_errors(self) -> None:
        """Each error raises the client's own exception, with our code and outcome."""
        cases = (
            ("nobody", "adapter-0", openai.AuthenticationError, "2002"),
            ("bursars", "adapter-5", openai.PermissionDeniedError, "2004"),
            ("singers", "adapter-99", openai.NotFoundError, "4001"),
        )
        for organisation, model, error_type, code in cases:
            with self.subTest(model=model), self.assertRaises(error_type) as caught:
                self.client(organisation).chat.completions.create(model=model, messages=HELLO)
            self.assertEqual(caught.exception.code, code)
            self.assertEqual(caught.exception.body["outcome"], "not_run")


class TestKeysStayAtTheEntry(unittest.TestCase):
    """A caller's key reaches no endpoint and no log, and requests can be explained."""

    def test_headers_that_reach_a_service(self) -> None:
        fleet = shared_fleet()
        headers = [
            bearer("bursars"),
            (b"cookie", b"key=" + key_of("bursars").encode()),
            (b"x-api-key", key_of("bursars").encode()),
            (b"content-type", b"text/plain"),
        ]
        status, _, _ = wait_for(
            fleet.call("entry-0", "callers", "POST", "/services/stock/q", b"pens", headers)
        )
        self.assertEqual(status, 200)
        header_names = wait_for(fleet.stats("desk-0"))["headers"]
        self.assertLessEqual(set(header_names), {"host", "content-length", "content-type"})
        self.assertNotIn(key_of("bursars"), fleet.log_text())

    def test_an_answer_can_be_explained(self) -> None:
        fleet = shared_fleet()
        body = json.dumps({"model": "adapter-0", "messages": HELLO}).encode()
        _, headers, _ = wait_for(
            fleet.call(
                "entry-0", "callers", "POST", "/v1/chat/completions", body, [bearer("singers")]
            )
        )
        request_id = dict(headers)[b"x-request-id"].decode().rpartition(".")[0]
        _, _, trace = wait_for(fleet.call("entry-0", "status", "GET", f"/explain/{request_id}"))
        steps = [step["step"] for step in json.loads(trace)["steps"]]
        self.assertEqual(
            steps, ["received", "access", "reserved", "offered", "started", "answered"]
        )
