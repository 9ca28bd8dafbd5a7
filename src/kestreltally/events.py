"""Waiting for asyncio events with a timeout."""

import asyncio


async def wait_at_most(event: asyncio.Event, seconds: float) -> bool:
    """Wait until an event is set; return whether it was set in time."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
