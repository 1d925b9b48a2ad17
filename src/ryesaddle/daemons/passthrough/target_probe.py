"""Checks whether the process of a target runs."""

import asyncio

CONNECT_TIMEOUT_S = 0.1  # a connection on one host takes less than a millisecond


async def is_listening(address):
    """Whether a process listens at a TCP address; True if that cannot be told.

    A target holds its flows in its process and listens while that runs. If nothing
    listens at its address, no flow is held there.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, _ = await loop.create_connection(asyncio.Protocol, *address)
    except ConnectionRefusedError:
        return False
    except (TimeoutError, OSError):
        return True
    transport.abort()
    return True
