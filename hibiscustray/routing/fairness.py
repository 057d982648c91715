"""Weighted fair queueing between teams by deficit round robin on estimated tokens."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Item = TypeVar("Item")

QUANTUM_TOKENS = 64
"""Tokens that a team of weight 1 is credited per round."""


@dataclass
class TeamQueue(Generic[Item]):
    """The queued items of one team with their costs, and its deficit counter, in tokens."""

    weight: float
    items: deque[tuple[Item, float]] = field(default_factory=deque)
    deficit: float = 0.0
    cost: float = 0.0


class FairQueue(Generic[Item]):
    """A queue of many teams' items that serves each backlogged team in proportion to its weight.

    A team without queued items loses its deficit counter, so idle time earns no credit.
    """

    def __init__(self, quantum: float = QUANTUM_TOKENS) -> None:
        self._quantum = quantum
        self._teams: dict[str, TeamQueue[Item]] = {}
        self._turns: deque[str] = deque()
        self._has_quantum = False

    def __len__(self) -> int:
        return sum(len(queue.items) for queue in self._teams.values())

    def count(self, team: str) -> int:
        """Return the number of queued items of a team."""
        queue = self._teams.get(team)
        return len(queue.items) if queue else 0

    def cost(self, team: str) -> float:
        """Return the total cost of a team's queued items in tokens."""
        queue = self._teams.get(team)
        return queue.cost if queue else 0.0

    def total_weight(self) -> float:
        """Return the sum of the weights of the backlogged teams."""
        return sum(queue.weight for queue in self._teams.values())

    def push(self, team: str, weight: float, cost: float, item: Item) -> None:
        """Add an item at the end of its team's queue."""
        if team not in self._teams:
            self._teams[team] = TeamQueue(weight)
            self._turns.append(team)
        queue = self._teams[team]
        queue.weight = weight
        queue.items.append((item, cost))
        queue.cost += cost

    def pop(self, is_eligible: Callable[[str], bool]) -> Item | None:
        """Remove and return the next item of the eligible teams, None if there is none."""
        eligible = {team for team in self._turns if is_eligible(team)}
        if not eligible:
            return None
        while True:
            team = self._turns[0]
            queue = self._teams[team]
            if team not in eligible:
                self._pass_turn()
                continue
            if not self._has_quantum:
                queue.deficit += self._quantum * queue.weight
                self._has_quantum = True
            item, cost = queue.items[0]
            if cost <= queue.deficit:
                queue.deficit -= cost
                self._remove_first(team, queue)
                return item
            self._pass_turn()

    def remove(self, team: str, item: Item) -> bool:
        """Remove an item before its turn; return whether it was still queued."""
        queue = self._teams.get(team)
        queued = next((pair for pair in queue.items if pair[0] is item), None) if queue else None
        if queue is None or queued is None:
            return False
        queue.items.remove(queued)
        queue.cost -= queued[1]
        if not queue.items:
            self._remove_team(team)
        return True

    def _remove_first(self, team: str, queue: TeamQueue[Item]) -> None:
        _, cost = queue.items.popleft()
        queue.cost -= cost
        if not queue.items:
            self._remove_team(team)

    def _remove_team(self, team: str) -> None:
        if self._turns[0] == team:
            self._has_quantum = False
        self._turns.remove(team)
        del self._teams[team]

    def _pass_turn(self) -> None:
        self._turns.rotate(-1)
        self._has_quantum = False


def compute_fair_level(demands: Iterable[tuple[float, float]], capacity: float) -> float:
    """Return the max-min fair allocation per unit of weight, from pairs of demand and weight.

    A team whose demand is below its allocation gets its demand; the others share the rest. The
    result is infinite if the capacity meets all demands.
    """
    left = capacity
    pending = sorted(demands, key=lambda pair: pair[0] / pair[1])
    weight_left = sum(weight for _, weight in pending)
    for demand, weight in pending:
        level = left / weight_left
        if demand / weight > level:
            return level
        left -= demand
        weight_left -= weight
    return math.inf
