"""A daemon is stopped as planned; long streams that it still passes on are cut at its end."""

import http.client
import signal
import sys
import threading
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins_2 import HOST, ROUTE, TROUBLE, Site, run_case  # noqa: E402

TOKENS_PER_EVENT, INTERVAL = 10, 0.1
SHORT_TOKENS, LONG_TOKENS = 30, 400
SHORT_STREAMS, AT_ONCE = 240, 8
GRACE_SECONDS = 8.0
# A client may use an address for three times the 2 s that the directory states.
SENT_AFTER_SECONDS = (3.5, 4.0, 4.5)


def main() -> int:
    with Site(CASE, subnet=65) as site:
        worker = site.add_worker("i-1", "pool", slots=16, interval=INTERVAL)
        worker.tokens_per_event = TOKENS_PER_EVENT
        route = {
            **ROUTE,
            "name": "r-1",
            "kind": "stream",
            "pathPrefix": "/lohu930/",
            "timeoutMs": 10000,
        }
        site.configure([route])
        site.start_daemons(3)
        stopped = site.daemons[0]
        outcomes: list[bool] = []

        def stream(request_id: str, tokens: int, stopped_at: float | None = None) -> None:
            connection = http.client.HTTPConnection(stopped.host, site.ports[0], timeout=12)
            sent_at = time.monotonic()
            connection.request(
                "POST",
                "/lohu930/2f",
                request_id.encode(),
                {
                    "Host": HOST,
                    "Authorization": "Bearer key-1",
                    "X-Request-Id": request_id,
                    "X-Model": "m",
                    "X-Token-Usage": f"450,{tokens}",
                    "X-Prompt-Prefix": f"5c1e07a2:200,{request_id}:250",
                    "X-Deadline-Ms": "10000",
                },
            )
            data, whole = b"", True
            try:
                answer = connection.getresponse()
                while piece := answer.read1(65536):
                    data += piece
                status = answer.status
            except (http.client.HTTPException, OSError) as error:
                site.record.write("client", request_id, "connection ended", repr(error))
                whole, status = False, 200 if data else 0
            finally:
                connection.close()
            events = data.count(b"id: ")
            if stopped_at is None:
                return
            wanted = tokens // TOKENS_PER_EVENT
            whole = whole and events == wanted
            site.record.write(
                "client",
                request_id,
                f"sent {sent_at - stopped_at:.3f} s after SIGTERM, answer",
                status,
                f"{events} of {wanted} events, whole: {whole},",
                f"ended {time.monotonic() - stopped_at:.3f} s after SIGTERM",
            )
            # A refusal with 429 or 503 says that the request has not run.
            outcomes.append(whole or status in (429, 503))

        def short_streams(first: int) -> None:
            for number in range(first, SHORT_STREAMS, AT_ONCE):
                stream(f"a{number:015x}", SHORT_TOKENS)

        usual = [threading.Thread(target=short_streams, args=(n,)) for n in range(AT_ONCE)]
        for thread in usual:
            thread.start()
        for thread in usual:
            thread.join()
        stopped_at = time.monotonic()
        if TROUBLE:
            stopped.send_signal(signal.SIGTERM)
        long = []
        for number, after in enumerate(SENT_AFTER_SECONDS):
            time.sleep(max(0.0, stopped_at + after - time.monotonic()))
            thread = threading.Thread(
                target=stream, args=(f"b{number:015x}", LONG_TOKENS, stopped_at)
            )
            thread.start()
            long.append(thread)
        for thread in long:
            thread.join()
        cut = outcomes.count(False)
        print(f"{cut} of {len(outcomes)} long streams were cut")
        return 1 if cut else 0


if __name__ == "__main__":
    run_case(main)
