"""Tests of the explanations of how a request would be routed."""

import asyncio
import json
from types import SimpleNamespace

import pytest

from skylarkdoor.hashing import key_hash
from skylarkdoor.settings import (
    FLEET_PATH,
    Customer,
    Fleet,
    Pool,
    SettingsView,
    Subtree,
    Team,
    Tier,
)
from skylarkdoord.admin.exceptions import InvalidError
from skylarkdoord.entry._explain import Explain, ExplainRequest

SPEED = {
    "prefill_tokens_per_second": 1000,
    "decode_tokens_per_second": 50,
    "length_share": 1.0,
}


@pytest.fixture
def explain(make_peer):
    """Return the service with three sidecars of a model pool."""
    customer = Customer(key_hashes=("a" * 64,), tier="swap", pools=("assistant",))
    pool = Pool(kind="model", models=("garden-7b",))
    view = SettingsView()
    view.apply(
        Subtree(FLEET_PATH, 1, Fleet({"swap": Tier(rank=1)}, {"assistant": pool}))
    )
    view.apply(Subtree("/teams/riga", 1, Team({"garden": customer})))
    service = Explain(SimpleNamespace(operator_token_hashes=()))
    service.settings_service = SimpleNamespace(view=view)
    peers = {
        "busy": make_peer("busy", waiting_by_tier=[4], drain_per_second=1.0, **SPEED),
        "free": make_peer("free", room=2, **SPEED),
        "gone": make_peer("gone", room=9, **SPEED),
    }
    peers["gone"].draining = True
    service.directory = SimpleNamespace(peers=peers)
    return service


class TestExplain:
    """Tests of `Explain.explain`."""

    def test_ranking(self, explain):
        """Usable sidecars come first, by estimated finish, each with a reason."""
        explain_request = ExplainRequest(
            "riga", "garden", model="garden-7b", max_tokens=100
        )
        explanation = explain.explain(explain_request)
        assert (explanation.pool, explanation.policy, explanation.tier) == (
            "assistant",
            "late-binding",
            1,
        )
        assert [(one.instance, one.reason) for one in explanation.ranking] == [
            ("free", "has_room"),
            ("busy", "queues"),
            ("gone", "leaving"),
        ]
        assert explanation.ranking[0].service_s == pytest.approx(2.0)
        assert explanation.ranking[1].wait_s == pytest.approx(5.0)

    def test_pool_by_name(self, explain):
        """A request may specify a pool instead of a model."""
        assert explain.explain(ExplainRequest("riga", "garden", pool="assistant"))

    @pytest.mark.parametrize(
        "explain_request",
        [
            ExplainRequest("riga", "nobody", pool="assistant"),
            ExplainRequest("riga", "garden", pool="other"),
            ExplainRequest("riga", "garden", model="other"),
        ],
    )
    def test_unknown_customer_or_pool(self, explain, explain_request):
        """There is no explanation for an unknown customer or pool."""
        assert explain.explain(explain_request) is None


class TestPostExplain:
    """`Explain.post_explain`."""

    # Guards against an internal error in place of what is wrong with the body.
    async def test_nested(self, explain):
        """A body that nests too deeply is invalid, like any other malformed one."""
        explain.settings.operator_token_hashes = (key_hash("token"),)

        async def read():
            return b"[" * 5000

        request = SimpleNamespace(headers={"Authorization": "Bearer token"}, read=read)
        request.json = lambda: asyncio.to_thread(json.loads, b"[" * 5000)
        with pytest.raises(InvalidError):
            await explain.post_explain(request)
