"""TCP proxy on loopback. Modes: pass, hold (delivers nothing until the mode changes), refuse (closes connections)."""
import asyncio


class Proxy:
    def __init__(self, target):
        self.target, self.mode = target, "pass"
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def set_mode(self, mode):
        self.mode = mode
        if mode == "refuse":
            for w in list(self.writers):
                w.transport.abort()

    async def connection(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        while self.mode == "hold":
            await asyncio.sleep(0.05)
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        try:
            await asyncio.gather(self.pump(reader, up_writer), self.pump(up_reader, writer))
        except asyncio.CancelledError:
            pass  # the script ends
        self.writers -= {writer, up_writer}

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                while self.mode == "hold":
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
