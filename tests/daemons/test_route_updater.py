import logging
import unittest

from ryesaddle.daemons.passthrough import route_updater
from ryesaddle.daemons.passthrough.route_updater import RouteUpdater
from ryesaddle.errors import StoreUnavailableError
from ryesaddle.internal.config.evacuation import EvacuationState
from ryesaddle.internal.routing.route import RouteTable

EVACUATED = EvacuationState(0, 10, ("bkk-a",))


class FakeEvacuations:
    def __init__(self):
        self.readings = []

    def apply_reading(self, reading, asked_at):
        self.readings.append(reading)

    def record_failed_reading(self, asked_at):
        pass


class EvacuationReadingTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        logging.getLogger(route_updater.__name__).setLevel(logging.CRITICAL)
        self.addCleanup(
            logging.getLogger(route_updater.__name__).setLevel, logging.NOTSET
        )
        self.evacuations = FakeEvacuations()
        self.routes, self.reading = RouteTable(1, (), 15.0), EVACUATED
        self.updater = RouteUpdater(
            "edge-1", self.load_routes, 3.0, self.evacuations, self.load_evacuations
        )

    async def load_routes(self):
        return self.give(self.routes)

    async def load_evacuations(self):
        return self.give(self.reading)

    @staticmethod
    def give(result):
        if isinstance(result, Exception):
            raise result
        return result

    async def test_evacuations_are_read_with_the_configuration(self):
        self.assertTrue(await self.updater.read())
        self.assertEqual(self.evacuations.readings, [EVACUATED])
        self.assertEqual(self.updater.version, 1)

    async def test_the_first_configuration_waits_for_the_evacuations(self):
        # A balancer that starts would otherwise use an evacuated data centre.
        self.reading = StoreUnavailableError("refused")
        self.assertFalse(await self.updater.read())
        self.assertEqual(self.updater.version, 0)
        self.reading = EVACUATED
        self.assertTrue(await self.updater.read())
        self.assertEqual(self.updater.version, 1)

    async def test_each_of_both_is_used_if_only_the_other_was_not_read(self):
        await self.updater.read()
        self.routes = RouteTable(2, (), 15.0)
        self.reading = StoreUnavailableError("refused")
        self.assertFalse(await self.updater.read())
        self.assertEqual(self.updater.version, 2)
        self.routes, self.reading = StoreUnavailableError("refused"), EvacuationState()
        self.assertFalse(await self.updater.read())
        self.assertEqual(self.evacuations.readings[-1], EvacuationState())

    async def test_without_the_setting_only_the_configuration_is_read(self):
        updater = RouteUpdater("edge-1", self.load_routes, 3.0, self.evacuations)
        self.assertTrue(await updater.read())
        self.assertEqual((updater.version, self.evacuations.readings), (1, []))
