"""Small HTTP/1.1 server and client on asyncio, for the stand-ins of this review."""
import asyncio
import json


def encode_request(method, path, body, host):
    data = b"" if body is None else json.dumps(body).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


async def read_message(reader):
    """Returns (start line, headers, body) or None at the end of the stream."""
    start = await reader.readline()
    if not start:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if not line:
            return None
        if line in (b"\r\n", b"\n"):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return start.decode("latin-1").strip(), headers, body


class Client:
    """One connection to one address, one request at a time; reconnects as needed."""

    def __init__(self, addr):
        self.addr = addr
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, path, body=None, timeout=5.0):
        """Returns (status, parsed body, headers). Raises OSError or TimeoutError if there is no answer."""
        try:
            return await asyncio.wait_for(self._call(method, path, body), timeout)
        except asyncio.TimeoutError:
            self.close()
            raise TimeoutError("no response")
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            raise OSError(str(error) or "connection closed")
        except asyncio.CancelledError:
            self.close()
            raise

    async def _call(self, method, path, body):
        if self.writer is None:
            host, port = self.addr.split(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.write(encode_request(method, path, body, self.addr))
        await self.writer.drain()
        message = await read_message(self.reader)
        if message is None:
            raise OSError("connection closed")
        start, headers, data = message
        status = int(start.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            parsed = json.loads(data) if data else {}
        except ValueError:
            parsed = {}
        return status, parsed, headers


class Drop(Exception):
    """Raised by a handler: the connection is reset and the request gets no answer."""


class Server:
    """HTTP server. `handler(method, path, query, body)` is a coroutine that returns (status, value)."""

    def __init__(self, handler, host="127.0.0.1"):
        self.handler = handler
        self.host = host
        self.server = None
        self.addr = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, self.host, port, backlog=512, limit=1 << 20)
        port = self.server.sockets[0].getsockname()[1]
        self.addr = f"{self.host}:{port}"
        return self.addr

    def stop(self):
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                start, _, data = message
                method, target, _ = start.split(" ")
                path, _, query = target.partition("?")
                fields = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
                try:
                    body = json.loads(data) if data else None
                except ValueError:
                    body = None
                status, value = await self.handler(method, path, fields, body)
                out = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(out)}\r\n\r\n".encode()
                    + out
                )
                await writer.drain()
        except (Drop, OSError, EOFError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


class Proxy:
    """TCP proxy on loopback. `mode` is "open", "hold" (new and old connections stay silent, the bytes are delivered once
    it is open again) or "refuse" (connections are closed)."""

    def __init__(self, target):
        self.target = target
        self.mode = "open"
        self.opened = asyncio.Event()
        self.opened.set()
        self.addr = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addr = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self.addr

    def set(self, mode):
        self.mode = mode
        if mode == "hold":
            self.opened.clear()
        else:
            self.opened.set()
        if mode == "refuse":
            for writer in list(self.writers):
                writer.close()

    async def _serve(self, reader, writer):
        if self.mode == "refuse":
            writer.close()
            return
        self.writers.add(writer)
        try:
            await self.opened.wait()
            host, port = self.target.split(":")
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
            self.writers.add(up_writer)
            await asyncio.gather(self._pump(reader, up_writer), self._pump(up_reader, writer))
        except OSError:
            pass
        finally:
            writer.close()
            self.writers.discard(writer)

    async def _pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.opened.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
            self.writers.discard(writer)
