"""Small HTTP/1.1 server and client on asyncio, loopback only."""
import asyncio
import json


class Reply:
    def __init__(self, status, body=None, close=False, drop=False):
        self.status, self.body, self.close, self.drop = status, body, close, drop


async def read_message(reader):
    """Reads one HTTP message. Returns (first line, headers, body), or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode(first_line, body, close=False):
    data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    head = [first_line, "Host: loopback", "Content-Type: application/json", f"Content-Length: {len(data)}"]
    if close:
        head.append("Connection: close")
    return ("\r\n".join(head) + "\r\n\r\n").encode() + data


async def serve(handler, host="127.0.0.1"):
    """Starts a server on a free port. `handler(method, target, body)` returns a Reply. Returns (server, port)."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                reply = await handler(method, target, message[2])
                if reply is None or reply.drop:
                    break
                writer.write(encode(f"HTTP/1.1 {reply.status} X", {} if reply.body is None else reply.body, reply.close))
                await writer.drain()
                if reply.close:
                    break
        except (ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, 0, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


class Client:
    """Keeps one connection to `port` and sends one request at a time."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def _exchange(self, method, path, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
        self.writer.write(encode(f"{method} {path} HTTP/1.1", body))
        await self.writer.drain()
        message = await read_message(self.reader)
        if message is None:
            raise ConnectionError("closed")
        status = int(message[0].split(" ")[1])
        if message[1].get("connection", "").lower() == "close":
            self.close()
        return status, message[1], message[2]

    async def request(self, method, path, body=None, timeout=5.0):
        """Returns (status, headers, parsed body), or None without an answer in time."""
        reused = self.writer is not None
        try:
            status, headers, data = await asyncio.wait_for(self._exchange(method, path, body), timeout)
        except (OSError, asyncio.TimeoutError, ConnectionError):
            self.close()
            if reused and method == "GET":
                return await self.request(method, path, body, timeout)
            return None
        except asyncio.CancelledError:
            self.close()
            raise
        try:
            parsed = json.loads(data) if data else {}
        except ValueError:
            parsed = None
        return status, headers, parsed
