"""What a load run sends: streams of requests with their own arrival times."""

import random
from pathlib import Path
from typing import Any, NamedTuple

import orjson


class LoadStream(NamedTuple):
    """Requests of one client account.

    :param entries: base addresses, ``IP:PORT``; each request goes to a random one.
    :param rate: mean arrivals a second, as a Poisson process.
    :param tokens: tokens asked for in each request.
    :param prefixes: number of different prompt prefixes in use.
    """

    name: str
    entries: tuple[str, ...]
    key: str
    model: str
    rate: float
    tokens: int = 16
    prompt_words: int = 40
    prefixes: int = 8


class LoadPlan(NamedTuple):
    """A bounded load run; ``seconds`` is how long requests arrive."""

    seed: int
    seconds: float
    streams: tuple[LoadStream, ...]
    timeout_seconds: float = 30.0


class Arrival(NamedTuple):
    """One request to send at ``at`` seconds after the start."""

    at: float
    stream: LoadStream
    entry: str
    prompt: str


def list_arrivals(plan: LoadPlan) -> list[Arrival]:
    """Return all requests of a plan in order of time, the same for the same seed."""
    arrivals: list[Arrival] = []
    for stream in plan.streams:
        rng = random.Random(f"{plan.seed}/{stream.name}")
        at = rng.expovariate(stream.rate)
        while at < plan.seconds:
            arrivals.append(Arrival(at, stream, rng.choice(stream.entries), _prompt(rng, stream)))
            at += rng.expovariate(stream.rate)
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _prompt(rng: random.Random, stream: LoadStream) -> str:
    prefix = f"{stream.name} prefix {rng.randrange(stream.prefixes)} "
    # The shared part is longer than the engine emulator's cached prefix.
    shared = (prefix * 8)[:96]
    words = " ".join(f"word{rng.randrange(5000)}" for _ in range(stream.prompt_words))
    return shared + words


def save_plan(plan: LoadPlan, path: Path) -> None:
    """Write a plan as JSON."""
    streams = [stream._asdict() for stream in plan.streams]
    path.write_bytes(orjson.dumps({**plan._asdict(), "streams": streams}))


def read_plan(path: Path) -> LoadPlan:
    """Read a plan.

    :raises ValueError: when the file is not a plan.
    """
    try:
        fields: dict[str, Any] = orjson.loads(path.read_bytes())
        streams = tuple(_read_stream(entry) for entry in fields.pop("streams"))
        return LoadPlan(streams=streams, **fields)
    except (KeyError, TypeError, orjson.JSONDecodeError) as error:
        raise ValueError(f"{path} is not a load plan: {error}") from error


def _read_stream(fields: dict[str, Any]) -> LoadStream:
    return LoadStream(**{**fields, "entries": tuple(fields["entries"])})
