"""Carries one request from a caller to the target and its answer back."""

import asyncio
import logging
import time

import aiohttp
import msgspec
from aioquic.h3.connection import ErrorCode

from ryesaddle.daemons.claims import Acquired, HeldElsewhere, Unavailable
from ryesaddle.daemons.request import MAX_BODY_BYTES
from ryesaddle.daemons.upstream import end_to_end
from ryesaddle.internal.admission.admission import Decline
from ryesaddle.internal.claims.answer import MAX_STORED_BYTES, StoredAnswer
from ryesaddle.internal.claims.claimant import Fate
from ryesaddle.internal.journal.entry import JournalEntry
from ryesaddle.internal.journal.outcome import Outcome
from ryesaddle.internal.log import event

log = logging.getLogger(__name__)

CHUNK_BYTES = 64 * 1024
CLAIM_RETRY_AFTER_S = 1
DRAINING_RETRY_AFTER_S = 1
PROXY_NAME = "ryesaddle"
OUTCOME_HEADER = "ryesaddle-outcome"


class Exchange:
    """One attempt at a request; its task owns the stream and the journal entry.

    Parameters
    ----------
    agent : Agent
        Parts of the agent: gate, upstream, journal, claims.
    flow : Flow
        The caller's connection.
    stream_id : int
        The request stream.
    req : Request
        The request.
    attempt : int
        Number of the attempt, unique within this run of the agent.
    """

    def __init__(self, agent, flow, stream_id, req, attempt):
        self._agent = agent
        self._flow = flow
        self._stream_id = stream_id
        self._req = req
        self._attempt = attempt
        self._body = bytearray()
        self._body_done = asyncio.get_running_loop().create_future()
        self._answering = False
        self._claim = None
        self._stored = None
        self._deadline = asyncio.get_running_loop().time() + req.timeout_s
        me = agent.node.me
        self._entry = JournalEntry(
            request_id=req.request_id,
            caller=str(flow.caller),
            flow=flow.name,
            service=me.service,
            target=me.target,
            agent=me.node,
            method=req.method,
            path=req.path.partition("?")[0],
            key=req.key,
            received_at=time.time(),
        )
        self._note()

    @property
    def outcome(self):
        """The `Outcome` so far."""
        return self._entry.outcome

    def feed(self, data, end):
        """Take a part of the request body."""
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            self._finish_body(False)
        elif end:
            self._finish_body(True)

    async def run(self):
        """Handle the request to its end."""
        try:
            async with asyncio.timeout_at(self._deadline):
                await self._serve()
        except TimeoutError:
            self._give_up("deadline", 504)
        except asyncio.CancelledError:
            self._end(self._fate(), 0, "caller-gone")
            raise
        except aiohttp.ClientConnectorError:
            # The claim, if there is one, was withdrawn on the way here.
            self._agent.note_failure()
            self._not_run("target-unreachable", self._agent.gate.retry_after())
        except (aiohttp.ClientError, OSError) as exc:
            self._agent.note_failure()
            self._give_up(f"target-failed:{type(exc).__name__}", 502)
        except Exception:
            # A defect of the agent must not leave the caller without an answer.
            log.exception("exchange-failed")
            self._give_up("internal-error", 500)
        await self._confirm()

    async def _serve(self):
        if not await self._body_done:
            self._answer_error(413, Outcome.NOT_RUN, "body-too-large")
            return
        if not self._req.key:
            await self._admit()
            return
        found = await self._agent.claims.acquire(self._req.key, self._deadline)
        match found:
            case Acquired(claim=claim):
                await self._run_claimed(claim)
            case HeldElsewhere():
                self._repeat(found)
            case Unavailable(reason=reason):
                # This attempt did not run, but an earlier one with its key may
                # have, so the caller must not be told that the request did not.
                self._answer_error(503, Outcome.UNKNOWN, reason, CLAIM_RETRY_AFTER_S)

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
        if not self._agent.takes_new_work():
            self._not_run("draining", DRAINING_RETRY_AFTER_S)
            return
        decision = await self._agent.gate.enter(self._attempt, self._deadline)
        if isinstance(decision, Decline):
            self._not_run(decision.reason, decision.retry_after_s)
            return
        measured = False
        try:
            measured = await self._dispatch()
        finally:
            self._agent.gate.leave(self._attempt, measured)

    def _repeat(self, found):
        """Answer with what became of the attempt that holds the key."""
        report = found.report
        where = f"{found.holder.node}/{found.holder.sequence}"
        if report.fate is Fate.FINISHED and report.answer is not None:
            self._repeat_answer(report.answer, where)
        else:
            self._answer_error(504, Outcome.UNKNOWN, f"held-by:{where},{report.fate}")

    def _repeat_answer(self, answer, where):
        if answer.body is None:
            self._answer_error(409, Outcome.RAN, f"ran-by:{where},answer-not-kept")
            return
        self._end(Outcome.RAN, answer.status, f"ran-by:{where}")
        headers = self._answer_headers(answer.status, answer.headers)
        headers.append((b"content-length", str(len(answer.body)).encode()))
        self._flow.send_headers(self._stream_id, headers)
        self._flow.send_data(self._stream_id, answer.body, end=True)
        self._agent.transmit(self._flow)

    async def _dispatch(self):
        req = self._req
        if self._claim and not self._agent.claims.claimant.take(self._claim):
            self._not_run("claim-released", CLAIM_RETRY_AFTER_S)
            return False
        self._note(dispatched_at=time.time())
        self._log("place", reason="slot-free")
        headers = end_to_end(req.headers)
        async with self._agent.upstream.exchange(
            req.method, req.path, headers, bytes(self._body), req.is_safe
        ) as reply:
            self._answering = True
            fields = tuple(end_to_end(reply.headers.items()))
            headers = self._answer_headers(reply.status, fields)
            if "Content-Length" in reply.headers:
                length = reply.headers["Content-Length"]
                headers.append((b"content-length", length.encode()))
            self._flow.send_headers(self._stream_id, headers)
            kept = bytearray()
            async for chunk in reply.content.iter_chunked(CHUNK_BYTES):
                if self._claim and len(kept) <= MAX_STORED_BYTES:
                    kept += chunk
                self._flow.send_data(self._stream_id, chunk)
                self._agent.transmit(self._flow)
                if not await self._flow.writable(self._stream_id):
                    raise aiohttp.ClientError("caller is gone")
            if self._claim:
                body = bytes(kept) if len(kept) <= MAX_STORED_BYTES else None
                self._stored = StoredAnswer(reply.status, fields, body)
            self._flow.send_data(self._stream_id, b"", end=True)
            self._agent.transmit(self._flow)
            self._end(Outcome.RAN, reply.status, "answered")
            self._agent.health.succeeded()
        return True

    def _answer_headers(self, status, fields):
        headers = [(b":status", str(status).encode())]
        headers += [(k.lower().encode(), v.encode("latin-1")) for k, v in fields]
        headers.append((b"x-request-id", self._req.request_id.encode()))
        headers.append((OUTCOME_HEADER.encode(), Outcome.RAN.encode()))
        return headers

    def _fate(self):
        if self._entry.outcome is not Outcome.PENDING:
            return self._entry.outcome
        handed = self._entry.dispatched_at is not None
        return Outcome.UNKNOWN if handed else Outcome.NOT_RUN

    def _give_up(self, reason, status):
        if self._fate() is Outcome.NOT_RUN:
            self._not_run(reason, self._agent.gate.retry_after())
        else:
            self._answer_error(status, Outcome.UNKNOWN, reason)

    def _not_run(self, reason, retry_after_s):
        self._answer_error(503, Outcome.NOT_RUN, reason, retry_after_s)

    def _answer_error(self, status, outcome, reason, retry_after_s=None):
        self._end(outcome, status, reason)
        if self._flow.closed:
            return
        if self._answering:
            # Part of an answer is out: only a reset tells the caller that it is
            # not whole.
            self._flow.reset(self._stream_id, ErrorCode.H3_INTERNAL_ERROR)
        else:
            self._send_error(status, outcome, reason, retry_after_s)
        self._agent.transmit(self._flow)

    def _send_error(self, status, outcome, reason, retry_after_s):
        detail = f'{PROXY_NAME}; error=proxy_internal_response; details="{reason}"'
        headers = [
            (b":status", str(status).encode()),
            (b"content-length", b"0"),
            (b"x-request-id", self._req.request_id.encode()),
            (OUTCOME_HEADER.encode(), outcome.encode()),
            (b"proxy-status", detail.encode()),
        ]
        if retry_after_s is not None:
            headers.append((b"retry-after", str(retry_after_s).encode()))
        self._flow.send_headers(self._stream_id, headers, end=True)

    async def _confirm(self):
        if await self._flow.delivered(self._stream_id):
            self._note(delivered=True)

    def _finish_body(self, whole):
        if not self._body_done.done():
            self._body_done.set_result(whole)

    def _end(self, outcome, status, reason):
        self._note(
            outcome=outcome, status=status, reason=reason, finished_at=time.time()
        )
        self._log("outcome", outcome=outcome, status=status, reason=reason)
        self._agent.node.metrics.count(f"agent.outcome.{outcome}")

    def _note(self, **changes):
        self._entry = msgspec.structs.replace(self._entry, **changes)
        self._agent.journal.put(self._attempt, self._entry)

    def _log(self, name, **pairs):
        entry = self._entry
        event(
            log,
            name,
            request=entry.request_id,
            flow=entry.flow,
            service=entry.service,
            target=entry.target,
            **pairs,
        )
