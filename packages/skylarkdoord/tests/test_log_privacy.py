"""Test that secrets and request contents are not logged."""

from skylarkdoor_bench import Cluster, api_key, small_demo

SECRET_BODY = "sowing-secret-body"
SECRET_KEY = "wrong-secret-key"
SECRET_IDEMPOTENCY_KEY = "handover-secret-claim"
SECRET_QUERY = "packet-secret-query"
CUSTOMER = "teika-garden"


async def send(cluster: Cluster, method: str, path: str, key: str, **options) -> int:
    """Send a request and return the status of its answer."""
    headers = {"Authorization": f"Bearer {key}", **options.pop("headers", {})}
    url = cluster.entry_urls[0] + path
    async with cluster.session.request(
        method, url, headers=headers, **options
    ) as answer:
        await answer.read()
        return answer.status


def chat(content: str, **fields) -> dict[str, object]:
    """Return the body of a chat completion request."""
    messages = [{"role": "user", "content": content}]
    return {"model": "garden-7b", "messages": messages, "max_tokens": 2, **fields}


class TestPrivacy:
    """Logs of a run with successful, malformed, refused and failing requests."""

    async def test_no_secrets(self, start_cluster):
        """Bodies, query strings, API keys and idempotency keys are not logged."""
        cluster = await start_cluster(small_demo())
        key = api_key(CUSTOMER)
        chats = "/v1/chat/completions"
        assert await send(cluster, "POST", chats, key, json=chat(SECRET_BODY)) == 200
        refused = await send(cluster, "POST", chats, SECRET_KEY, json=chat(SECRET_BODY))
        assert refused == 401
        malformed = chat(SECRET_BODY, max_tokens=SECRET_BODY)
        assert await send(cluster, "POST", chats, key, json=malformed) == 400
        broken = f'{{"{SECRET_BODY}'
        assert await send(cluster, "POST", chats, key, data=broken) == 400
        idempotency_key = {"Idempotency-Key": SECRET_IDEMPOTENCY_KEY}
        path = f"/services/registry/handovers?note={SECRET_QUERY}"
        for mode in ("ok", "error", "cut"):
            await cluster.upstream_fault("registry-1", mode=mode)
            await send(
                cluster, "POST", path, key, json=SECRET_BODY, headers=idempotency_key
            )
        await cluster.processes["engine-1"].kill()
        await cluster.processes["engine-2"].kill()
        assert await send(cluster, "POST", chats, key, json=chat(SECRET_BODY)) != 200
        logs = [cluster.processes[name].log_path for name in cluster.daemons]
        text = "".join(log.read_text() for log in logs)
        assert "request_refused" in text or "upstream_failed" in text
        secrets = (SECRET_BODY, SECRET_KEY, SECRET_IDEMPOTENCY_KEY, SECRET_QUERY, key)
        assert [secret for secret in secrets if secret in text] == []
