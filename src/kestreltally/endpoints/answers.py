"""An HTTP answer that is being received from an endpoint."""

from collections.abc import AsyncIterator

from aiohttp import ClientError, ClientResponse

from kestreltally.ports import AnswerHead, AttemptLost


class HttpAnswer:
    """Implements the port ``Answer`` for an open HTTP response."""

    def __init__(self, response: ClientResponse, head: AnswerHead) -> None:
        self._response = response
        self._head = head

    @property
    def head(self) -> AnswerHead:
        """Return the answer's status and headers."""
        return self._head

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield bytes as they arrive; raises ``AttemptLost`` if they end early."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (ClientError, OSError) as error:
            raise AttemptLost(
                f"connection lost while receiving the answer: {error!r}"
            ) from error

    async def close(self) -> None:
        """Release the connection if the answer is complete, else close it."""
        if self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()
