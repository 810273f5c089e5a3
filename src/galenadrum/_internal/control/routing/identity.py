"""Who a control host is in the replicated log, kept beside the log.

A host that comes back with its disk is the member that it was. One that lost its
disk, or was removed while it was away, joins as a new member with an empty log.
"""

from __future__ import annotations

import json
import logging
import os
import random
import shutil
from dataclasses import asdict, dataclass
from pathlib import Path

from galenadrum._internal.exceptions import StorageError

logger = logging.getLogger(__name__)

_FILE_NAME = "member.json"
_TEMPORARY_NAME = "member.json.new"
_ID_BITS = 48


@dataclass(frozen=True, slots=True)
class MemberIdentity:
    """A member and where its log is.

    Attributes:
        founders: Peer addresses of the members that started the cluster, if
            this is one of them; each is also its member's id.
        generation: Counts the identities that this disk has held.
    """

    member_id: str
    founders: tuple[str, ...]
    generation: int

    def log_folder(self, data_folder: Path) -> Path:
        """Return the folder of the member's log."""
        return data_folder / f"log-{self.generation}"


def load_identity(
    data_folder: Path,
    peer_address: str,
    founders: tuple[str, ...],
    rng: random.Random,
) -> MemberIdentity:
    """Return the identity that the folder holds, or a new one.

    Args:
        data_folder: The host's folder; created when it is missing.
        peer_address: Where other members reach this host.
        founders: Peer addresses of the first members on the first start of the
            whole system; empty later.
        rng: Must be seeded differently on each host.

    Raises:
        StorageError: The folder can't be used.
    """
    try:
        data_folder.mkdir(parents=True, exist_ok=True)
        known = _read(data_folder)
        if known is not None:
            return known
        if peer_address in founders:
            identity = MemberIdentity(peer_address, founders, 1)
        else:
            identity = MemberIdentity(_new_id(peer_address, rng), (), 1)
        _write(data_folder, identity)
    except OSError as error:
        raise StorageError(
            f"can't use the data folder {data_folder}: {error}"
        ) from error
    return identity


def renew_identity(
    data_folder: Path, peer_address: str, former: MemberIdentity, rng: random.Random
) -> MemberIdentity:
    """Give up an identity that the cluster doesn't accept any more.

    Raises:
        StorageError: The folder can't be used.
    """
    identity = MemberIdentity(_new_id(peer_address, rng), (), former.generation + 1)
    try:
        _write(data_folder, identity)
        shutil.rmtree(former.log_folder(data_folder), ignore_errors=True)
    except OSError as error:
        raise StorageError(
            f"can't use the data folder {data_folder}: {error}"
        ) from error
    logger.info("%s is now member %s", former.member_id, identity.member_id)
    return identity


def _new_id(peer_address: str, rng: random.Random) -> str:
    return f"{peer_address}-{rng.getrandbits(_ID_BITS):012x}"


def _read(data_folder: Path) -> MemberIdentity | None:
    try:
        text = (data_folder / _FILE_NAME).read_text()
    except FileNotFoundError:
        return None
    try:
        record = json.loads(text)
        return MemberIdentity(
            record["member_id"], tuple(record["founders"]), record["generation"]
        )
    except (ValueError, KeyError, TypeError) as error:
        raise StorageError(f"{data_folder / _FILE_NAME} is damaged: {error}") from error


def _write(data_folder: Path, identity: MemberIdentity) -> None:
    temporary = data_folder / _TEMPORARY_NAME
    with temporary.open("w") as file:
        json.dump(asdict(identity), file)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(data_folder / _FILE_NAME)
    folder = os.open(data_folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
