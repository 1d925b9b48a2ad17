"""Forwards one request of a caller to the target and streams the response back."""

import asyncio
import hashlib
import logging

import aiohttp
import msgspec

from ryesaddle.daemons.quic.attempt import AttemptRecord
from ryesaddle.daemons.quic.claims import Acquired, HeldElsewhere, Unavailable
from ryesaddle.daemons.quic.header import (
    OUTCOME_HEADER,
    error_fields,
    response_fields,
    target_request_fields,
)
from ryesaddle.daemons.quic.request import MAX_BODY_BYTES, SAFE_METHODS
from ryesaddle.daemons.quic.stream import CallerGoneError
from ryesaddle.daemons.quic.upstream import end_to_end_headers
from ryesaddle.internal.admission.admission import Decline
from ryesaddle.internal.claims.claimant import ClaimStatus
from ryesaddle.internal.claims.stored_response import (
    MAX_STORED_BODY_BYTES,
    StoredResponse,
)
from ryesaddle.internal.journal.outcome import Outcome

log = logging.getLogger(__name__)

CHUNK_BYTES = 64 * 1024
CLAIM_RETRY_AFTER_S = 1
DRAINING_RETRY_AFTER_S = 1


class Exchange:
    """Handles one attempt at a request and updates its journal entry.

    Parameters
    ----------
    agent : Agent
        Provides the admission queue, upstream, journal, claims and relay.
    stream : FlowStream or RelayStream
        Receives the response.
    req : Request
        The request.
    attempt : int
        Number of the attempt, unique within this run of the agent.
    relayed : bool
        Whether another agent relayed the request; if so, it is not relayed again.
    """

    def __init__(self, agent, stream, req, attempt, relayed=False):
        self._agent = agent
        self._stream = stream
        self._req = req
        self._relayed = relayed
        self._body = bytearray()
        self._body_done = asyncio.get_running_loop().create_future()
        self._response_started = False
        self._continues_without_caller = False
        self._claim = None
        self._stored_response = None
        self._deadline = asyncio.get_running_loop().time() + req.timeout_s
        self._attempt = AttemptRecord(agent, attempt, req, stream)

    @property
    def outcome(self):
        """The `Outcome` so far."""
        return self._attempt.outcome

    def receive_body(self, data, end):
        """Append a part of the request body."""
        if self._body_done.done():
            return  # Data after the size limit is discarded.
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            self._complete_body(False)
        elif end:
            self._complete_body(True)

    def handle_caller_gone(self):
        """Handle the loss of the caller; return whether the request continues.

        A request with an idempotency key that was already dispatched continues, so
        that a retry with the same key receives its result.
        """
        self._continues_without_caller = (
            self._claim is not None and self._attempt.is_dispatched
        )
        return self._continues_without_caller

    async def run(self):
        """Handle the request, then wait for its response to be delivered."""
        try:
            async with asyncio.timeout_at(self._deadline):
                await self._handle_request()
        except TimeoutError:
            self._fail("deadline", 504)
        except asyncio.CancelledError:
            self._attempt.finish(self._outcome_if_aborted(), 0, "caller-gone")
            raise
        except CallerGoneError:
            self._attempt.finish(self._outcome_if_aborted(), 0, "caller-gone")
        except aiohttp.ClientConnectorError:
            # `_run_claimed` has already withdrawn the claim, if there is one.
            self._agent.record_target_failure()
            self._decline(
                "target-unreachable", self._agent.admission_queue.retry_after()
            )
        except (aiohttp.ClientError, OSError) as exc:
            self._agent.record_target_failure()
            self._fail(f"target-failed:{type(exc).__name__}", 502)
        except Exception:
            # The caller must receive a response even if the agent has a bug.
            log.exception("exchange-failed")
            self._fail("internal-error", 500)
        if await self._stream.wait_delivered():
            self._attempt.mark_delivered()

    async def _handle_request(self):
        if not await self._body_done:
            self._send_error(413, Outcome.NOT_RUN, "body-too-large")
            return
        if not self._accepts_request() and not self._relayed:
            member = self._agent.relay.choose_member(self._req.request_id)
            if member is not None:
                await self._relay_to(member)
                return
        if not self._req.key:
            await self._admit_and_dispatch()
            return
        result = await self._agent.claims.acquire(self._req.key, self._deadline)
        match result:
            case Acquired(claim=claim):
                await self._run_claimed(claim)
            case HeldElsewhere():
                await self._replay_result(result)
            case Unavailable(reason=reason):
                self._send_error(
                    503, self._outcome_if_aborted(), reason, CLAIM_RETRY_AFTER_S
                )

    def _accepts_request(self):
        return self._agent.accepts_requests(self._req.method in SAFE_METHODS)

    async def _run_claimed(self, claim):
        self._claim = claim
        claimant = self._agent.claims.claimant
        try:
            await self._admit_and_dispatch()
        except aiohttp.ClientConnectorError:
            self._agent.claims.withdraw(claim)
            raise
        finally:
            # Only one of the calls has an effect: a dispatched claim cannot be given
            # up, and a claim that was not dispatched cannot be finished.
            claimant.finish(claim, self._stored_response)
            self._agent.claims.give_up(claim)

    async def _admit_and_dispatch(self):
        if not self._accepts_request():
            self._decline("draining", DRAINING_RETRY_AFTER_S)
            return
        decision = await self._agent.admission_queue.acquire(
            self._attempt.number, self._deadline
        )
        if isinstance(decision, Decline):
            self._decline(decision.reason, decision.retry_after_s)
            return
        measured = False
        try:
            measured = await self._dispatch()
        finally:
            self._agent.admission_queue.release(self._attempt.number, measured)

    async def _replay_result(self, held):
        """Respond with the result of the attempt that holds the key."""
        report = held.report
        claim_name = f"{held.holder.node}/{held.holder.sequence}"
        if report.status is not ClaimStatus.FINISHED or report.answer is None:
            self._send_error(
                504, Outcome.UNKNOWN, f"held-by:{claim_name},{report.status}"
            )
        elif report.answer.fingerprint != self._fingerprint():
            self._send_error(
                422, Outcome.NOT_RUN, f"key-of-another-request:{claim_name}"
            )
        elif report.answer.body is None:
            self._send_error(409, Outcome.RAN, f"ran-by:{claim_name},answer-not-kept")
        else:
            await self._replay_response(report.answer, claim_name)

    async def _replay_response(self, stored, claim_name):
        fields = response_fields(stored.headers, self._req.request_id, len(stored.body))
        self._response_started = True
        await self._stream.start(stored.status, fields)
        await self._stream.write(stored.body)
        await self._stream.finish()
        self._attempt.finish(Outcome.RAN, stored.status, f"ran-by:{claim_name}")

    async def _dispatch(self):
        """Send the request to the target; return whether its duration is measured."""
        req = self._req
        if self._claim and not self._agent.claims.claimant.take(self._claim):
            self._decline("claim-released", CLAIM_RETRY_AFTER_S)
            return False
        self._attempt.mark_dispatched()
        self._attempt.log_placement("slot-free")
        remaining_s = self._deadline - asyncio.get_running_loop().time()
        headers = target_request_fields(end_to_end_headers(req.headers), remaining_s)
        async with self._agent.upstream.exchange(
            req.method, req.path, headers, bytes(self._body)
        ) as response:
            fields = tuple(end_to_end_headers(response.headers.items()))
            length = response.headers.get("Content-Length")
            body = await self._stream_response(
                response, response_fields(fields, req.request_id, length)
            )
            if self._claim:
                self._stored_response = StoredResponse(
                    response.status, fields, body, self._fingerprint()
                )
            if not self._continues_without_caller:
                await self._stream.finish()
            reason = "caller-gone" if self._continues_without_caller else "answered"
            self._attempt.finish(Outcome.RAN, response.status, reason)
            self._agent.record_target_answer(response.status)
        return True

    async def _relay_to(self, member):
        """Relay the request to another agent because the local target is draining."""
        remaining_s = self._deadline - asyncio.get_running_loop().time()
        req = msgspec.structs.replace(self._req, timeout_s=max(remaining_s, 0.0))
        relay = self._agent.relay
        outcome_if_unreachable = self._outcome_if_aborted()
        self._attempt.log_placement("draining", to=member.node)
        self._attempt.mark_dispatched()
        try:
            async with relay.send(member, req, self._stream, self._body) as response:
                outcome = Outcome(response.headers.get(OUTCOME_HEADER, Outcome.UNKNOWN))
                fields = tuple(end_to_end_headers(response.headers.items()))
                length = response.headers.get("Content-Length")
                if length is not None:
                    fields = (*fields, ("content-length", length))
                await self._stream_response(response, fields)
                await self._stream.finish()
                self._attempt.finish(outcome, response.status, f"relayed:{member.node}")
        except aiohttp.ClientConnectorError:
            reason = f"relay-unreachable:{member.node}"
            self._send_error(
                503, outcome_if_unreachable, reason, DRAINING_RETRY_AFTER_S
            )
        except (aiohttp.ClientError, OSError):
            self._send_error(502, Outcome.UNKNOWN, f"relay-failed:{member.node}")

    async def _stream_response(self, response, fields):
        """Stream a response to the caller; return its body if it is short enough."""
        self._response_started = True
        if not self._continues_without_caller:
            await self._stream.start(
                response.status, [(k.lower(), v) for k, v in fields]
            )
        buffered_body = bytearray()
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            if len(buffered_body) <= MAX_STORED_BODY_BYTES:
                buffered_body += chunk
            if not self._continues_without_caller:
                await self._write_chunk(chunk)
        return (
            bytes(buffered_body)
            if len(buffered_body) <= MAX_STORED_BODY_BYTES
            else None
        )

    async def _write_chunk(self, chunk):
        try:
            await self._stream.write(chunk)
        except CallerGoneError:
            if not self.handle_caller_gone():
                raise

    def _fingerprint(self):
        """Return a digest that detects a different request with the same key."""
        digest = hashlib.blake2b(bytes(self._body), digest_size=16)
        digest.update(f"{self._req.method} {self._req.path}".encode())
        return digest.digest()

    def _outcome_if_aborted(self):
        return self._attempt.outcome_if_aborted(
            bool(self._req.key) and self._claim is None
        )

    def _fail(self, reason, status):
        if not self._attempt.is_dispatched:
            retry_after_s = self._agent.admission_queue.retry_after()
            self._send_error(503, self._outcome_if_aborted(), reason, retry_after_s)
        else:
            self._send_error(status, Outcome.UNKNOWN, reason)

    def _decline(self, reason, retry_after_s):
        self._send_error(503, Outcome.NOT_RUN, reason, retry_after_s)

    def _send_error(self, status, outcome, reason, retry_after_s=None):
        self._attempt.finish(outcome, status, reason)
        if self._stream.closed or self._continues_without_caller:
            return
        if self._response_started:
            # Part of the response was sent, so only a stream reset can tell the
            # caller that it is incomplete.
            self._stream.abort()
        else:
            fields = error_fields(self._req.request_id, outcome, reason, retry_after_s)
            self._stream.send_empty(status, fields)

    def _complete_body(self, within_limit):
        if not self._body_done.done():
            self._body_done.set_result(within_limit)
