import asyncio
import random

import pytest

from galenadrum._internal.control.orders.driver import OrdersDriver
from galenadrum._internal.control.orders.events import Order, OrderAction
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.protocol.commands_pb2 import CommandResult


class FakeProposer:
    def __init__(self):
        self.proposed = []

    async def propose_order(self, message, timeout_s):
        self.proposed.append(message.order_id)
        return CommandResult()


@pytest.mark.parametrize(("term", "expected"), [(4, ["4-a"]), (6, [])])
def test_order_is_recorded_only_in_its_own_term(term, expected):
    proposer = FakeProposer()
    driver = OrdersDriver(None, None, proposer, 1.0, random.Random(1), Metrics())
    driver.update_lease(term, 10.0)
    order = Order("4-a", 4, "e", OrderAction.LOAD, "m", "1")
    asyncio.run(driver._record_order(order))
    assert proposer.proposed == expected
