import unittest
from unittest import mock

from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from ryesaddle.internal.claims.acceptor import Acceptor
from ryesaddle.internal.claims.claimant import Claimant, ClaimStatus
from ryesaddle.internal.claims.handover import Handover
from ryesaddle.internal.claims.message import Accept
from ryesaddle.internal.claims.proposal import Proposal
from ryesaddle.internal.claims.view import ClaimView
from tests.support.claims import ClaimSimulation, restart_with_same_incarnation

NAMES = ("a", "b", "c", "d")
names = st.sampled_from(NAMES)
SETTINGS = settings(max_examples=400, stateful_step_count=40)
# Some defects are found by one example in a thousand. Hypothesis also draws constants
# from the modules that are loaded, so the examples depend on the tests that run beside.
MUTANT_SETTINGS = settings(
    max_examples=40_000, stateful_step_count=40, phases=[Phase.generate]
)


class ClaimMachine(RuleBasedStateMachine):
    """Claims one key under message loss, crashes and view changes.

    Messages are also delayed, duplicated and reordered, and one agent at a time is
    frozen.
    """

    keep_incarnation = False

    def __init__(self):
        super().__init__()
        self.world = ClaimSimulation(NAMES)
        self.dispatch_at_once = set()

    def claims(self):
        return [claim for agent in self.world.agents.values() for claim in agent.claims]

    @rule(names=st.lists(names, min_size=1, max_size=3), dispatch_at_once=st.booleans())
    def propose(self, names, dispatch_at_once):
        for name in names:
            claim = self.world.propose(name, "key")
            if dispatch_at_once:
                self.dispatch_at_once.add(claim)

    @precondition(lambda self: self.world.network)
    @rule(count=st.integers(1, 24))
    def deliver_in_order(self, count):
        for _ in range(min(count, len(self.world.network))):
            self.deliver(0)

    @precondition(lambda self: self.world.network)
    @rule(unreachable=names | st.none())
    def deliver_all_except_to_one(self, unreachable):
        held = []
        while self.world.network:
            if self.world.network[0][1].node == unreachable:
                held.append(self.world.network.pop(0))
            else:
                self.deliver(0)
        self.world.network = held

    def deliver(self, index, keep=False):
        self.world.deliver(index, keep)
        for claim in self.dispatch_at_once:
            self.world.take(claim)

    @precondition(lambda self: self.world.network)
    @rule(index=st.integers(0, 30), keep=st.booleans())
    def deliver_out_of_order(self, index, keep):
        self.deliver(index, keep)

    @precondition(lambda self: self.world.network)
    @rule(dropped=names)
    def drop_messages_to_one(self, dropped):
        self.world.network = [m for m in self.world.network if m[1].node != dropped]

    @rule()
    def tick(self):
        self.world.tick(0.5)

    @precondition(lambda self: self.claims())
    @rule(index=st.integers(0, 8))
    def give_up(self, index):
        claims = self.claims()
        self.world.give_up(claims[index % len(claims)])

    @precondition(lambda self: self.claims())
    @rule()
    def dispatch_granted_claims(self):
        for claim in self.claims():
            self.world.take(claim)

    @precondition(lambda self: self.claims())
    @rule()
    def skip_released_claims(self):
        for claim in self.claims():
            self.world.follow_up(claim)

    @rule(name=names)
    def toggle_frozen_agent(self, name):
        for agent in self.world.agents.values():
            agent.frozen = agent.me.node == name and not agent.frozen

    @precondition(lambda self: len(self.members()) >= 3)
    @rule(name=names)
    def crash(self, name):
        if self.keep_incarnation:
            restart_with_same_incarnation(self.world, name)
        else:
            self.world.restart(name)

    def members(self):
        view = self.world.committed
        return [a for a in self.world.agents.values() if a.me in view.members]

    @rule(
        coordinator=st.sampled_from(("first", "second")),
        unsealed=names | st.none(),
        members=st.sets(names, min_size=2),
        uninstalled=st.sets(names, max_size=2),
    )
    def change_view(self, coordinator, unsealed, members, uninstalled):
        for name in NAMES:
            if name != unsealed:
                self.world.seal(name, coordinator)
        if self.world.commit(coordinator, sorted(members)):
            for name in NAMES:
                if name not in uninstalled:
                    self.world.install(name, coordinator)

    @rule(coordinator=st.sampled_from(("first", "second")))
    def finish_installing(self, coordinator):
        for name in NAMES:
            self.world.install(name, coordinator)

    @invariant()
    def a_key_is_dispatched_at_most_once(self):
        for key, claims in self.world.dispatched.items():
            assert len(claims) <= 1, f"{key} dispatched by {claims}"

    @invariant()
    def abandoned_claims_are_never_dispatched(self):
        for claims in self.world.dispatched.values():
            assert not self.world.given_up.intersection(claims)


