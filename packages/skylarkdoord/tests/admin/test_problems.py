"""What the operators' API says of settings that are wrong."""


class TestProblems:
    """Answers with status 400."""

    async def test_every_problem(self, admin):
        """Each problem has its whole path, also where a name has dots in it."""
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
