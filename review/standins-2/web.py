"""A minimal HTTP/1.1 server and client for the stand-ins: bodies with a length only."""

import asyncio


async def read_head(reader):
    """Return the first line and the headers (names in lower case), or None at the end."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while (row := await reader.readline()).strip():
        name, _, value = row.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


async def serve(address, handle):
    """Serve *handle*(method, target, headers, body) -> (status, headers, body) at IP:port."""

    async def connected(reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                status, headers, content = await handle(method, target, head[1], body)
                lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
                start = f"HTTP/1.1 {status} S\r\nContent-Length: {len(content)}\r\n{lines}\r\n"
                writer.write(start.encode("latin-1") + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    ip, _, port = address.rpartition(":")
    return await asyncio.start_server(connected, ip, int(port), backlog=512)


async def call(address, method, target, body=b"", headers=None, timeout=1.0):
    """Make one call on a new connection; return (status, headers, body) or None."""
    ip, _, port = address.rpartition(":")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port))
        rows = {"Host": address, "Content-Length": str(len(body)), **(headers or {})}
        lines = "".join(f"{k}: {v}\r\n" for k, v in rows.items())
        writer.write(f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode("latin-1") + body)
        found = await read_head(reader)
        if found is None:
            return None
        content = await reader.readexactly(int(found[1].get("content-length", "0")))
        return int(found[0].split(" ")[1]), found[1], content

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