def run_with_defect(**attributes):
    """Run the state machine on code with an injected defect, which it must find."""
    machine = type("Mutant", (ClaimMachine,), attributes)
    run_state_machine_as_test(machine, settings=MUTANT_SETTINGS)


def seal_but_keep_accepting(self, number, now):
    handover = original_seal(self, number, now)
    if handover is not None:
        self.sealed, self._last_handover = False, None
    return handover


original_seal = Acceptor.seal


class AtMostOnceTest(unittest.TestCase):
    def test_a_keyed_submission_is_dispatched_at_most_once(self):
        run_state_machine_as_test(ClaimMachine, settings=SETTINGS)

    def test_model_detects_a_seal_that_does_not_stop_accepting(self):
        with (
            mock.patch.object(Acceptor, "seal", seal_but_keep_accepting),
            self.assertRaises(AssertionError),
        ):
            run_with_defect()

    def test_model_detects_a_majority_of_one(self):
        with (
            mock.patch.object(ClaimView, "majority", 1),
            self.assertRaises(AssertionError),
        ):
            run_with_defect()

    def test_model_detects_state_loss_without_a_new_incarnation(self):
        with self.assertRaises(AssertionError):
            run_with_defect(keep_incarnation=True)

    def test_model_detects_a_proposer_that_ignores_accepted_claims(self):
        def propose_own_claim(proposal, sender, msg):
            proposal._promises[sender] = msg
            if len(proposal._promises) < proposal._view.majority:
                return []
            proposal._proposed_claim = proposal.claim
            number, slot = proposal._view.number, proposal.slot
            return proposal._broadcast(
                Accept(number, slot, proposal._ballot, proposal.claim)
            )

        with (
            mock.patch.object(Proposal, "_on_promise", propose_own_claim),
            self.assertRaises(AssertionError),
        ):
            run_with_defect()

    def test_model_detects_a_dispatch_after_giving_up(self):
        def abandon_without_closing(claimant, claim):
            record = claimant._active.get(claim)
            if record is None or record.status is ClaimStatus.DISPATCHED:
                return []
            return record.proposal.release(True)

        with (
            mock.patch.object(Claimant, "give_up", abandon_without_closing),
            self.assertRaises(AssertionError),
        ):
            run_with_defect()


class ProgressTest(unittest.TestCase):
    def test_concurrent_proposals_grant_one_claim(self):
        world = ClaimSimulation(NAMES)
        claims = [world.propose(name, "k") for name in NAMES]
        world.settle()
        self.assertEqual(sum(world.granted(claim) for claim in claims), 1)

    def test_a_claim_given_up_frees_its_key(self):
        world = ClaimSimulation(NAMES)
        first = world.propose("a", "k")
        world.settle()
        world.give_up(first)
        world.settle()
        second = world.propose("b", "k")
        world.settle()
        self.assertTrue(world.granted(second))

    def test_a_claim_whose_release_messages_are_lost_does_not_block_its_key(self):
        world = ClaimSimulation(NAMES)
        first = world.propose("a", "k")
        while world.network and not world.granted(first):
            world.deliver(0)
        world.give_up(first)
        world.network.clear()
        second = world.propose("b", "k")
        world.settle()
        world.follow_up(second)
        world.settle()
        self.assertTrue(world.granted(second))

    def test_claims_are_granted_with_one_agent_of_the_group_down(self):
        for down in NAMES:
            world = ClaimSimulation(NAMES)
            world.agents[down].frozen = True
            proposer = next(name for name in NAMES if name != down)
            claim = world.propose(proposer, "k")
            world.settle()
            self.assertTrue(world.granted(claim), f"{down} is down")

    def test_a_granted_claim_survives_a_change_of_view(self):
        world = ClaimSimulation(NAMES)
        first = world.propose("a", "k")
        world.settle()
        world.take(first)
        for name in NAMES:
            world.seal(name, "first")
        world.commit("first", ["b", "c", "d"])
        for name in NAMES:
            world.install(name, "first")
        second = world.propose("b", "k")
        world.settle()
        world.take(second)
        self.assertEqual(world.dispatched["k"], [first])

    def test_claims_are_refused_until_the_keys_of_a_lost_view_expire(self):
        world = ClaimSimulation(NAMES)
        world.committed = ClaimView(2, world.committed.members, lost=True)
        world.install_all(Handover())
        claim = world.propose("a", "k")
        world.settle()
        self.assertFalse(world.granted(claim))
        world.now += world.agents["a"].acceptor.key_ttl_s
        world.settle()
        self.assertTrue(world.granted(claim))
