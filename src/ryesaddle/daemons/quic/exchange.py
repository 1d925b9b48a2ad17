"""Carries one request from a caller to the target and its answer back."""

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
from ryesaddle.daemons.quic.request import MAX_BODY_BYTES
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
    """One attempt at a request; its task owns the stream and the journal entry.

    Parameters
    ----------
    agent : Agent
        Parts of the agent: admission_queue, upstream, journal, claims, relay.
    stream : FlowStream or RelayStream
        Where the answer goes.
    req : Request
        The request.
    attempt : int
        Number of the attempt, unique within this run of the agent.
    relayed : bool
        Whether another agent has relayed it here; it is not relayed again.
    """

    def __init__(self, agent, stream, req, attempt, relayed=False):
        self._agent = agent
        self._stream = stream
        self._req = req
        self._relayed = relayed
        self._body = bytearray()
        self._body_done = asyncio.get_running_loop().create_future()
        self._answering = False
        self._orphaned = False
        self._claim = None
        self._stored = None
        self._deadline = asyncio.get_running_loop().time() + req.timeout_s
        self._attempt = AttemptRecord(agent, attempt, req, stream)

    @property
    def outcome(self):
        """The `Outcome` so far."""
        return self._attempt.outcome

    def receive_body(self, data, end):
        """Take a part of the request body."""
        if self._body_done.done():
            return  # What follows a body that is too large is not kept.
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            self._finish_body(False)
        elif end:
            self._finish_body(True)

    def handle_caller_gone(self):
        """Take the news that the caller has gone; return whether to go on.

        A submission that is already at the target is seen to its end, so that a
        repeat of its key is told what became of it.
        """
        self._orphaned = self._claim is not None and self._attempt.is_dispatched
        return self._orphaned

    async def run(self):
        """Handle the request to its end."""
        try:
            async with asyncio.timeout_at(self._deadline):
                await self._serve()
        except TimeoutError:
            self._give_up("deadline", 504)
        except asyncio.CancelledError:
            self._attempt.finish(self._outcome_if_aborted(), 0, "caller-gone")
            raise
        except CallerGoneError:
            self._attempt.finish(self._outcome_if_aborted(), 0, "caller-gone")
        except aiohttp.ClientConnectorError:
            # The claim, if there is one, was withdrawn on the way here.
            self._agent.record_target_failure()
            self._not_run(
                "target-unreachable", self._agent.admission_queue.retry_after()
            )
        except (aiohttp.ClientError, OSError) as exc:
            self._agent.record_target_failure()
            self._give_up(f"target-failed:{type(exc).__name__}", 502)
        except Exception:
            # A defect of the agent must not leave the caller without an answer.
            log.exception("exchange-failed")
            self._give_up("internal-error", 500)
        if await self._stream.wait_delivered():
            self._attempt.mark_delivered()

    async def _serve(self):
        if not await self._body_done:
            self._answer_error(413, Outcome.NOT_RUN, "body-too-large")
            return
        if not self._agent.accepts_requests() and not self._relayed:
            member = self._agent.relay.choose_member(self._req.request_id)
            if member is not None:
                await self._relay_to(member)
                return
        if not self._req.key:
            await self._admit()
            return
        found = await self._agent.claims.acquire(self._req.key, self._deadline)
        match found:
            case Acquired(claim=claim):
                await self._run_claimed(claim)
            case HeldElsewhere():
                await self._repeat(found)
            case Unavailable(reason=reason):
                self._answer_error(
                    503, self._outcome_if_aborted(), reason, CLAIM_RETRY_AFTER_S
                )

    async def _run_claimed(self, claim):
        self._claim = claim
        claimant = self._agent.claims.claimant
        try:
            await self._admit()
        except aiohttp.ClientConnectorError:
            self._agent.claims.withdraw(claim)
            raise
        finally:
            # Only one of the two takes effect: a dispatched claim cannot be given
            # up, and one that was not dispatched cannot be finished.
            claimant.finish(claim, self._stored)
            self._agent.claims.give_up(claim)

    async def _admit(self):
        if not self._agent.accepts_requests():
            self._not_run("draining", DRAINING_RETRY_AFTER_S)
            return
        decision = await self._agent.admission_queue.acquire(
            self._attempt.number, self._deadline
        )
        if isinstance(decision, Decline):
            self._not_run(decision.reason, decision.retry_after_s)
            return
        measured = False
        try:
            measured = await self._dispatch()
        finally:
            self._agent.admission_queue.release(self._attempt.number, measured)

    async def _repeat(self, found):
        """Answer with what became of the attempt that holds the key."""
        report = found.report
        where = f"{found.holder.node}/{found.holder.sequence}"
        if report.status is not ClaimStatus.FINISHED or report.answer is None:
            self._answer_error(504, Outcome.UNKNOWN, f"held-by:{where},{report.status}")
        elif report.answer.fingerprint != self._fingerprint():
            self._answer_error(422, Outcome.NOT_RUN, f"key-of-another-request:{where}")
        elif report.answer.body is None:
            self._answer_error(409, Outcome.RAN, f"ran-by:{where},answer-not-kept")
        else:
            await self._repeat_answer(report.answer, where)

    async def _repeat_answer(self, answer, where):
        fields = response_fields(answer.headers, self._req.request_id, len(answer.body))
        self._answering = True
        await self._stream.start(answer.status, fields)
        await self._stream.write(answer.body)
        await self._stream.finish()
        self._attempt.finish(Outcome.RAN, answer.status, f"ran-by:{where}")

    async def _dispatch(self):
        """Hand the request to the target; return whether its time counts."""
        req = self._req
        if self._claim and not self._agent.claims.claimant.take(self._claim):
            self._not_run("claim-released", CLAIM_RETRY_AFTER_S)
            return False
        self._attempt.mark_dispatched()
        self._attempt.log_placement("slot-free")
        left = self._deadline - asyncio.get_running_loop().time()
        headers = target_request_fields(end_to_end_headers(req.headers), left)
        async with self._agent.upstream.exchange(
            req.method, req.path, headers, bytes(self._body), req.is_safe
        ) as reply:
            fields = tuple(end_to_end_headers(reply.headers.items()))
            length = reply.headers.get("Content-Length")
            body = await self._pass_on(
                reply, response_fields(fields, req.request_id, length)
            )
            if self._claim:
                self._stored = StoredResponse(
                    reply.status, fields, body, self._fingerprint()
                )
            if not self._orphaned:
                await self._stream.finish()
            reason = "caller-gone" if self._orphaned else "answered"
            self._attempt.finish(Outcome.RAN, reply.status, reason)
            self._agent.health.succeeded()
        return True

    async def _relay_to(self, member):
        """Let another agent handle the request, because the own target drains."""
        left = self._deadline - asyncio.get_running_loop().time()
        req = msgspec.structs.replace(self._req, timeout_s=max(left, 0.0))
        relay = self._agent.relay
        not_reached = self._outcome_if_aborted()
        self._attempt.log_placement("draining", to=member.node)
        self._attempt.mark_dispatched()
        try:
            async with relay.send(member, req, self._stream, self._body) as reply:
                outcome = Outcome(reply.headers.get(OUTCOME_HEADER, Outcome.UNKNOWN))
                fields = tuple(end_to_end_headers(reply.headers.items()))
                length = reply.headers.get("Content-Length")
                if length is not None:
                    fields = (*fields, ("content-length", length))
                await self._pass_on(reply, fields)
                await self._stream.finish()
                self._attempt.finish(outcome, reply.status, f"relayed:{member.node}")
        except aiohttp.ClientConnectorError:
            reason = f"relay-unreachable:{member.node}"
            self._answer_error(503, not_reached, reason, DRAINING_RETRY_AFTER_S)
        except (aiohttp.ClientError, OSError):
            self._answer_error(502, Outcome.UNKNOWN, f"relay-failed:{member.node}")

    async def _pass_on(self, reply, fields):
        """Stream an answer to the caller; return its body if it is short."""
        self._answering = True
        if not self._orphaned:
            await self._stream.start(reply.status, [(k.lower(), v) for k, v in fields])
        kept = bytearray()
        async for chunk in reply.content.iter_chunked(CHUNK_BYTES):
            if len(kept) <= MAX_STORED_BODY_BYTES:
                kept += chunk
            if not self._orphaned:
                await self._write(chunk)
        return bytes(kept) if len(kept) <= MAX_STORED_BODY_BYTES else None

    async def _write(self, chunk):
        try:
            await self._stream.write(chunk)
        except CallerGoneError:
            if not self.handle_caller_gone():
                raise

    def _fingerprint(self):
        """Return a digest of what makes this request the same as another."""
        digest = hashlib.blake2b(bytes(self._body), digest_size=16)
        digest.update(f"{self._req.method} {self._req.path}".encode())
        return digest.digest()

    def _outcome_if_aborted(self):
        return self._attempt.outcome_if_aborted(
            bool(self._req.key) and self._claim is None
        )

    def _give_up(self, reason, status):
        if not self._attempt.is_dispatched:
            retry_after_s = self._agent.admission_queue.retry_after()
            self._answer_error(503, self._outcome_if_aborted(), reason, retry_after_s)
        else:
            self._answer_error(status, Outcome.UNKNOWN, reason)

    def _not_run(self, reason, retry_after_s):
        self._answer_error(503, Outcome.NOT_RUN, reason, retry_after_s)

    def _answer_error(self, status, outcome, reason, retry_after_s=None):
        self._attempt.finish(outcome, status, reason)
        if self._stream.closed or self._orphaned:
            return
        if self._answering:
            # Part of an answer is out: only a reset tells the caller that it is
            # not whole.
            self._stream.abort()
        else:
            fields = error_fields(self._req.request_id, outcome, reason, retry_after_s)
            self._stream.send_empty(status, fields)

    def _finish_body(self, whole):
        if not self._body_done.done():
            self._body_done.set_result(whole)
