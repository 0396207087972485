"""Guards against separate daemon, engine and platform processes that cannot serve a request."""

from pathlib import Path

from harness import Fleet, call, hash_secret, publish, wait_until
from trefoilreach._internal.state.config import Account, ConfigDocument, Key, Route, Server


def test_completion_is_served_end_to_end(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        fleet.start_emulator("platform", "platform")
        engine = fleet.start_emulator("engine", "engine1", "--models", "m")
        daemon = fleet.start_daemon("vm1", 1)
        document = ConfigDocument(
            version=1,
            accounts=(Account("a", 100.0, 100.0),),
            keys=(Key("k1", hash_secret("s1"), "caller", "a"),),
            routes=(Route("m"),),
            servers=(Server("engine1", "engine", engine.host, engine.port, ("m",)),),
        )
        publish(fleet, document)
        wait_until(lambda: call(daemon, "GET", "/healthz").json()["config_version"] == 1)
        body = {"model": "m", "messages": [{"role": "user", "content": "hello"}]}
        answer = call(daemon, "POST", "/v1/chat/completions", body, key="s1")
        assert answer.status == 200
        assert len(answer.json()["choices"][0]["message"]["content"].split()) == 16
        streamed = call(daemon, "POST", "/v1/chat/completions", {**body, "stream": True}, key="s1")
        assert streamed.data.endswith(b"data: [DONE]\n\n")
        refused = call(daemon, "POST", "/v1/chat/completions", body, key="wrong")
        assert refused.status == 401
        assert refused.headers["trefoilreach-verdict"] == "not-run"
