"""Identity of a control host as a member of the replicated log.

The identity is stored next to the log. A host that restarts with its disk keeps its
identity. One that lost its disk, or was removed from the cluster while it was down,
joins as a new member with an empty log.
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

_IDENTITY_FILE_NAME = "member.json"
_TEMPORARY_FILE_NAME = "member.json.new"
_RANDOM_ID_BITS = 48


@dataclass(frozen=True, slots=True)
class MemberIdentity:
    """Identity of a member, and the generation that names its log folder.

    Attributes:
        member_id: Id of the member in the replicated log.
        founders: Peer addresses of the founding members, which are also their
            member ids; empty if this isn't a founding member.
        generation: Number of identities that this disk has held.
    """

    member_id: str
    founders: tuple[str, ...]
    generation: int

    def log_folder(self, data_folder: Path) -> Path:
        """Return the folder of this member's log."""
        return data_folder / f"log-{self.generation}"


def load_identity(
    data_folder: Path,
    peer_address: str,
    founders: tuple[str, ...],
    rng: random.Random,
) -> MemberIdentity:
    """Load the stored identity, or create and store a new one.

    Args:
        data_folder: Data folder of the host; created if it is missing.
        peer_address: Address at which other members reach this host.
        founders: Peer addresses of the founding members on the first start of the
            cluster; empty later.
        rng: Random generator for a new id; must be seeded differently on each host.

    Raises:
        StorageError: If the folder can't be used.
    """
    try:
        data_folder.mkdir(parents=True, exist_ok=True)
        stored_identity = _read_identity(data_folder)
        if stored_identity is not None:
            return stored_identity
        if peer_address in founders:
            identity = MemberIdentity(peer_address, founders, 1)
        else:
            identity = MemberIdentity(_generate_member_id(peer_address, rng), (), 1)
        _write_identity(data_folder, identity)
    except OSError as error:
        raise StorageError(
            f"can't use the data folder {data_folder}: {error}"
        ) from error
    return identity


def replace_identity(
    data_folder: Path, peer_address: str, previous: MemberIdentity, rng: random.Random
) -> MemberIdentity:
    """Replace an identity that the cluster refuses, and delete its log.

    Raises:
        StorageError: If the folder can't be used.
    """
    identity = MemberIdentity(
        _generate_member_id(peer_address, rng), (), previous.generation + 1
    )
    try:
        _write_identity(data_folder, identity)
        shutil.rmtree(previous.log_folder(data_folder), ignore_errors=True)
    except OSError as error:
        raise StorageError(
            f"can't use the data folder {data_folder}: {error}"
        ) from error
    logger.info(
        "replaced refused member %s by new member %s",
        previous.member_id,
        identity.member_id,
    )
    return identity


def _generate_member_id(peer_address: str, rng: random.Random) -> str:
    return f"{peer_address}-{rng.getrandbits(_RANDOM_ID_BITS):012x}"


def _read_identity(data_folder: Path) -> MemberIdentity | None:
    try:
        text = (data_folder / _IDENTITY_FILE_NAME).read_text()
    except FileNotFoundError:
        return None
    try:
        record = json.loads(text)
        return MemberIdentity(
            record["member_id"], tuple(record["founders"]), record["generation"]
        )
    except (ValueError, KeyError, TypeError) as error:
        raise StorageError(
            f"{data_folder / _IDENTITY_FILE_NAME} is damaged: {error}"
        ) from error


def _write_identity(data_folder: Path, identity: MemberIdentity) -> None:
    temporary = data_folder / _TEMPORARY_FILE_NAME
    with temporary.open("w") as file:
        json.dump(asdict(identity), file)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(data_folder / _IDENTITY_FILE_NAME)
    folder = os.open(data_folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
