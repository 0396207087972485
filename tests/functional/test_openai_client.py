"""Guards against answers and refusals that the ordinary Python client does not understand."""

from collections.abc import Iterator

import openai
import pytest
from openai.types.chat import ChatCompletionMessageParam
from site_fixture import Site

MESSAGES: list[ChatCompletionMessageParam] = [{"role": "user", "content": "hello"}]


def make_client(site: Site, key: str, daemon: int = 0) -> openai.OpenAI:
    host, port = site.daemons[daemon]
    return openai.OpenAI(base_url=f"http://{host}:{port}/v1", api_key=key, max_retries=0)


@pytest.fixture
def client(site: Site) -> Iterator[openai.OpenAI]:
    with make_client(site, site.keys["shop"]) as opened:
        yield opened


def test_plain_call(client: openai.OpenAI) -> None:
    answer = client.chat.completions.create(model="m", messages=MESSAGES, max_tokens=5)
    assert len((answer.choices[0].message.content or "").split()) == 5
    assert answer.usage is not None and answer.usage.completion_tokens == 5
    text = client.completions.create(model="m", prompt="hello", max_tokens=3)
    assert len(text.choices[0].text.split()) == 3
    assert {model.id for model in client.models.list()} == {"m", "private"}


def test_streamed_call(client: openai.OpenAI) -> None:
    stream = client.chat.completions.create(model="m", messages=MESSAGES, max_tokens=7, stream=True)
    pieces = [chunk.choices[0].delta.content or "" for chunk in stream if chunk.choices]
    assert len("".join(pieces).split()) == 7


def test_refusals_have_the_clients_own_types(site: Site, client: openai.OpenAI) -> None:
    with make_client(site, "unknown") as stranger, pytest.raises(openai.AuthenticationError):
        stranger.models.list()
    kiosk = make_client(site, site.keys["kiosk"])
    with kiosk, pytest.raises(openai.PermissionDeniedError):
        kiosk.chat.completions.create(model="private", messages=MESSAGES)
    with pytest.raises(openai.NotFoundError) as missing:
        client.chat.completions.create(model="none", messages=MESSAGES)
    assert missing.value.param == "model"
    with pytest.raises(openai.BadRequestError) as wrong:
        client.chat.completions.create(model="m", messages=MESSAGES, max_tokens=0)
    assert wrong.value.param == "max_tokens"
    assert wrong.value.response.headers["trefoilreach-verdict"] == "not-run"
