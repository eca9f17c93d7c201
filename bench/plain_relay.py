"""A baseline relay: a StreamingResponse over iter_any without checks."""

import sys

import aiohttp
import uvicorn
from starlette import applications
from starlette import responses
from starlette import routing


def make_app(upstream_addresses):
    """Returns an application that relays to the addresses in turn."""
    state = {"next": 0, "session": None}

    async def relay(request):
        if state["session"] is None:
            connector = aiohttp.TCPConnector(limit=0)
            state["session"] = aiohttp.ClientSession(connector=connector)
        state["next"] += 1
        address = upstream_addresses[state["next"] % len(upstream_addresses)]
        upstream_response = await state["session"].post(
            f"http://{address}{request.url.path}", data=await request.body()
        )

        async def chunks():
            async for chunk in upstream_response.content.iter_any():
                yield chunk

        return responses.StreamingResponse(
            chunks(), media_type="text/event-stream"
        )

    return applications.Starlette(
        routes=[routing.Route("/v1/completions", relay, methods=["POST"])]
    )


if __name__ == "__main__":
    host, _, port = sys.argv[1].rpartition(":")
    uvicorn.run(
        make_app(sys.argv[2:]),
        host=host,
        port=int(port),
        log_level="error",
        access_log=False,
        backlog=4096,
    )
