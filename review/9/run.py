"""Requests with a part that crashes workers come, beside sound ones with the same first part."""

import sys
import threading
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins_2 import ROUTE, TROUBLE, Site, run_case  # noqa: E402

SOUND_PER_SECOND = 12
BEFORE_SECONDS = 6.0
CONTACT_SECONDS = 3.0
WATCH_SECONDS = 15.0
FIRST_DEADLY = 6
TOPICS = 6
DEADLY_GAP_SECONDS = 1.0
SHARED, DEADLY = "5c1e07a2", "dead0001"


def topic(number: int) -> str:
    """Return one of the parts that sound requests and deadly ones have in common."""
    return f"70{number % TOPICS:06x}"


def main() -> int:
    with Site(CASE, subnet=64) as site:
        for number in range(3):
            worker = site.add_worker(f"i-{number}", "pool", slots=8, events=30, interval=0.02)
            worker.first_event_seconds = 0.25
            worker.deadly_part = DEADLY
        route = {**ROUTE, "name": "r-1", "kind": "stream", "pathPrefix": "/lohu930/"}
        site.configure([route])
        site.start_daemons(3)
        sound: list[tuple[float, str, bool]] = []
        threads: list[threading.Thread] = []

        def request(request_id: str, daemon: int, parts: str, is_sound: bool) -> None:
            sent_at = time.monotonic()
            answer = site.daemons[daemon % 3].call(
                "POST",
                f"/lohu930/{request_id}",
                f"body of {request_id}".encode(),
                X_Request_Id=request_id,
                X_Model="m",
                X_Token_Usage="450,40",
                X_Prompt_Prefix=parts,
                X_Deadline_Ms="5000",
            )
            site.record.write(
                "client",
                "sound" if is_sound else "deadly",
                request_id,
                "answer",
                answer.status,
                answer.data[:90]
                if answer.status != 200
                else f"{answer.data.count(b'id: ')} events",
            )
            if is_sound:
                sound.append((sent_at, request_id, answer.status == 200))

        def send(request_id: str, daemon: int, parts: str, is_sound: bool) -> None:
            thread = threading.Thread(target=request, args=(request_id, daemon, parts, is_sound))
            thread.start()
            threads.append(thread)

        begun_at = time.monotonic()
        trouble_at = begun_at + BEFORE_SECONDS
        # Crashes end soon after the first deadly requests; see the record.
        end_at = trouble_at + 2 * CONTACT_SECONDS + WATCH_SECONDS + 5.0
        next_deadly = trouble_at if TROUBLE else float("inf")
        number = deadly = 0
        while (now := time.monotonic()) < end_at:
            if now >= next_deadly:
                for _ in range(1 if deadly else FIRST_DEADLY):
                    deadly += 1
                    parts = f"{SHARED}:200,{DEADLY}:50,{topic(deadly)}:100,{deadly:08x}:150"
                    send(f"d{deadly:015x}", deadly, parts, False)
                next_deadly = now + DEADLY_GAP_SECONDS
            number += 1
            parts = f"{SHARED}:200,{topic(number)}:100,{number + 0x100000:08x}:150"
            send(f"a{number:015x}", number, parts, True)
            time.sleep(1 / SOUND_PER_SECOND)
        for thread in threads:
            thread.join()
        crashes = sorted(at for worker in site.workers for at in worker.crashes)
        for at in crashes:
            site.record.write("crash at", f"{at - begun_at:.3f} s of the traffic")
        last = crashes[min(len(crashes), 5) - 1] if crashes else trouble_at
        before = [good for at, _, good in sound if at < trouble_at - 1.0]
        window = last + 2 * CONTACT_SECONDS
        after = [good for at, _, good in sound if at >= window]
        if len(before) < 20 or len(after) < 20 or (TROUBLE and not crashes):
            print("too few requests", len(before), len(after), len(crashes))
            return 2
        shares = sum(before) / len(before), sum(after) / len(after)
        text = (
            f"{len(crashes)} crashes; sound requests served at the first attempt: before "
            f"{shares[0]:.2f} of {len(before)}, after {shares[1]:.2f} of {len(after)}"
        )
        site.record.write(text)
        print(text)
        return 1 if shares[1] < shares[0] / 2 else 0


if __name__ == "__main__":
    run_case(main)
