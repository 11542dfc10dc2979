"""The client with the stand-in platform, including its injected faults."""

from __future__ import annotations

import asyncio
import datetime
import ipaddress
import ssl
from typing import TYPE_CHECKING, Any

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from returns.result import Failure, Success

from balsamstream.config import Kind
from balsamstream.objectapi import (
    Conflict,
    NotFound,
    PlatformClient,
    RateLimited,
    StoredObject,
    TooLarge,
    Unavailable,
)
from tests.objectapi.platform import open_client, open_platform

if TYPE_CHECKING:
    from pathlib import Path


def add_one(stored: StoredObject | None) -> dict[str, Any]:
    return {"number": stored.spec["number"] + 1 if stored else 1}


async def read_number(client: PlatformClient) -> int:
    stored = (await client.get(Kind.VIEW, "comptoir")).unwrap()
    number = stored.spec["number"]
    assert isinstance(number, int)
    return number


def test_written_objects_can_be_read_listed_and_deleted() -> None:
    async def run() -> None:
        async with open_platform() as (_, url), open_client(url) as client:
            made = (
                await client.create(Kind.PROFILE, "counter", {"choices": 2})
            ).unwrap()
            assert await client.get(Kind.PROFILE, "counter") == Success(made)
            assert (made.changed_by, made.spec) == ("ada", {"choices": 2})
            listing = (await client.list(Kind.PROFILE)).unwrap()
            assert listing.objects == (made,)
            assert (await client.list_all()).unwrap() == listing
            assert await client.delete(made) == Success(None)
            assert await client.get(Kind.PROFILE, "counter") == Failure(NotFound())

    asyncio.run(run())


def test_conflict_holds_the_current_object_and_its_author() -> None:
    async def run() -> None:
        async with (
            open_platform() as (_, url),
            open_client(url) as ada,
            open_client(url, "bob") as bob,
        ):
            base = (await ada.create(Kind.VIEW, "comptoir", {})).unwrap()
            theirs = (await bob.update(base, {"number": 2})).unwrap()
            assert theirs.changed_by == "bob"
            assert await ada.update(base, {"number": 3}) == Failure(Conflict(theirs))
            assert await ada.delete(base) == Failure(Conflict(theirs))
            created = await ada.create(Kind.VIEW, "comptoir", {})
            assert created == Failure(Conflict(theirs))

    asyncio.run(run())


def test_concurrent_changes_all_take_effect() -> None:
    async def run() -> None:
        async with (
            open_platform() as (_, url),
            open_client(url) as ada,
            open_client(url, "bob") as bob,
        ):
            await asyncio.gather(
                *(c.change(Kind.VIEW, "comptoir", add_one) for c in [ada, bob] * 3)
            )
            assert await read_number(ada) == 6

    asyncio.run(run())


def test_writes_with_lost_responses_take_effect_once() -> None:
    async def run() -> None:
        async with open_platform() as (platform, url), open_client(url) as client:
            for number in range(1, 4):
                platform.faults.lose_answers = 1
                result = await client.change(Kind.VIEW, "comptoir", add_one)
                assert result.unwrap().spec == {"number": number}
                assert await read_number(client) == number
            stored = (await client.get(Kind.VIEW, "comptoir")).unwrap()
            platform.faults.lose_answers = 1
            assert await client.delete_with_retries(stored) == Success(None)

    asyncio.run(run())


def test_only_a_sent_write_may_have_taken_effect_while_the_platform_is_down() -> None:
    async def run() -> None:
        async with open_platform() as (platform, url), open_client(url) as client:
            platform.faults.down = True
            result = await client.change(Kind.VIEW, "comptoir", add_one)
            assert isinstance(result.failure(), Unavailable)
            assert result.failure().may_have_taken_effect is False
            written = await client.write(Kind.VIEW, "comptoir", None, {})
            assert written.failure().may_have_taken_effect is True

    asyncio.run(run())


def test_a_refused_connection_has_no_effect() -> None:
    async def run() -> None:
        async with open_platform() as (_, url):
            pass
        async with open_client(url) as client:
            error = (await client.create(Kind.VIEW, "comptoir", {})).failure()
            assert isinstance(error, Unavailable)
            assert error.may_have_taken_effect is False

    asyncio.run(run())


def test_rate_and_size_limits_are_reported() -> None:
    async def run() -> None:
        async with (
            open_platform(writes_per_s=1) as (_, url),
            open_client(url) as client,
        ):
            large = await client.create(Kind.VIEW, "comptoir", {"x": "y" * 1_100_000})
            assert large == Failure(TooLarge())
            limited = await client.create(Kind.VIEW, "comptoir", {})
            assert limited == Failure(RateLimited(1.0))

    asyncio.run(run())


def test_a_list_may_hold_thousands_of_objects() -> None:
    async def run() -> None:
        async with open_platform() as (_, url), open_client(url) as client:
            for number in range(3_000):
                await client.create(Kind.SERVICE, f"service-{number}", {})
            listing = (await client.list_all()).unwrap()
            assert len(listing.objects) == 3_000
            assert listing.version == max(item.version for item in listing.objects)

    asyncio.run(run())


def build_certificate(folder: Path) -> tuple[Path, Path]:
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "platform")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    key_form = serialization.PrivateFormat.PKCS8
    key_bytes = key.private_bytes(pem, key_form, serialization.NoEncryption())
    (folder / "ca.pem").write_bytes(certificate.public_bytes(pem))
    (folder / "key.pem").write_bytes(key_bytes)
    return folder / "ca.pem", folder / "key.pem"


def test_https_trusts_only_the_given_certificates(tmp_path: Path) -> None:
    certificate, key = build_certificate(tmp_path)
    tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    tls.load_cert_chain(certificate, key)

    async def run() -> None:
        async with open_platform(tls) as (_, url):
            async with open_client(url, ca_file=str(certificate)) as client:
                assert isinstance(await client.list_all(), Success)
            async with open_client(url) as client:
                error = (await client.list_all()).failure()
                assert isinstance(error, Unavailable)

    asyncio.run(run())
