"""Relay to one address: a slow path, or one that is cut for a while.

It delays what clients send. From SIGUSR1 to SIGUSR2 it passes on nothing, and what it
was given meanwhile is lost.
"""

import argparse
import asyncio
import signal

_CHUNK_BYTES = 65536

_cut = asyncio.Event()


def _parse_args() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--target", required=True)
    parser.add_argument("--delay-s", type=float, required=True)
    return parser.parse_args()


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, delay_s: float
) -> None:
    """Pass on bytes, the first of them after the delay."""
    try:
        data = await reader.read(_CHUNK_BYTES)
        await asyncio.sleep(delay_s)
        while data:
            if _cut.is_set():
                return
            writer.write(data)
            await writer.drain()
            data = await reader.read(_CHUNK_BYTES)
        writer.write_eof()
    except OSError:
        writer.close()


async def _main() -> None:
    args = _parse_args()
    target, _, target_port = args.target.partition(":")
    host, _, port = args.listen.partition(":")

    async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if _cut.is_set():
            # The caller gives up by itself.
            await reader.read()
            writer.close()
            return
        try:
            there, back = await asyncio.open_connection(target, int(target_port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            _pump(reader, back, args.delay_s), _pump(there, writer, 0.0)
        )
        for side in (writer, back):
            side.close()

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, _cut.set)
    loop.add_signal_handler(signal.SIGUSR2, _cut.clear)
    server = await asyncio.start_server(relay, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main())
