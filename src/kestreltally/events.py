"""Waits for events of one loop."""

import asyncio


async def wait_at_most(event: asyncio.Event, seconds: float) -> bool:
    """Wait until an event is set; tell whether it was in time."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
