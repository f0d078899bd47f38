"""TCP relay that cuts, silences, resets or delays connections."""

import contextlib
import socket
import struct
import threading
import time

_CONNECT_S = 2.0
# Makes the kernel reset a connection instead of ending it in order.
_RESET = struct.pack("ii", 1, 0)


class _Gate:
    """Let bytes pass in one direction, or hold them back."""

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


class CutRelay:
    """Relay connections to a target; each direction can be cut on its own."""

    def __init__(self, listen: str, target: str):
        self._target = _parse(target)
        self._forward, self._backward = _Gate(), _Gate()
        self._sockets: set[socket.socket] = set()
        self._server = socket.create_server(_parse(listen))
        threading.Thread(target=self._accept_loop, daemon=True).start()

    def cut(self, forward: bool = True, backward: bool = True) -> None:
        """Stop passing bytes in the chosen directions; connections stay open."""
        if forward:
            self._forward.close()
        if backward:
            self._backward.close()

    def heal(self) -> None:
        """Pass bytes again without delay, those held back included."""
        self.delay(0.0)
        self._forward.open()
        self._backward.open()

    def delay(self, delay_s: float) -> None:
        """Hold each piece of bytes back for some time, in both directions."""
        self._forward.delay_s = self._backward.delay_s = delay_s

    def reset(self) -> None:
        """Reset all open connections; new ones work."""
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            _close(sock)
        self._sockets.clear()

    def silence_open_connections(self) -> None:
        """Leave open connections silent for good while new ones work."""
        self.cut()
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
            threading.Thread(target=self._relay, args=(client,), daemon=True).start()

    def _relay(self, client: socket.socket) -> None:
        forward, backward = self._forward, self._backward
        forward.wait()
        try:
            target = socket.create_connection(self._target, timeout=_CONNECT_S)
        except OSError:
            _close(client)
            return
        target.settimeout(None)
        self._sockets |= {client, target}
        back = threading.Thread(
            target=_pump, args=(target, client, backward), daemon=True
        )
        back.start()
        _pump(client, target, forward)


def _pump(source: socket.socket, sink: socket.socket, gate: _Gate) -> None:
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


def _parse(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
