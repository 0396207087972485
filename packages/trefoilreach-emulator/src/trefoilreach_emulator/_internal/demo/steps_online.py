"""Steps with online requests and plain services."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from itertools import cycle, islice

import orjson

from trefoilreach_emulator._internal.demo.errors import StepFailed, expect
from trefoilreach_emulator._internal.demo.http import (
    DONE,
    Answer,
    call,
    chat_body,
    open_call,
    read_events,
    read_text,
)
from trefoilreach_emulator._internal.demo.plan import (
    COUNTER,
    MODEL,
    OPEN_SERVICE,
    SERVICE,
    SMALL,
)
from trefoilreach_emulator._internal.demo.steps import Sample, step

CHAT_PATH = "/v1/chat/completions"
_RATE_CALLS = 60
_RETRY_SECONDS = 10.0


@step(10, "Chat completion")
def run_completion(sample: Sample) -> str:
    """Run one completion on each daemon."""
    texts = []
    for url in sample.fleet.urls:
        body = chat_body(MODEL, "What are your opening hours?", max_tokens=8)
        answer = call(url, "POST", CHAT_PATH, sample.keys[COUNTER.name], body)
        expect(answer.status == 200, f"status {answer.status}: {answer.data!r}")
        texts.append(read_text(answer))
    expect(len(texts[0].split()) == 8, f"8 tokens were asked for, the text is {texts[0]!r}")
    return texts[0]


@step(20, "Stream")
def run_stream(sample: Sample) -> str:
    """Stream one completion token by token."""
    body = chat_body(MODEL, "Tell me more.", max_tokens=20, stream=True)
    url = sample.fleet.urls[0]
    with open_call(url, "POST", CHAT_PATH, sample.keys[COUNTER.name], body) as response:
        expect(response.status == 200, f"status {response.status}")
        events = list(read_events(response))
    expect(events[-1:] == [DONE], "the stream did not end with [DONE]")
    pieces = [
        choice["delta"].get("content", "")
        for event in events[:-1]
        for choice in orjson.loads(event)["choices"]
    ]
    words = "".join(pieces).split()
    expect(len(words) == 20, f"20 tokens were asked for, {len(words)} came")
    return f"{len(words)} tokens in {len(events)} events"


@step(30, "Plain services")
def run_services(sample: Sample) -> str:
    """Call a service that must not be repeated, and one that is open to all."""
    url, key = sample.fleet.urls[1], sample.keys[COUNTER.name]
    answer = call(url, "POST", f"/v1/services/{SERVICE}/receipts", key, {"receipt": "demo-1"})
    expect(answer.status == 200, f"{SERVICE}: status {answer.status}: {answer.data!r}")
    expect(answer.json["run"] == 1, f"{SERVICE}: the call ran {answer.json['run']} times")
    expect(key not in answer.data.decode(), "the backend server saw the caller's key")
    refused = call(url, "POST", f"/v1/services/{SERVICE}/receipts", None, {})
    expect(refused.status == 401, f"{SERVICE} without a key: status {refused.status}")
    free = call(url, "GET", f"/v1/services/{OPEN_SERVICE}/today")
    expect(free.status == 200, f"{OPEN_SERVICE}: status {free.status}: {free.data!r}")
    return "one call ran once, one needed no key"


@step(60, "Rate refusal")
def run_over_rate(sample: Sample) -> str:
    """Send more than a client account's rate and burst, over all daemons at once."""
    key, lock = sample.keys[SMALL.name], threading.Lock()
    urls = list(islice(cycle(sample.fleet.urls), _RATE_CALLS))
    answers: list[tuple[str, Answer]] = []

    def send(url: str) -> None:
        body = chat_body(MODEL, "Hello.", max_tokens=1)
        answer = call(url, "POST", CHAT_PATH, key, body)
        with lock:
            answers.append((url, answer))

    begin = time.monotonic()
    with ThreadPoolExecutor(12) as pool:
        list(pool.map(send, urls))
    allowed = SMALL.burst + SMALL.rate * (time.monotonic() - begin)
    admitted = [answer for _, answer in answers if answer.status == 200]
    refused = [(url, answer) for url, answer in answers if answer.status == 429]
    others = {answer.status for _, answer in answers} - {200, 429}
    expect(not others, f"statuses {sorted(others)} beside 200 and 429")
    expect(bool(admitted), "no request was admitted")
    expect(len(admitted) <= allowed, f"{len(admitted)} admitted, at most {allowed:.1f} allowed")
    expect(bool(refused), f"none of {_RATE_CALLS} requests was refused")
    url, last = refused[-1]
    expect("retry-after" in last.headers, "the refusal names no time to come back")
    expect(last.headers.get("trefoilreach-verdict") == "not-run", "the verdict is not not-run")
    waited = _retry(url, key, float(last.headers["retry-after"]))
    count = f"{len(admitted)} admitted, {len(refused)} refused"
    return f"{count}, served {waited:.1f} s after the refusal"


def _retry(url: str, key: str, retry_after: float) -> float:
    begin = time.monotonic()
    while time.monotonic() - begin < _RETRY_SECONDS:
        time.sleep(retry_after)
        answer = call(url, "POST", CHAT_PATH, key, chat_body(MODEL, "Again.", max_tokens=1))
        if answer.status == 200:
            return time.monotonic() - begin
        retry_after = float(answer.headers.get("retry-after", retry_after))
    raise StepFailed(f"no request was served within {_RETRY_SECONDS:g} s after the refusal")
