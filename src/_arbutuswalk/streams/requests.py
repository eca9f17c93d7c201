"""Encoding of the requests that are sent to upstreams and servers."""


def encode(
    method: str, target: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Returns the bytes of an HTTP/1.1 request.

    Args:
        method: Method.
        target: Path and query.
        headers: All headers, with that of the body's length.
        body: Body.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
