"""Tests of traces, and of the calls built from them."""

import json
from pathlib import Path

import pytest

from skylarkdoor.exceptions import SettingsError
from skylarkdoor_bench._arrivals import SEED_EXCHANGE, generate
from skylarkdoor_bench._calls import make_call
from skylarkdoor_bench._trace import Arrival, read_trace, write_trace
from skylarkdoor_standins import expected_text

CHAT = Arrival(0.5, "teika-garden", "chat", prompt_words=3, max_tokens=2)


class TestFile:
    """Tests of `read_trace` and `write_trace`."""

    def test_round_trip(self, tmp_path: Path) -> None:
        """Written arrivals are read back unchanged."""
        arrivals = generate(SEED_EXCHANGE, seed=3, rate=50.0, duration_s=2.0)
        write_trace(tmp_path / "trace.jsonl", arrivals)
        assert read_trace(tmp_path / "trace.jsonl") == arrivals

    def test_defaults_left_out(self, tmp_path: Path) -> None:
        """A line contains only the fields that differ from their defaults."""
        write_trace(tmp_path / "trace.jsonl", [CHAT])
        line = json.loads((tmp_path / "trace.jsonl").read_text())
        assert set(line) == {
            "at_s",
            "customer",
            "kind",
            "prompt_words",
            "max_tokens",
        }

    def test_bad_line(self, tmp_path: Path) -> None:
        """A line that is not a valid arrival raises an error with its number."""
        (tmp_path / "trace.jsonl").write_text(
            '{"at_s": 0.0, "customer": "teika-garden"}\n'
        )
        with pytest.raises(SettingsError, match=r"trace\.jsonl:1"):
            read_trace(tmp_path / "trace.jsonl")


class TestCall:
    """Tests of `make_call`."""

    def test_completion(self) -> None:
        """The prompt has the requested number of words and begins with the prefix."""
        arrival = CHAT._replace(kind="completion", prefix="soil", prefix_words=5)
        call = make_call(arrival, number=7, model="m", pool="registry")
        prompt = json.loads(call.body or b"")["prompt"]
        assert prompt.split()[:5] == [f"soil-{index}" for index in range(5)]
        assert len(prompt.split()) == arrival.words
        assert call.expected == expected_text(prompt, 2)

    def test_prefix_shared(self) -> None:
        """Requests with the same prefix share it and differ in the rest."""
        arrival = CHAT._replace(prefix="soil", prefix_words=5)
        calls = [make_call(arrival, number=n, model="m", pool="p") for n in (1, 2)]
        messages = [json.loads(call.body or b"")["messages"] for call in calls]
        assert messages[0][0] == messages[1][0]
        assert messages[0][1] != messages[1][1]
        assert calls[0].expected != calls[1].expected

    def test_resend(self) -> None:
        """Calls with the same idempotency key have the same body."""
        arrival = Arrival(
            0.0, "packet-desk", "service", method="POST", path="/handovers", key="k"
        )
        calls = [make_call(arrival, number=n, model="m", pool="p") for n in (1, 2)]
        assert calls[0] == calls[1]
        assert calls[0].path == "/services/p/handovers"
