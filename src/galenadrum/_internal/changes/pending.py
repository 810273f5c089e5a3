"""Change sets that were sent and have no outcome yet, kept on disk.

A change set that is sent again must be the same to the byte, base revisions
included, also when the command that sent it first was killed. So it is kept
from before it is sent until its outcome is known.
"""

from __future__ import annotations

import json
import logging
import os
import re
from pathlib import Path

from galenadrum._internal.models.operator_api import ChangeSet
from galenadrum._internal.network.operator_messages import (
    MalformedAnswerError,
    decode_change,
    encode_change_set,
)

logger = logging.getLogger(__name__)

CHANGE_ID_FORM = re.compile(r"[A-Za-z0-9._-]{1,128}")
_FOLDER_MODE = 0o700
_MAX_PENDING = 1_000


class PendingChanges:
    """The pending change sets of one user, a file for each.

    Args:
        folder: Made when the first change set is kept.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def load(self, change_id: str) -> ChangeSet | None:
        """Return the change set that was sent under an id, if it is pending."""
        try:
            body = json.loads(self._path(change_id).read_bytes())
            changes = tuple(decode_change(item) for item in body["changes"])
        except FileNotFoundError:
            return None
        except (OSError, ValueError, KeyError, MalformedAnswerError) as error:
            logger.warning("can't read the pending change %s: %s", change_id, error)
            return None
        return ChangeSet(change_id, changes)

    def keep(self, change_set: ChangeSet) -> None:
        """Keep a change set; a folder that can't be written is only logged."""
        path = self._path(change_set.change_id)
        partial = path.with_suffix(".partial")
        body = encode_change_set(change_set, check_only=False)
        try:
            self._folder.mkdir(_FOLDER_MODE, parents=True, exist_ok=True)
            with partial.open("w") as file:
                json.dump(body, file)
                file.flush()
                os.fsync(file.fileno())
            os.replace(partial, path)
            self._remove_oldest()
        except OSError as error:
            logger.warning("can't keep the change for a resend: %s", error)

    def forget(self, change_id: str) -> None:
        """Remove a change set whose outcome is known."""
        try:
            self._path(change_id).unlink(missing_ok=True)
        except OSError as error:
            logger.warning("can't remove the pending change: %s", error)

    def _remove_oldest(self) -> None:
        """Keep the folder small; control hosts forget old change ids as well."""
        paths = sorted(self._folder.glob("*.json"), key=lambda p: p.stat().st_mtime)
        for path in paths[:-_MAX_PENDING]:
            path.unlink(missing_ok=True)

    def _path(self, change_id: str) -> Path:
        if not CHANGE_ID_FORM.fullmatch(change_id):
            raise ValueError("a change id has 1 to 128 letters, digits, '.', '_', '-'")
        return self._folder / f"{change_id}.json"
