"""OpenAI-compatible API: complete and streamed responses of a fake sidecar."""

from collections.abc import Iterator

import openai
import pytest
from entry_fakes import KEY, MODEL, EntryUnderTest, respond_with_words


@pytest.fixture
def entry() -> Iterator[EntryUnderTest]:
    running = EntryUnderTest()
    yield running
    running.role.stop()


def make_client(entry: EntryUnderTest) -> openai.OpenAI:
    url = f"http://{entry.address}/v1"
    return openai.OpenAI(api_key=KEY, base_url=url, max_retries=0, timeout=5)


def test_openai_client_gets_complete_response(entry: EntryUnderTest) -> None:
    # Guards against response bodies that the unmodified client cannot parse.
    entry.add_sidecar(respond_with_words("one ", "two"))
    response = make_client(entry).chat.completions.create(
        model=MODEL, messages=[{"role": "user", "content": "hi"}]
    )
    assert response.choices[0].message.content == "one two"
    assert response.usage is not None and response.usage.total_tokens == 7


def test_openai_client_streams(entry: EntryUnderTest) -> None:
    # Guards against stream events that the unmodified client cannot parse.
    entry.add_sidecar(respond_with_words("ä", "b", "c"))
    stream = make_client(entry).chat.completions.create(
        model=MODEL,
        messages=[{"role": "user", "content": "hi"}],
        stream=True,
        stream_options={"include_usage": True},
    )
    events = list(stream)
    texts = [row.choices[0].delta.content or "" for row in events if row.choices]
    assert "".join(texts) == "äbc"
    assert events[-2].choices[0].finish_reason == "stop"
    assert events[-1].usage is not None and events[-1].usage.completion_tokens == 3


def test_openai_client_gets_completions_and_models(entry: EntryUnderTest) -> None:
    # Guards against completions and the model list that differ from chat completions.
    entry.add_sidecar(respond_with_words("x", "y"))
    client = make_client(entry)
    whole = client.completions.create(model=MODEL, prompt="hi")
    streamed = client.completions.create(model=MODEL, prompt="hi", stream=True)
    assert whole.choices[0].text == "xy"
    assert "".join(row.choices[0].text for row in streamed) == "xy"
    assert [row.id for row in client.models.list()] == [MODEL]


def test_unknown_fields_reach_the_endpoint(entry: EntryUnderTest) -> None:
    # Guards against changes to the request body that the entry forwards.
    sidecar = entry.add_sidecar(respond_with_words("x"))
    assert entry.chat(temperature=0.5, new_field={"a": 1}).status == 200
    assert b'"new_field": {"a": 1}' in sidecar.submits[0].body
