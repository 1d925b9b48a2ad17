import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.address import Address
from ryesaddle.internal.config.evacuation import EvacuationState
from ryesaddle.internal.routing.packet import Flow
from ryesaddle.internal.store.object import Metadata, StoreObject
from ryesaddle.platform.configuration import (
    EVACUATION_KIND,
    read_evacuations,
    read_routes,
)

ROUTE = {
    "name": "r-1",
    "host": "198.18.0.1",
    "pathPrefix": "/8080/",
    "type": "non_idempotent",
    "timeoutMs": 1500,
    "targetLatencyMs": 180,
    "priority": 1,
    "service": "huvo11a",
    "maxAttempts": 2,
}
FRONT = Address("198.18.0.1", 8080)
FLOW = Flow(Address("100.64.0.7", 40001), FRONT)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*ROUTE, "backends", "weight"]), inner)
    ),
    max_leaves=8,
)


def config(*routes, version=7, **more):
    return {"version": version, "routes": list(routes), **more}


class ReadRoutesTest(unittest.TestCase):
    def test_path_prefix_holds_the_port(self):
        table, problems = read_routes(config(ROUTE, limits={"idleTimeoutMs": 12_000}))
        route = table.find(FRONT)
        self.assertEqual(problems, [])
        self.assertEqual((table.version, table.idle_s), (7, 12.0))
        self.assertEqual(route.services(FLOW), ("huvo11a",))
        self.assertEqual((route.timeout_s, route.objective_s), (1.5, 0.18))
        self.assertEqual((route.priority, route.repeatable), (1, False))
        self.assertIsNone(table.find(Address("198.18.0.1", 8081)))

    def test_flows_are_divided_by_weight(self):
        parts = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        route = {**ROUTE, "service": None, "backends": parts}
        table, _ = read_routes(config(route))
        chosen = [
            table.find(FRONT).services(Flow(Address("100.64.0.7", port), FRONT))
            for port in range(10_000, 12_000)
        ]
        share = sum(first == "b" for first, _ in chosen) / len(chosen)
        self.assertAlmostEqual(share, 0.1, delta=0.03)
        self.assertEqual({frozenset(names) for names in chosen}, {frozenset("ab")})

    def test_services_may_limit_targets_that_warm_up(self):
        services = [
            {"name": "huvo11a", "warmupPerS": 7.5},
            {"name": "huvo11b", "warmupPerS": 0},
            {"name": "huvo11c"},
            {"name": "huvo11d", "warmupPerS": "fast"},
            {"warmupPerS": 5},
            "text",
        ]
        table, problems = read_routes(config(ROUTE, services=services))
        self.assertEqual(table.warm_up_per_s, (("huvo11a", 7.5),))
        self.assertEqual(table.warm_up_rate("huvo11a"), 7.5)
        self.assertEqual(table.warm_up_rate("huvo11b"), 0.0)
        self.assertEqual(len(problems), 2)

    def test_malformed_routes_are_skipped_and_reported(self):
        malformed = [
            {**ROUTE, "pathPrefix": "/x/"},
            {**ROUTE, "pathPrefix": "/70000/"},
            {**ROUTE, "host": 5},
            {k: v for k, v in ROUTE.items() if k != "service"},
            "text",
        ]
        table, problems = read_routes(config(*malformed, ROUTE))
        self.assertEqual(len(problems), len(malformed))
        self.assertEqual([front for front, _ in table.routes], [FRONT])

    def test_object_without_version_or_routes_is_rejected(self):
        for spec in (
            {},
            {"version": 1},
            {"version": "1", "routes": []},
            {"routes": []},
        ):
            self.assertIsNone(read_routes(spec)[0])

    @given(
        st.dictionaries(
            st.sampled_from(["version", "routes", "limits", "services"]), json_values
        )
    )
    def test_arbitrary_objects_raise_no_error(self, spec):
        table, _ = read_routes(spec)
        if table is not None:
            self.assertIsInstance(table.version, int)

    @given(st.lists(st.dictionaries(st.sampled_from(list(ROUTE)), json_values)))
    def test_malformed_routes_do_not_affect_a_valid_one(self, malformed):
        table, _ = read_routes(config(*malformed, ROUTE))
        self.assertEqual(table.find(FRONT).name, "r-1")


class ReadEvacuationsTest(unittest.TestCase):
    def test_the_names_of_the_objects_are_the_data_centres(self):
        objects = [
            StoreObject(EVACUATION_KIND, Metadata(name, "7"))
            for name in ("bkk-b", "bkk-a")
        ]
        self.assertEqual(
            read_evacuations(objects, "12", era=3),
            EvacuationState(3, 12, ("bkk-a", "bkk-b")),
        )
