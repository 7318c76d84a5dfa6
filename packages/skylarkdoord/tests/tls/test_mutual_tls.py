"""Tests of TLS between callers, an entry and a sidecar in one process."""

import asyncio
import ssl
from contextlib import AsyncExitStack

import pytest

from skylarkdoor.settings import MutualTls, ProcessSettings, Upstream
from skylarkdoor_bench import api_key
from skylarkdoor_client._admin import AdminClient
from skylarkdoor_client.exceptions import UnavailableError
from skylarkdoor_standins import engine

from .._inprocess import OPERATOR_TOKEN, Deployment, connected, until

CUSTOMER = "teika-garden"
CHAT = {"model": "garden-7b", "messages": [{"role": "user", "content": "hello"}]}


@pytest.fixture
async def deployment():
    """Return a deployment whose platform stand-in runs."""
    async with AsyncExitStack() as stack:
        started = Deployment(stack)
        await started.start()
        yield started


async def run_sidecar(deployment: Deployment, tls: MutualTls) -> ProcessSettings:
    """Start a sidecar beside an engine."""
    spec = engine.EngineSettings(model="garden-7b", time_scale=100.0)
    url = await deployment.serve(engine.create_app(spec))
    return await deployment.run_sidecar(Upstream(url, "assistant"), tls=tls)


class TestKnownPeers:
    """Processes with valid certificates."""

    async def test_all_hops(self, deployment, authority):
        """A caller's request is served with TLS to the entry and to the sidecar."""
        await run_sidecar(deployment, authority.issue("sidecar-1"))
        kernel = await deployment.run_entry(
            tls=authority.issue("entry-1"),
            callers_tls=authority.issue_for_callers("127.0.0.1"),
        )
        await until(lambda: connected(kernel))
        context = ssl.create_default_context(cafile=str(authority.path))
        headers = {"Authorization": f"Bearer {api_key(CUSTOMER)}"}
        url = f"https://{deployment.callers}/v1/chat/completions"

        async def post_chat() -> int:
            async with deployment.session.post(
                url, json=CHAT, headers=headers, ssl=context
            ) as answer:
                return answer.status

        async with asyncio.timeout(20):
            # Requests are refused until the engine counts as healthy.
            while (status := await post_chat()) == 503:
                await asyncio.sleep(0.05)
        assert status == 200


class TestOperators:
    """The operators' client in a deployment with TLS."""

    async def test_instances(self, deployment, authority):
        """A token suffices, and the entry calls the other instances over TLS."""
        await run_sidecar(deployment, authority.issue("sidecar-1"))
        kernel = await deployment.run_entry(tls=authority.issue("entry-1", "127.0.0.1"))
        await until(lambda: connected(kernel))
        async with AdminClient(
            f"https://{deployment.internal}",
            token=OPERATOR_TOKEN,
            authority=str(authority.path),
        ) as client:
            (sidecar,) = await client.instances()
            assert sidecar["error"] is None
            assert sidecar["status"]["instance"] == "sidecar-1"

    async def test_other_authority(self, deployment, authority, other_authority):
        """A client that trusts another authority fails before it sends the token."""
        await deployment.run_entry(tls=authority.issue("entry-1", "127.0.0.1"))
        async with AdminClient(
            f"https://{deployment.internal}",
            token=OPERATOR_TOKEN,
            authority=str(other_authority.path),
        ) as client:
            with pytest.raises(UnavailableError):
                await client.instances()


class TestUnknownPeers:
    """Processes with certificates that are not accepted."""

    async def test_other_authority(
        self, deployment, authority, other_authority, logged
    ):
        """An entry with a certificate of another authority is refused and logged."""
        await run_sidecar(deployment, authority.issue("sidecar-1"))
        foreign = other_authority.issue("entry-1")._replace(
            authority=str(authority.path)
        )
        kernel = await deployment.run_entry(tls=foreign)
        await until(lambda: logged.names().count("peer_refused") > 1)
        assert not connected(kernel)

    async def test_other_name(self, deployment, authority, logged):
        """An entry whose certificate has another name is refused."""
        await run_sidecar(deployment, authority.issue("sidecar-1"))
        kernel = await deployment.run_entry(tls=authority.issue("entry-2"))
        await until(lambda: logged.names().count("peer_refused") > 1)
        assert not connected(kernel)

    async def test_other_sidecar(self, deployment, authority, logged):
        """An entry does not connect to a sidecar whose certificate has another name."""
        await run_sidecar(deployment, authority.issue("sidecar-2"))
        kernel = await deployment.run_entry(tls=authority.issue("entry-1"))
        await until(lambda: logged.names().count("peer_refused") > 1)
        assert not connected(kernel)

    @pytest.mark.parametrize("path", ["dispatch", "outcome"])
    async def test_no_certificate(self, deployment, authority, logged, path):
        """A dispatch or outcome request without a certificate is refused as not run."""
        settings = await run_sidecar(deployment, authority.issue("sidecar-1"))
        context = ssl.create_default_context(cafile=str(authority.path))
        url = f"https://{settings.listen.internal}/internal/{path}/r1"
        async with deployment.session.post(
            url, ssl=context, server_hostname="sidecar-1"
        ) as answer:
            assert answer.status == 403
            assert answer.headers["X-Skylarkdoor-Not-Run"] == "1"
        assert "peer_refused" in logged.names()

    async def test_open_routes(self, deployment, authority):
        """Health and metrics require no client certificate."""
        settings = await run_sidecar(deployment, authority.issue("sidecar-1"))
        context = ssl.create_default_context(cafile=str(authority.path))
        for path in ("healthz", "metrics"):
            async with deployment.session.get(
                f"https://{settings.listen.internal}/{path}",
                ssl=context,
                server_hostname="sidecar-1",
            ) as answer:
                assert answer.status == 200
