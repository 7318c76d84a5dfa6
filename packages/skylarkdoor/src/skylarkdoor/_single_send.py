"""Middleware of aiohttp's client that sends each request at most once."""

import aiohttp
from aiohttp import ClientHandlerType, ClientRequest, ClientResponse

from skylarkdoor.exceptions import ResponseLostError
from skylarkdoor.failures import reason


async def send_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Prevent aiohttp from resending a request whose connection was closed.

    aiohttp resends requests with idempotent HTTP methods, even those sent on a new
    connection, after `ClientOSError` and `ServerDisconnectedError`. Both are
    replaced by an error that doesn't trigger a resend.

    Raises:
        ResponseLostError: The connection was closed; the request may have run.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ResponseLostError(reason(error)) from error
