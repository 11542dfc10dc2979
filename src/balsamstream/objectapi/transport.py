"""HTTP calls to the platform."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import math
import ssl
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol, TypeAlias

from returns.result import Failure, Result, Success

from .errors import Unavailable

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Mapping

    import aiohttp

MAX_CONNECTIONS: Final = 8
MAX_LINE_BYTES: Final = 4 * 1024 * 1024
DEFAULT_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 60.0
"""A longer wait would outlast the operators' patience and the outage."""
STATUS_OK: Final = 200


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response of the platform.

    Attributes
    ----------
    status : int
        HTTP status code.
    body : bytes
        Response body.
    retry_after_s : float
        Time to wait before the next attempt after a refusal, in seconds.
    """

    status: int
    body: bytes = b""
    retry_after_s: float = DEFAULT_RETRY_AFTER_S


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a stream.

    Attributes
    ----------
    data : bytes
        The line without its line feed.
    """

    data: bytes


class EndCause(enum.Enum):
    """Why a stream ended."""

    CLOSED = "closed"
    IDLE = "idle"
    LOST = "lost"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """Last item of a stream: how it ended.

    Attributes
    ----------
    cause : EndCause
        Why it ended.
    response : Response or None
        The response if the stream was refused, or None.
    text : str
        Description of the failure.
    """

    cause: EndCause
    response: Response | None = None
    text: str = ""


StreamItem: TypeAlias = Line | StreamEnd


class Transport(Protocol):
    """Interface for calls and streams to the platform."""

    async def start(self) -> None:
        """Prepare for calls."""

    async def close(self) -> None:
        """Close every connection."""

    async def call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        body: bytes | None,
    ) -> Result[Response, Unavailable]:
        """Make one call."""

    def stream(
        self, path: str, query: Mapping[str, str]
    ) -> AsyncGenerator[StreamItem, None]:
        """Yield the lines of a stream, then its end."""


class HttpTransport:
    """Transport over HTTP or HTTPS.

    Parameters
    ----------
    url : str
        Base URL of the platform's API, without a path.
    ca_file : str or None
        PEM file of the certificates to trust in place of the system's.
    timeout_s : float
        Timeout of one call, in seconds.
    idle_s : float
        Time without data after which a stream is ended, in seconds, since its
        connection may have failed unnoticed.
    """

    def __init__(
        self,
        url: str,
        ca_file: str | None = None,
        *,
        timeout_s: float = 5.0,
        idle_s: float = 10.0,
    ) -> None:
        self._url = url.rstrip("/")
        self._ca_file = ca_file
        self._timeout_s = timeout_s
        self._idle_s = idle_s
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session.

        Raises
        ------
        OSError
            If the file of certificates cannot be read.
        """
        # Imported here, since not every process uses the platform.
        import aiohttp

        context: ssl.SSLContext | bool = True
        if self._ca_file is not None:
            context = ssl.create_default_context(cafile=self._ca_file)
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS, ssl=context)
        self._session = aiohttp.ClientSession(connector=connector)

    async def close(self) -> None:
        """Close every connection."""
        if self._session is None:
            return
        await self._session.close()
        self._session = None

    async def call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        body: bytes | None,
    ) -> Result[Response, Unavailable]:
        """Make one call.

        Parameters
        ----------
        method, path : str
            Method and path.
        query : mapping of str to str
            Query parameters.
        body : bytes or None
            JSON document to send, or None.

        Returns
        -------
        Result[Response, Unavailable]
            The response, whatever its status, or why there is none.
        """
        import aiohttp

        session = self._get_session()
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with session.request(
                method,
                self._url + path,
                params=query,
                data=body,
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                allow_redirects=False,
            ) as http_response:
                content = await http_response.read()
                return Success(_build_response(http_response, content))
        except aiohttp.ClientConnectorError as error:
            return Failure(Unavailable(False, _describe_connection(error)))
        except TimeoutError:
            text = f"no response within {self._timeout_s:g} s"
            return Failure(Unavailable(method != "GET", text))
        except (aiohttp.ClientError, OSError) as error:
            text = str(error) or type(error).__name__
            return Failure(Unavailable(method != "GET", text))

    async def stream(
        self, path: str, query: Mapping[str, str]
    ) -> AsyncGenerator[StreamItem, None]:
        """Yield the lines of a stream, then its end."""
        import aiohttp

        session = self._get_session()
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._timeout_s, sock_read=self._idle_s
        )
        opened = False
        try:
            async with session.get(
                self._url + path, params=query, timeout=timeout, allow_redirects=False
            ) as http_response:
                if http_response.status != STATUS_OK:
                    response = _build_response(
                        http_response, await http_response.read()
                    )
                    yield StreamEnd(EndCause.REFUSED, response)
                    return
                opened = True
                async with contextlib.aclosing(
                    _split_lines(http_response.content)
                ) as lines:
                    async for item in lines:
                        yield item
        except TimeoutError:
            cause = EndCause.IDLE if opened else EndCause.LOST
            yield StreamEnd(cause, text="no data within the timeout")
        except aiohttp.ClientConnectorError as error:
            yield StreamEnd(EndCause.LOST, text=_describe_connection(error))
        except (aiohttp.ClientError, OSError) as error:
            yield StreamEnd(EndCause.LOST, text=str(error) or type(error).__name__)

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise RuntimeError("the transport is not started or is closed")
        return self._session


async def _split_lines(
    content: aiohttp.StreamReader,
) -> AsyncGenerator[StreamItem, None]:
    # StreamReader.readline has a limit far below the size of a large object.
    buffer = bytearray()
    async for chunk in content.iter_any():
        buffer += chunk
        if b"\n" not in chunk:
            if len(buffer) > MAX_LINE_BYTES:
                yield StreamEnd(EndCause.LOST, text="a line of the stream is too long")
                return
            continue
        *lines, rest = bytes(buffer).split(b"\n")
        buffer = bytearray(rest)
        for line in lines:
            if line.strip():
                yield Line(line)
        await asyncio.sleep(0)
    yield StreamEnd(EndCause.CLOSED)


def _describe_connection(error: aiohttp.ClientConnectorError) -> str:
    if isinstance(error, ssl.SSLError | ssl.CertificateError):
        return str(error)
    return f"cannot connect to {error.host}:{error.port}"


def _build_response(http_response: aiohttp.ClientResponse, content: bytes) -> Response:
    text = http_response.headers.get("Retry-After", "")
    try:
        retry_after_s = float(text)
    except ValueError:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    if not math.isfinite(retry_after_s):
        retry_after_s = DEFAULT_RETRY_AFTER_S
    retry_after_s = min(max(0.0, retry_after_s), MAX_RETRY_AFTER_S)
    return Response(http_response.status, content, retry_after_s)


__all__ = [
    "EndCause",
    "HttpTransport",
    "Line",
    "Response",
    "StreamEnd",
    "StreamItem",
    "Transport",
]
