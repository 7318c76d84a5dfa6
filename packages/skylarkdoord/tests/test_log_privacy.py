"""What must never reach the logs."""

from skylarkdoor_bench import Cluster, api_key, small_demo

SECRET_BODY = "sowing-secret-body"
SECRET_KEY = "wrong-secret-key"
SECRET_CLAIM = "handover-secret-claim"
SECRET_QUERY = "packet-secret-query"
CUSTOMER = "teika-garden"


async def ask(cluster: Cluster, method: str, path: str, key: str, **options) -> int:
    """Send a request and return the status of its answer."""
    headers = {"Authorization": f"Bearer {key}", **options.pop("headers", {})}
    url = cluster.entry_urls[0] + path
    async with cluster.session.request(
        method, url, headers=headers, **options
    ) as answer:
        await answer.read()
        return answer.status


def chat(content: str, **fields) -> dict[str, object]:
    """Return the body of a chat."""
    messages = [{"role": "user", "content": content}]
    return {"model": "garden-7b", "messages": messages, "max_tokens": 2, **fields}


class TestPrivacy:
    """The logs of a run with served, malformed, refused and failing requests."""

    async def test_no_secrets(self, start_cluster):
        """No body, query, API key or idempotency key is logged."""
        cluster = await start_cluster(small_demo())
        key = api_key(CUSTOMER)
        chats = "/v1/chat/completions"
        assert await ask(cluster, "POST", chats, key, json=chat(SECRET_BODY)) == 200
        refused = await ask(cluster, "POST", chats, SECRET_KEY, json=chat(SECRET_BODY))
        assert refused == 401
        malformed = chat(SECRET_BODY, max_tokens=SECRET_BODY)
        assert await ask(cluster, "POST", chats, key, json=malformed) == 400
        broken = f'{{"{SECRET_BODY}'
        assert await ask(cluster, "POST", chats, key, data=broken) == 400
        claim = {"Idempotency-Key": SECRET_CLAIM}
        path = f"/services/registry/handovers?note={SECRET_QUERY}"
        for mode in ("ok", "error", "cut"):
            await cluster.upstream_fault("registry-1", mode=mode)
            await ask(cluster, "POST", path, key, json=SECRET_BODY, headers=claim)
        await cluster.processes["engine-1"].kill()
        await cluster.processes["engine-2"].kill()
        assert await ask(cluster, "POST", chats, key, json=chat(SECRET_BODY)) != 200
        logs = [cluster.processes[name].log_path for name in cluster.daemons]
        text = "".join(log.read_text() for log in logs)
        assert "request_refused" in text or "upstream_failed" in text
        secrets = (SECRET_BODY, SECRET_KEY, SECRET_CLAIM, SECRET_QUERY, key)
        assert [secret for secret in secrets if secret in text] == []
