"""The baseline: a StreamingResponse over iter_any, and nothing else."""

import sys

import aiohttp
import uvicorn
from starlette import applications
from starlette import responses
from starlette import routing


def make(upstreams):
    """Returns the application that relays to ``upstreams`` in turn."""
    state = {"next": 0, "session": None}

    async def relay(request):
        if state["session"] is None:
            connector = aiohttp.TCPConnector(limit=0)
            state["session"] = aiohttp.ClientSession(connector=connector)
        state["next"] += 1
        address = upstreams[state["next"] % len(upstreams)]
        answer = await state["session"].post(
            f"http://{address}{request.url.path}", data=await request.body()
        )

        async def chunks():
            async for chunk in answer.content.iter_any():
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
        make(sys.argv[2:]),
        host=host,
        port=int(port),
        log_level="error",
        access_log=False,
        backlog=4096,
    )
