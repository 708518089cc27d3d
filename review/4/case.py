"""Requests whose Transfer-Encoding does not end in chunked, with another request in their body."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import fleet as f  # noqa: E402

CODINGS = ["gzip", "deflate", "identity", "chunked, identity"]


async def answer(server, line, headers, reader, writer):
    body = await f.read_body(reader, headers)
    server.ran.append((headers.get("marigoldstep-request-id", ""), line.split(" ")[1], len(body)))
    writer.write(f"HTTP/1.1 200 OK\r\n{server.seal(headers)}Content-Length: 2\r\n\r\nok".encode())
    await writer.drain()
    return True


def make_request(i, coding):
    """A request with a body that looks like a request, and the body."""
    body = f.request_head("/job/inner", f"inner-{i}")
    head = f.request_head("/job/outer", f"outer-{i}")
    if f.TROUBLE:
        return head.replace(b"Content-Length: 0", f"Transfer-Encoding: {coding}".encode()) + body, body
    chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked") + chunks, body


async def case(record):
    fleet = f.Fleet(record)
    try:
        await fleet.start(f.configuration(1, [f.route("job", "app")], ["app"]))
        server = f.Server(fleet, "app-1", "app", "z-a", 64, answer)
        server.ran = []
        await server.start()
        await asyncio.sleep(1)
        sent = {}
        for i, coding in enumerate(CODINGS):
            request, body = make_request(i, coding)
            sent[f"outer-{i}"] = len(body)
            reader, writer = await asyncio.open_connection(fleet.gateways[0].host, fleet.front_port)
            record(f"sends outer-{i} with Transfer-Encoding: {coding if f.TROUBLE else 'chunked'}; its body of "
                   f"{len(body)} bytes reads like a request inner-{i}")
            writer.write(request)
            received = b""
            try:
                while True:
                    piece = await asyncio.wait_for(reader.read(4096), 0.5)
                    if not piece:
                        break
                    received += piece
            except asyncio.TimeoutError:
                pass
            writer.close()
            statuses = [int(it.split()[0]) for it in received.decode("latin1").split("HTTP/1.1 ")[1:]]
            record(f"gets answers on that channel: {statuses}")
        for request_id, path, size in server.ran:
            record(f"the server ran {request_id} ({path}) with a body of {size} bytes")
        smuggled = [it for it in server.ran if it[0] not in sent]
        changed = [it for it in server.ran if it[0] in sent and it[2] != sent[it[0]]]
        record(f"requests that ran and that no requester sent: {len(smuggled)}; with another body: {len(changed)}")
        return bool(smuggled)
    finally:
        fleet.stop()


if __name__ == "__main__":
    f.run_case(FOLDER, case)
