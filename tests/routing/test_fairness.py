"""Fair queueing serves teams by weight, with bounded delay and without losing items."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hibiscustray.routing.fairness import QUANTUM_TOKENS, FairQueue, compute_fair_level

LARGEST_COST = 500
TEAMS = ("a", "b", "c")
WEIGHTS = {"a": 1.0, "b": 2.0, "c": 0.5}


class FairQueueMachine(RuleBasedStateMachine):
    """Compares pushes, pops and removals with a plain list per team."""

    def __init__(self) -> None:
        super().__init__()
        self.queue: FairQueue[object] = FairQueue()
        self.model: dict[str, list[tuple[object, int]]] = {team: [] for team in TEAMS}

    @rule(team=st.sampled_from(TEAMS), cost=st.integers(1, LARGEST_COST))
    def push(self, team, cost):
        item = object()
        self.queue.push(team, WEIGHTS[team], cost, item)
        self.model[team].append((item, cost))

    @rule(eligible=st.sets(st.sampled_from(TEAMS)))
    def pop(self, eligible):
        item = self.queue.pop(lambda team: team in eligible)
        heads = {team: self.model[team][0][0] for team in eligible if self.model[team]}
        if item is None:
            assert not heads
            return
        team = next(team for team, head in heads.items() if head is item)
        self.model[team].pop(0)

    @precondition(lambda self: any(self.model.values()))
    @rule(data=st.data())
    def remove(self, data):
        team = data.draw(st.sampled_from([t for t in TEAMS if self.model[t]]))
        index = data.draw(st.integers(0, len(self.model[team]) - 1))
        item, _ = self.model[team].pop(index)
        assert self.queue.remove(team, item)
        assert not self.queue.remove(team, item)

    @invariant()
    def counts_agree(self):
        assert len(self.queue) == sum(len(items) for items in self.model.values())
        for team, items in self.model.items():
            assert self.queue.count(team) == len(items)
            assert self.queue.cost(team) == sum(cost for _, cost in items)


TestFairQueue = FairQueueMachine.TestCase


@given(
    costs=st.lists(st.integers(1, LARGEST_COST), min_size=30, max_size=120),
    quiet_cost=st.integers(1, LARGEST_COST),
    weight=st.sampled_from((0.5, 1.0, 3.0)),
)
def test_burst_delays_other_team_by_bounded_number_of_tokens(costs, quiet_cost, weight):
    queue: FairQueue[tuple[str, int]] = FairQueue()
    for cost in costs:
        queue.push("burst", 1.0, cost, ("burst", cost))
    queue.pop(lambda team: True)
    queue.push("quiet", weight, quiet_cost, ("quiet", quiet_cost))
    served = 0
    while (item := queue.pop(lambda team: True))[0] == "burst":
        served += item[1]
    rounds = math.ceil(quiet_cost / (QUANTUM_TOKENS * weight)) + 1
    assert served <= rounds * QUANTUM_TOKENS + LARGEST_COST


@given(weights=st.lists(st.sampled_from((0.5, 1.0, 2.0)), min_size=2, max_size=5))
def test_backlogged_teams_are_served_by_weight(weights):
    queue: FairQueue[int] = FairQueue()
    cost, served = 16, [0] * len(weights)
    for team, weight in enumerate(weights):
        for _ in range(400):
            queue.push(str(team), weight, cost, team)
    for _ in range(200):
        served[queue.pop(lambda _: True)] += cost
    rounds = [tokens / weight for tokens, weight in zip(served, weights, strict=True)]
    assert max(rounds) - min(rounds) <= 2 * (QUANTUM_TOKENS + cost / min(weights))


@given(
    demands=st.lists(
        st.tuples(st.integers(0, 50), st.sampled_from((0.5, 1.0, 2.0))), min_size=1, max_size=8
    ),
    capacity=st.integers(1, 100),
)
def test_fair_level_uses_whole_capacity_or_meets_every_demand(demands, capacity):
    level = compute_fair_level(demands, capacity)
    allocated = sum(min(demand, level * weight) for demand, weight in demands)
    assert math.isclose(allocated, min(capacity, sum(demand for demand, _ in demands)))
