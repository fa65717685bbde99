"""Authenticated links between entry VMs, with one outgoing stream and task for each peer."""

import asyncio
import collections
import hashlib
import hmac
import secrets
import ssl
import time
from collections.abc import Callable

import gevent
import msgspec
from gevent.event import AsyncResult
from grpclib.client import Channel
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from balsamtally.decoding import decode
from balsamtally.errors import (
    BalsamtallyError,
    LinkError,
    PeerRefused,
    PeerTimeout,
    PeerUnreachable,
)
from balsamtally.logs import log
from balsamtally.loops import Loop
from balsamtally.messages import AnyMessage, Done, Failed, Message
from balsamtally.settings import Settings, split_address

METHOD = "/balsamtally.Links/Talk"
LINK_VERSION = 1
NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 1.0
RECONNECT_MIN_S = 0.2
RECONNECT_MAX_S = 3.0
MAX_OUTBOX_MESSAGES = 10_000
MAX_BATCH_BYTES = 2_000_000
MAX_CALLS_IN_PROGRESS = 5_000

MessageHandler = Callable[[str, Message], Message | None]


class Hello(msgspec.Struct, frozen=True):
    """A handshake message.

    :ivar version: version of the link protocol
    :ivar vm: name of the sending entry VM
    :ivar nonce: random bytes that the proof of the other side must cover
    :ivar proof: HMAC over the nonce of the other side, empty before the nonce is known
    """

    version: int
    vm: str
    nonce: bytes
    proof: bytes = b""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with the number of the call to which the message belongs.

    :ivar call: number of the call, 0 for a one-way message
    :ivar reply: whether the message is the reply to the call with that number
    :ivar body: the message
    """

    call: int
    reply: bool
    body: AnyMessage


_encoder = msgspec.msgpack.Encoder()
_hello_decoder = msgspec.msgpack.Decoder(Hello)
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_batch_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])


class BytesCodec:
    """Pass-through codec for grpclib, since this module encodes the messages itself."""

    __content_subtype__ = "msgpack"

    def encode(self, message: bytes, message_type: type) -> bytes:
        """Return the bytes as they are."""
        return message

    def decode(self, data: bytes, message_type: type) -> bytes:
        """Return the bytes as they are."""
        return data


class Peer:
    """State of the outgoing stream to one entry VM."""

    def __init__(self, vm: str):
        self.vm = vm
        self.outbox: collections.deque[tuple[int, bytes]] = collections.deque()
        self.pending: dict[int, AsyncResult] = {}
        self.wake = asyncio.Event()
        self.task: asyncio.Task | None = None
        self.connected = False
        self.reconnect_at = 0.0
        self.reconnect_delay_s = RECONNECT_MIN_S
        self.last_received_at = 0.0

    def fail_all(self, error: LinkError) -> None:
        """Fail all pending calls: unsent calls as unreachable, sent calls as timed out.

        :param error: why the stream ended
        """
        unsent = {call for call, _ in self.outbox}
        self.outbox.clear()
        pending, self.pending = self.pending, {}
        for call, result in pending.items():
            text = f"{self.vm}: {error}"
            kind = PeerTimeout
            if call in unsent:
                kind = PeerRefused if isinstance(error, PeerRefused) else PeerUnreachable
            result.set_exception(kind(text))


class Links:
    """The links of this entry VM; a context manager that starts and stops them.

    :param settings: settings of the entry VM
    :param find_address: returns the peer address of an entry VM by name, ``None`` if unknown
    :param loop: asyncio loop of the process
    """

    def __init__(self, settings: Settings, find_address: Callable[[str], str | None], loop: Loop):
        self.settings = settings
        self.find_address = find_address
        self.peers: dict[str, Peer] = {}
        self.handlers: dict[type[Message], MessageHandler] = {}
        self.next_call = 1
        self.calls_in_progress = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_batches = 0
        self.loop = loop
        self._server: Server | None = None
        self._key = bytes.fromhex(settings.link_key)

    def __enter__(self) -> "Links":
        self.loop.run(self._open())
        return self

    def __exit__(self, *exc_info) -> None:
        self.loop.run(self._close())

    def handle(self, kind: type[Message], handler: MessageHandler) -> None:
        """Register the handler of a message class.

        :param kind: class of the message
        :param handler: called with the sender's name and the message in a separate greenlet;
            returns the reply, or ``None`` for an empty reply
        """
        self.handlers[kind] = handler

    def cast(self, vm: str, message: Message) -> None:
        """Send a one-way message, which may be lost.

        :param vm: name of the receiving entry VM
        :param message: the message
        """
        if vm == self.settings.vm:
            gevent.spawn(self._run_handler, vm, message)
            return
        peer = self._find_peer(vm)
        if len(peer.outbox) >= MAX_OUTBOX_MESSAGES or self._is_backing_off(peer):
            return
        self._enqueue(peer, 0, False, message)

    def call(self, vm: str, message: Message, timeout_s: float) -> Message:
        """Send a message and wait for its reply.

        :param vm: name of the receiving entry VM
        :param message: the message
        :param timeout_s: maximum wait in seconds
        :return: the reply
        :raises PeerUnreachable: if the message was certainly not sent
        :raises PeerTimeout: if no reply arrived; the peer may have processed the message
        :raises BalsamtallyError: the error with which the peer replied
        """
        if vm == self.settings.vm:
            return self._unwrap_reply(self._run_handler(vm, message))
        peer = self._find_peer(vm)
        if self._is_backing_off(peer):
            raise PeerUnreachable(
                f"{vm} is unreachable; waiting before the next connection attempt"
            )
        if len(peer.outbox) >= MAX_OUTBOX_MESSAGES:
            raise PeerUnreachable(f"the send queue to {vm} is full")
        call = self.next_call
        self.next_call += 1
        result = AsyncResult()
        peer.pending[call] = result
        begun = time.monotonic()
        self._enqueue(peer, call, False, message)
        try:
            reply = result.get(timeout=timeout_s)
        except gevent.Timeout:
            raise self._abandon_call(peer, call, begun) from None
        finally:
            peer.pending.pop(call, None)
        return self._unwrap_reply(reply)

    def _abandon_call(self, peer: Peer, call: int, begun: float) -> LinkError:
        for index, (queued, _) in enumerate(peer.outbox):
            if queued == call:
                del peer.outbox[index]
                return PeerUnreachable(f"no message could be sent to {peer.vm} in time")
        if peer.last_received_at < begun and peer.task is not None:
            self.loop.post(peer.task.cancel)
        return PeerTimeout(f"{peer.vm} did not reply in time")

    @staticmethod
    def _unwrap_reply(reply: Message) -> Message:
        if isinstance(reply, Failed):
            raise reply.error.restore()
        return reply

    def _find_peer(self, vm: str) -> Peer:
        peer = self.peers.get(vm)
        if peer is None:
            peer = self.peers[vm] = Peer(vm)
        return peer

    @staticmethod
    def _is_backing_off(peer: Peer) -> bool:
        return not peer.connected and time.monotonic() < peer.reconnect_at

    def _enqueue(self, peer: Peer, call: int, reply: bool, message: Message) -> None:
        peer.outbox.append((call, _encoder.encode(Envelope(call, reply, message))))
        if len(peer.outbox) == 1:
            self.loop.post(self._wake_writer, peer)

    def _wake_writer(self, peer: Peer) -> None:
        peer.wake.set()
        if peer.task is None or peer.task.done():
            peer.task = self.loop.asyncio.create_task(self._run_outgoing(peer))

    # The coroutines below run in the greenlet of the asyncio loop.

    async def _open(self) -> None:
        self._server = Server([self], codec=BytesCodec())
        host, port = split_address(self.settings.peer_address)
        await self._server.start(host, port, ssl=self._make_tls(ssl.Purpose.CLIENT_AUTH))

    async def _close(self) -> None:
        tasks = [peer.task for peer in self.peers.values() if peer.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._server.close()
        await asyncio.wait([asyncio.ensure_future(self._server.wait_closed())], timeout=1)

    def __mapping__(self) -> dict[str, Handler]:
        """Return the RPC methods served, as grpclib expects them."""
        return {METHOD: Handler(self._serve_incoming, Cardinality.STREAM_STREAM, bytes, bytes)}

    def _make_tls(self, purpose: ssl.Purpose) -> ssl.SSLContext | None:
        if not self.settings.tls_cert:
            return None
        context = ssl.create_default_context(purpose, cafile=self.settings.tls_ca)
        context.load_cert_chain(self.settings.tls_cert, self.settings.tls_key)
        context.verify_mode = ssl.CERT_REQUIRED
        context.check_hostname = False
        context.set_alpn_protocols(["h2"])
        return context

    def _compute_proof(self, vm: str, nonce: bytes) -> bytes:
        return hmac.digest(self._key, vm.encode() + b"\0" + nonce, hashlib.sha256)

    def _check_proof(self, hello: Hello, nonce: bytes) -> None:
        if hello.version != LINK_VERSION:
            raise PeerRefused(
                f"{hello.vm} uses link protocol version {hello.version}, not {LINK_VERSION}"
            )
        if not hmac.compare_digest(hello.proof, self._compute_proof(hello.vm, nonce)):
            raise PeerRefused("the proof of the shared key is invalid")

    async def _run_outgoing(self, peer: Peer) -> None:
        error: LinkError = PeerUnreachable("the stream ended")
        try:
            await self._run_stream(peer)
        except PeerRefused as refused:
            error = refused
            log.warning("peer_refused", peer=peer.vm, reason=str(refused))
        except (OSError, GRPCError, StreamTerminatedError, TimeoutError) as failed:
            error = PeerUnreachable(f"{type(failed).__name__}: {failed}")
        except msgspec.DecodeError as malformed:
            error = PeerRefused(f"malformed message: {malformed}")
        finally:
            peer.connected = False
            peer.reconnect_at = time.monotonic() + peer.reconnect_delay_s
            peer.reconnect_delay_s = min(peer.reconnect_delay_s * 2, RECONNECT_MAX_S)
            peer.task = None
            peer.fail_all(error)

    async def _run_stream(self, peer: Peer) -> None:
        address = self.find_address(peer.vm)
        if address is None:
            raise PeerUnreachable("the address of the peer is unknown")
        host, port = split_address(address)
        tls = self._make_tls(ssl.Purpose.SERVER_AUTH)
        async with Channel(host, port, ssl=tls, codec=BytesCodec()) as channel:
            async with channel.request(METHOD, Cardinality.STREAM_STREAM, bytes, bytes) as stream:
                async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                    await self._handshake_as_client(stream, peer.vm)
                peer.connected = True
                peer.reconnect_delay_s = RECONNECT_MIN_S
                await self._transfer(peer, stream)

    async def _handshake_as_client(self, stream, vm: str) -> None:
        nonce = secrets.token_bytes(NONCE_BYTES)
        await stream.send_message(_encoder.encode(Hello(LINK_VERSION, self.settings.vm, nonce)))
        reply = await stream.recv_message()
        if reply is None:
            raise PeerRefused("the peer closed the stream during the handshake")
        hello = decode(_hello_decoder, reply)
        self._check_proof(hello, nonce)
        if hello.vm != vm:
            raise PeerUnreachable(f"{hello.vm} answers at the address of {vm}")
        proof = self._compute_proof(self.settings.vm, hello.nonce)
        await stream.send_message(
            _encoder.encode(Hello(LINK_VERSION, self.settings.vm, nonce, proof))
        )

    async def _transfer(self, peer: Peer, stream) -> None:
        reader = asyncio.create_task(self._read_replies(peer, stream))
        writer = asyncio.create_task(self._write_outbox(peer, stream))
        try:
            done, _ = await asyncio.wait({reader, writer}, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            reader.cancel()
            writer.cancel()
            await asyncio.gather(reader, writer, return_exceptions=True)

    async def _write_outbox(self, peer: Peer, stream) -> None:
        while True:
            await peer.wake.wait()
            peer.wake.clear()
            while peer.outbox:
                await self._send_batch(stream, take_batch(peer.outbox))

    async def _send_batch(self, stream, batch: bytes) -> None:
        self.sent_batches += 1
        self.sent_bytes += len(batch)
        await stream.send_message(batch)

    async def _read_replies(self, peer: Peer, stream) -> None:
        while True:
            data = await stream.recv_message()
            if data is None:
                return
            self.received_bytes += len(data)
            peer.last_received_at = time.monotonic()
            for envelope in decode_batch(data, peer.vm):
                result = peer.pending.get(envelope.call)
                if envelope.reply and result is not None:
                    result.set(envelope.body)

    async def _serve_incoming(self, stream) -> None:
        """Serve one incoming stream of a peer."""
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                vm = await self._handshake_as_server(stream)
        except (PeerRefused, msgspec.DecodeError, TimeoutError) as refused:
            log.warning("stranger_refused", reason=str(refused) or type(refused).__name__)
            return
        # The incoming connection shows that the peer runs, so retry an outgoing one without delay.
        peer = self._find_peer(vm)
        peer.reconnect_at, peer.reconnect_delay_s = 0.0, RECONNECT_MIN_S
        outbox: collections.deque[tuple[int, bytes]] = collections.deque()
        wake = asyncio.Event()
        writer = asyncio.create_task(self._write_replies(stream, outbox, wake))
        try:
            await self._read_calls(stream, vm, outbox, wake)
        finally:
            writer.cancel()

    async def _handshake_as_server(self, stream) -> str:
        first = await stream.recv_message()
        if first is None:
            raise PeerRefused("the stream was closed before the first handshake message")
        hello = decode(_hello_decoder, first)
        nonce = secrets.token_bytes(NONCE_BYTES)
        proof = self._compute_proof(self.settings.vm, hello.nonce)
        await stream.send_message(
            _encoder.encode(Hello(LINK_VERSION, self.settings.vm, nonce, proof))
        )
        second = await stream.recv_message()
        if second is None:
            raise PeerRefused("the stream was closed before the proof of the shared key")
        proved = decode(_hello_decoder, second)
        self._check_proof(proved, nonce)
        return proved.vm

    async def _read_calls(self, stream, vm: str, outbox, wake: asyncio.Event) -> None:
        while True:
            data = await stream.recv_message()
            if data is None:
                return
            self.received_bytes += len(data)
            for envelope in decode_batch(data, vm):
                if self.calls_in_progress >= MAX_CALLS_IN_PROGRESS:
                    continue
                self.calls_in_progress += 1
                gevent.spawn(self._serve_message, vm, envelope, outbox, wake)

    async def _write_replies(self, stream, outbox, wake: asyncio.Event) -> None:
        while True:
            await wake.wait()
            wake.clear()
            while outbox:
                await self._send_batch(stream, take_batch(outbox))

    def _serve_message(self, vm: str, envelope: Envelope, outbox, wake: asyncio.Event) -> None:
        try:
            reply = self._run_handler(vm, envelope.body)
        finally:
            self.calls_in_progress -= 1
        if envelope.call:
            outbox.append((0, _encoder.encode(Envelope(envelope.call, True, reply))))
            self.loop.post(wake.set)

    def _run_handler(self, vm: str, message: Message) -> Message:
        handler = self.handlers.get(type(message))
        if handler is None:
            return Failed(LinkError(f"no handler for {type(message).__name__}").report())
        try:
            return handler(vm, message) or Done()
        except BalsamtallyError as error:
            return Failed(error.report())
        except Exception:
            log.exception("handler_failed", message=type(message).__name__, peer=vm)
            return Failed(BalsamtallyError().report())


def take_batch(outbox: collections.deque[tuple[int, bytes]]) -> bytes:
    """Remove queued messages from an outbox, as many as fit into one batch.

    :param outbox: call numbers and encoded envelopes, not empty
    :return: MessagePack array of the envelopes, of at least one envelope and otherwise of at most
        ``MAX_BATCH_BYTES`` in total
    """
    batch = [outbox.popleft()[1]]
    size = len(batch[0])
    while outbox and size + len(outbox[0][1]) <= MAX_BATCH_BYTES:
        batch.append(outbox.popleft()[1])
        size += len(batch[-1])
    return _encoder.encode([msgspec.Raw(body) for body in batch])


def decode_batch(data: bytes, vm: str) -> list[Envelope]:
    """Decode a batch of messages, skipping messages that this version doesn't know.

    Skipping lets daemons of two versions communicate.

    :param data: MessagePack array of envelopes
    :param vm: name of the sending entry VM
    :return: the decoded envelopes
    :raises msgspec.DecodeError: if the data isn't a MessagePack array
    """
    envelopes = []
    for body in decode(_batch_decoder, data):
        try:
            envelopes.append(decode(_envelope_decoder, body))
        except msgspec.DecodeError as error:
            log.warning("message_unknown", peer=vm, reason=str(error))
    return envelopes
