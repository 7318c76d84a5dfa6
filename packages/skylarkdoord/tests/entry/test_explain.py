"""Explanations of where a request would go."""

from types import SimpleNamespace

import pytest

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
from skylarkdoord.entry._explain import Explain, Question

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
    peers["gone"].leaving = True
    service.directory = SimpleNamespace(peers=peers)
    return service


class TestExplain:
    """The ranking and its reasons."""

    def test_ranking(self, explain):
        """Usable sidecars come first, by estimated finish, each with a reason."""
        question = Question("riga", "garden", model="garden-7b", max_tokens=100)
        said = explain.explain(question)
        assert (said.pool, said.policy, said.tier) == ("assistant", "late-binding", 1)
        assert [(one.instance, one.reason) for one in said.ranking] == [
            ("free", "has_room"),
            ("busy", "queues"),
            ("gone", "leaving"),
        ]
        assert said.ranking[0].service_s == pytest.approx(2.0)
        assert said.ranking[1].wait_s == pytest.approx(5.0)

    def test_pool_by_name(self, explain):
        """A pool may be named instead of a model."""
        assert explain.explain(Question("riga", "garden", pool="assistant"))

    @pytest.mark.parametrize(
        "question",
        [
            Question("riga", "nobody", pool="assistant"),
            Question("riga", "garden", pool="other"),
            Question("riga", "garden", model="other"),
        ],
    )
    def test_nobody_can_serve_it(self, explain, question):
        """Without a customer or a pool there is nothing to explain."""
        assert explain.explain(question) is None
