"""Operators' interface to the quarantine, on the metrics listener of a router.

`GET /quarantine` lists suspects and blocked keys, `POST /quarantine/KEY/lift` clears
one in the whole fleet.
"""

from wigeonwind.routing.local_responses import status_response
from wigeonwind.routing.request_keys import format_key, parse_key
from wigeonwind.routing.request_quarantine import RequestQuarantine

QUARANTINE_PATH = "/quarantine"


def quarantine_response(quarantine: RequestQuarantine, method: str, path: str) -> bytes:
    """Return the response to a request below QUARANTINE_PATH."""
    words = path.removeprefix(QUARANTINE_PATH).strip("/").split("/")
    if method == "GET" and words == [""]:
        rows = [
            {
                "key": format_key(each.key),
                "crashes": each.crashes,
                "blocked_ms": round(each.blocked_ms),
            }
            for each in quarantine.statuses()
        ]
        return status_response(200, {"keys": rows})
    if method == "POST" and len(words) == 2 and words[1] == "lift":
        return _lift(quarantine, words[0])
    message = "use GET /quarantine or POST /quarantine/KEY/lift"
    return status_response(404, {"error": {"message": message}})


def _lift(quarantine: RequestQuarantine, text: str) -> bytes:
    key = parse_key(text)
    if key is None:
        message = f"{text!r} is no key; use one of those that GET /quarantine lists"
        return status_response(400, {"error": {"message": message}})
    return status_response(200, {"key": text, "lifted": quarantine.lift(key)})
