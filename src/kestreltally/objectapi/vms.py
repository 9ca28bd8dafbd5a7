"""HTTP client of the platform's VM list."""

from typing import Final

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout

from kestreltally.entities.ids import Seconds
from kestreltally.entities.members import ListedVm
from kestreltally.ports import PlatformError
from kestreltally.sessions import read_bounded

TIMEOUT: Final[Seconds] = 1.0


class HttpVmList:
    """Implements the port ``VmList``."""

    def __init__(self, session: ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip("/")

    async def fetch(self) -> tuple[ListedVm, ...]:
        """Fetch the listed VMs; raises ``PlatformError``."""
        try:
            async with self._session.get(
                f"{self._url}/vms",
                timeout=ClientTimeout(total=TIMEOUT),
            ) as response:
                response.raise_for_status()
                raw = await read_bounded(response)
            return msgspec.json.decode(raw, type=tuple[ListedVm, ...])
        except (ClientError, TimeoutError, msgspec.MsgspecError) as error:
            raise PlatformError(f"VM list: {error!r}") from error
