"""Operators' view of leaving endpoints, on the metrics listener of a router.

`GET /leaving` lists the endpoints that have announced in a response that they leave.
"""

from wigeonwind.routing.discovery import EndpointSet
from wigeonwind.routing.local_responses import status_response

LEAVING_PATH = "/leaving"


def leaving_response(endpoints: EndpointSet, method: str, path: str) -> bytes:
    """Return the response to a request below LEAVING_PATH."""
    if method != "GET" or path.rstrip("/") != LEAVING_PATH:
        message = "use GET /leaving"
        return status_response(404, {"error": {"message": message}})
    rows = [
        {
            "endpoint": endpoint.instance_id,
            "service": endpoint.service,
            "reason": "announced in a response",
            "since_ms": round(since_ms),
            "left_ms": round(left_ms),
        }
        for endpoint, since_ms, left_ms in endpoints.leaving_endpoints()
    ]
    return status_response(200, {"endpoints": rows})
