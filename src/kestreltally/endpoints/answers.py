"""An HTTP answer of an endpoint, under way."""

from collections.abc import AsyncIterator

from aiohttp import ClientError, ClientResponse

from kestreltally.ports import AnswerHead, AttemptLost


class HttpAnswer:
    """Implements the port ``Answer`` over an open response."""

    def __init__(self, response: ClientResponse, head: AnswerHead) -> None:
        self._response = response
        self._head = head

    @property
    def head(self) -> AnswerHead:
        """Return what the endpoint said first."""
        return self._head

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the bytes as they come; raises ``AttemptLost`` when cut."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (ClientError, OSError) as error:
            raise AttemptLost(f"the answer was cut: {error!r}") from error

    async def close(self) -> None:
        """Give the connection back after a whole answer, else close it."""
        if self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()
