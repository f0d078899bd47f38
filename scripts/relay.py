"""TCP relay that injects network faults: blocked traffic, resets and delays."""

import contextlib
import socket
import struct
import threading
import time

_CONNECT_TIMEOUT_S = 2.0
# SO_LINGER with timeout 0 makes close() reset the connection.
_LINGER_RESET = struct.pack("ii", 1, 0)


class _Gate:
    """Pass, block or delay the bytes of one direction."""

    def __init__(self):
        self._open = threading.Event()
        self._open.set()
        self.delay_s = 0.0

    def close(self) -> None:
        self._open.clear()

    def open(self) -> None:
        self._open.set()

    def wait(self) -> None:
        self._open.wait()
        if self.delay_s:
            time.sleep(self.delay_s)


class FaultRelay:
    """Relay connections to a target; each direction can be blocked separately."""

    def __init__(self, listen: str, target: str):
        self._target = _parse_address(target)
        self._forward, self._backward = _Gate(), _Gate()
        self._sockets: set[socket.socket] = set()
        self._server = socket.create_server(_parse_address(listen))
        threading.Thread(target=self._accept_loop, daemon=True).start()

    def block(self, forward: bool = True, backward: bool = True) -> None:
        """Block traffic in the given directions while connections stay open."""
        if forward:
            self._forward.close()
        if backward:
            self._backward.close()

    def heal(self) -> None:
        """Remove delays and blocks; blocked bytes are delivered."""
        self.delay(0.0)
        self._forward.open()
        self._backward.open()

    def delay(self, delay_s: float) -> None:
        """Delay each chunk by `delay_s` seconds in both directions."""
        self._forward.delay_s = self._backward.delay_s = delay_s

    def reset(self) -> None:
        """Reset all open connections; new connections work."""
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            _close(sock)
        self._sockets.clear()

    def blackhole_open_connections(self) -> None:
        """Block open connections permanently while new connections work."""
        self.block()
        self._forward, self._backward = _Gate(), _Gate()

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        self._server.close()
        for sock in list(self._sockets):
            _close(sock)

    def _accept_loop(self) -> None:
        while True:
            try:
                client, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(
                target=self._relay_connection, args=(client,), daemon=True
            ).start()

    def _relay_connection(self, client: socket.socket) -> None:
        forward, backward = self._forward, self._backward
        forward.wait()
        try:
            target = socket.create_connection(self._target, timeout=_CONNECT_TIMEOUT_S)
        except OSError:
            _close(client)
            return
        target.settimeout(None)
        self._sockets |= {client, target}
        backward_thread = threading.Thread(
            target=_forward_bytes, args=(target, client, backward), daemon=True
        )
        backward_thread.start()
        _forward_bytes(client, target, forward)


def _forward_bytes(source: socket.socket, sink: socket.socket, gate: _Gate) -> None:
    with contextlib.suppress(OSError):
        while data := source.recv(65536):
            gate.wait()
            sink.sendall(data)
    _close(source)
    _close(sink)


def _close(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
