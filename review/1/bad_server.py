"""A booking server whose answers have no end for some seconds: interim answers (103) that keep coming.

Arguments: the seconds from the first request on in which its answers are sound, and those in which they have no end.
It prints its port, and a line for each answer without an end."""

import socket
import sys
import threading
import time

SOUND_S, ENDLESS_S = float(sys.argv[1]), float(sys.argv[2])
INTERIM = b"HTTP/1.1 103 \r\n\r\n" * 12000
began = None


def serve(connection):
    global began
    text = b""
    try:
        while True:
            while b"\r\n\r\n" not in text:
                data = connection.recv(65536)
                if not data:
                    return
                text += data
            text = b""
            if began is None:
                began = time.monotonic()
            end = began + SOUND_S + ENDLESS_S
            if began + SOUND_S <= time.monotonic() < end:
                since, sent = time.monotonic(), 0
                try:
                    while time.monotonic() < end:
                        sent += connection.send(INTERIM)
                finally:
                    print(f"sent {sent / 1e6:.0f} MB of interim answers in {time.monotonic() - since:.2f} s", flush=True)
                return
            time.sleep(0.05)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
    except OSError:
        pass
    finally:
        connection.close()


listener = socket.create_server(("127.0.0.1", 0))
print(listener.getsockname()[1], flush=True)
while True:
    accepted, _ = listener.accept()
    threading.Thread(target=serve, args=(accepted,), daemon=True).start()
