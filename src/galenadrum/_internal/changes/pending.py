"""On-disk store of change sets whose outcome is not known yet.

A resent change set must be byte-identical to the first one, base revisions
included, even if the command that sent it first was killed. So a change set is
saved before it is sent and removed once its outcome is known.
"""

from __future__ import annotations

import json
import logging
import os
import re
from pathlib import Path

from galenadrum._internal.models.operator_api import ChangeSet
from galenadrum._internal.network.operator_messages import (
    MalformedResponseError,
    decode_change,
    encode_change_set,
)

logger = logging.getLogger(__name__)

CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,128}")
_FOLDER_MODE = 0o700
_MAX_PENDING_CHANGES = 1_000


class PendingChanges:
    """Stores the pending change sets of one user, one file each.

    Args:
        folder: Folder of the files; created when the first change set is saved.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def load(self, change_id: str) -> ChangeSet | None:
        """Return the pending change set with an id, or None.

        An unreadable file is logged and counts as no pending change set.
        """
        try:
            body = json.loads(self._get_path(change_id).read_bytes())
            changes = tuple(decode_change(item) for item in body["changes"])
        except FileNotFoundError:
            return None
        except (OSError, ValueError, KeyError, MalformedResponseError) as error:
            logger.warning(
                "can't read pending change set %s, ignoring it: %s", change_id, error
            )
            return None
        return ChangeSet(change_id, changes)

    def save(self, change_set: ChangeSet) -> None:
        """Save a change set; a failure to write it is only logged."""
        path = self._get_path(change_set.change_id)
        partial_path = path.with_suffix(".partial")
        body = encode_change_set(change_set, check_only=False)
        try:
            self._folder.mkdir(_FOLDER_MODE, parents=True, exist_ok=True)
            with partial_path.open("w") as file:
                json.dump(body, file)
                file.flush()
                os.fsync(file.fileno())
            os.replace(partial_path, path)
            self._remove_oldest()
        except OSError as error:
            logger.warning("can't save the change set for a resend: %s", error)

    def remove(self, change_id: str) -> None:
        """Remove a change set whose outcome is known."""
        try:
            self._get_path(change_id).unlink(missing_ok=True)
        except OSError as error:
            logger.warning("can't remove the pending change set: %s", error)

    def _remove_oldest(self) -> None:
        """Remove the oldest files above ``_MAX_PENDING_CHANGES``.

        Control hosts expire old change ids as well.
        """
        paths = sorted(self._folder.glob("*.json"), key=lambda p: p.stat().st_mtime)
        for path in paths[:-_MAX_PENDING_CHANGES]:
            path.unlink(missing_ok=True)

    def _get_path(self, change_id: str) -> Path:
        if not CHANGE_ID_PATTERN.fullmatch(change_id):
            raise ValueError(
                "change id must be 1 to 128 letters, digits, '.', '_', '-'"
            )
        return self._folder / f"{change_id}.json"
