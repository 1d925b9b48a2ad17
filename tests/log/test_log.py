import asyncio
import logging
import os
import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.exposition import exposition
from ryesaddle.internal.log import BufferedHandler, KeyValueFormatter, LineBuffer, event
from ryesaddle.internal.metrics import BUCKET_BOUNDS_S, Metrics


class LineBufferTest(unittest.TestCase):
    def drain(self, buffer):
        out = bytearray()

        def write(data):
            out.extend(data)
            return len(data)

        buffer.drain(write)
        return bytes(out)

    def test_lines_are_written_in_order(self):
        buffer = LineBuffer()
        for number in range(3):
            buffer.put(f"line {number}", 0.0)
        self.assertEqual(self.drain(buffer), b"line 0\nline 1\nline 2\n")

    def test_lines_above_the_rate_limit_are_dropped_and_reported(self):
        buffer = LineBuffer(max_lines_per_s=10)
        for number in range(1_000):
            buffer.put(f"line {number}", 0.5)
        buffer.put("after", 1.5)
        lines = self.drain(buffer).decode().splitlines()
        self.assertEqual(len(lines), 12)
        self.assertIn("event=log-dropped lines=990", lines[10])
        self.assertEqual((lines[11], buffer.dropped), ("after", 990))

    def test_memory_is_bounded_while_writes_fail(self):
        buffer = LineBuffer(max_bytes=1_000)
        for second in range(100):
            buffer.put("x" * 99, float(second))
            buffer.drain(lambda data: 0)
        buffered = self.drain(buffer)
        self.assertLessEqual(len(buffered), 1_000)
        self.assertEqual(buffer.dropped, 90)

    @given(st.lists(st.integers(0, 40)), st.lists(st.text("abc", max_size=9)))
    def test_partial_writes_lose_no_bytes(self, sizes, lines):
        buffer, out = LineBuffer(), bytearray()

        def write(data):
            written = min(sizes.pop(0) if sizes else len(data), len(data))
            out.extend(data[:written])
            return written

        for line in lines:
            buffer.put(line, 0.0)
            buffer.drain(write)
        buffer.drain(lambda data: (out.extend(data), len(data))[1])
        self.assertEqual(bytes(out), "".join(f"{line}\n" for line in lines).encode())


class HandlerTest(unittest.TestCase):
    def logger(self, handler):
        log = logging.getLogger("tests.log.handler")
        log.handlers[:], log.propagate = [handler], False
        log.setLevel(logging.INFO)
        return log

    def test_full_pipe_does_not_block(self):
        reader, writer = os.pipe()
        handler = BufferedHandler(writer, LineBuffer(max_bytes=100_000))
        handler.setFormatter(KeyValueFormatter("node-1"))
        log = self.logger(handler)
        for number in range(3_000):  # more than a pipe and the buffer hold
            event(log, "burst", number=number, text="x" * 60)
        self.assertGreater(handler.lines.dropped, 0)
        os.set_blocking(reader, False)
        self.assertGreater(len(os.read(reader, 1_000_000)), 0)
        os.close(reader)
        handler.flush()
        os.close(writer)

    def test_lines_are_key_value_pairs(self):
        reader, writer = os.pipe()
        handler = BufferedHandler(writer, LineBuffer())
        handler.setFormatter(KeyValueFormatter("node-1"))
        event(self.logger(handler), "route", flow="a:1>b:2", name="two words")
        line = os.read(reader, 1_000).decode()
        self.assertRegex(
            line,
            r"^at=\d+\.\d{3} node=node-1 level=info event=route "
            r'flow=a:1>b:2 name="two words"\n$',
        )
        os.close(reader)
        os.close(writer)

    def test_lines_are_written_together_in_an_event_loop(self):
        reader, writer = os.pipe()
        handler = BufferedHandler(writer, LineBuffer())
        handler.setFormatter(KeyValueFormatter("node-1"))

        async def main():
            handler.attach(asyncio.get_running_loop())
            log = self.logger(handler)
            for number in range(5):
                event(log, "one", number=number)
            self.assertEqual(len(handler.lines), 5)
            handler.flush()

        asyncio.run(main())
        self.assertEqual(os.read(reader, 10_000).count(b"\n"), 5)
        os.close(reader)
        os.close(writer)

    def test_line_is_written_at_once_after_the_loop_is_closed(self):
        reader, writer = os.pipe()
        handler = BufferedHandler(writer, LineBuffer())
        handler.setFormatter(KeyValueFormatter("node-1"))

        async def main():
            handler.attach(asyncio.get_running_loop())

        asyncio.run(main())
        event(self.logger(handler), "last")
        self.assertIn(b"event=last", os.read(reader, 1_000))
        os.close(reader)
        os.close(writer)


class MetricsTest(unittest.TestCase):
    def test_metrics_are_formatted_for_prometheus(self):
        metrics = Metrics()
        metrics.count("agent.passed.not-open", 3)
        metrics.gauge("flows", 7)
        for seconds in (0.0004, 0.03, 30.0):
            metrics.observe("agent.open", seconds)
        text = exposition(metrics).decode()
        for line in (
            "ryesaddle_agent_passed_not_open_total 3.0",
            "ryesaddle_flows 7.0",
            'ryesaddle_agent_open_seconds_bucket{le="0.0005"} 1.0',
            'ryesaddle_agent_open_seconds_bucket{le="0.05"} 2.0',
            'ryesaddle_agent_open_seconds_bucket{le="10.0"} 2.0',
            'ryesaddle_agent_open_seconds_bucket{le="+Inf"} 3.0',
            "ryesaddle_agent_open_seconds_count 3.0",
        ):
            self.assertIn(line + "\n", text)

    @given(st.lists(st.floats(0, 100)))
    def test_durations_are_counted_in_their_buckets(self, durations):
        metrics = Metrics()
        for seconds in durations:
            metrics.observe("x", seconds)
        if not durations:
            return
        counts = metrics.histograms["x"].counts
        self.assertEqual(sum(counts), len(durations))
        for position, bound in enumerate(BUCKET_BOUNDS_S):
            below = sum(seconds <= bound for seconds in durations)
            self.assertEqual(sum(counts[: position + 1]), below)
