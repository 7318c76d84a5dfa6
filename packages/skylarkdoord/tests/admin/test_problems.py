"""Tests of the problems that the operators' API reports for invalid settings."""


class TestProblems:
    """Responses with status 400."""

    async def test_every_problem(self, admin):
        """Each problem is reported with its full path, also if a name contains dots."""
        customers = {
            "desk": {"key_hashes": [], "tier": 3, "pools": []},
            "desk.two": {"key_hashes": [], "tier": "lookup", "pools": [1]},
        }
        answer = await admin.put("/teams/seed", {"customers": customers})
        assert answer.status == 400
        problems = answer.body["error"]["problems"]
        assert [problem["path"] for problem in problems] == [
            "/teams/seed/customers/desk/tier",
            "/teams/seed/customers/desk.two/pools/0",
        ]
        assert problems[0]["message"] == "expected a string, got 3"
