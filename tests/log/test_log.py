import asyncio
import logging
import os
import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.exposition import exposition
from ryesaddle.internal.log import BufferedHandler, KeyValueFormatter, LineBuffer, event
from ryesaddle.internal.metrics import BOUNDS_S, Metrics


class LineBufferTest(unittest.TestCase):
    def drained(self, buffer):
        out = bytearray()

        def write(data):
            out.extend(data)
            return len(data)

        buffer.drain(write)
        return bytes(out)

    def test_lines_come_out_in_order(self):
        buffer = LineBuffer()
        for number in range(3):
            buffer.put(f"line {number}", 0.0)
        self.assertEqual(self.drained(buffer), b"line 0\nline 1\nline 2\n")

    def test_a_burst_is_dropped_counted_and_told(self):
        buffer = LineBuffer(max_lines_per_s=10)
        for number in range(1_000):
            buffer.put(f"line {number}", 0.5)
        buffer.put("after", 1.5)
        lines = self.drained(buffer).decode().splitlines()
        self.assertEqual(len(lines), 12)
        self.assertIn("event=log-dropped lines=990", lines[10])
        self.assertEqual((lines[11], buffer.dropped), ("after", 990))

    def test_memory_is_bounded_while_nobody_reads(self):
        buffer = LineBuffer(max_bytes=1_000)
        for second in range(100):
            buffer.put("x" * 99, float(second))
            buffer.drain(lambda data: 0)
        kept = self.drained(buffer)
        self.assertLessEqual(len(kept), 1_000)
        self.assertEqual(buffer.dropped, 90)

    @given(st.lists(st.integers(0, 40)), st.lists(st.text("abc", max_size=9)))
    def test_a_reader_in_fits_and_starts_gets_every_byte(self, takes, lines):
        buffer, out = LineBuffer(), bytearray()

        def write(data):
            taken = min(takes.pop(0) if takes else len(data), len(data))
            out.extend(data[:taken])
            return taken

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

    def test_a_full_pipe_blocks_nobody(self):
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

    def test_in_a_loop_lines_are_written_together(self):
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

    def test_a_line_after_the_end_of_the_loop_is_written_at_once(self):
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
    def test_counters_and_histograms_are_told_as_text(self):
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
    def test_every_duration_is_counted_below_its_bound(self, durations):
        metrics = Metrics()
        for seconds in durations:
            metrics.observe("x", seconds)
        if not durations:
            return
        counts = metrics.histograms["x"].counts
        self.assertEqual(sum(counts), len(durations))
        for place, bound in enumerate(BOUNDS_S):
            below = sum(seconds <= bound for seconds in durations)
            self.assertEqual(sum(counts[: place + 1]), below)
