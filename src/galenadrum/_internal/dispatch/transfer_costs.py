"""Delay that is worth bearing to keep the results of stages in one zone.

Load pattern: chains of stages whose results have megabytes, with servers in several
zones that are all partly busy. A piece that takes the first free server moves its
inputs to another zone most of the time, and one that waits for a server of its zone
while its request is due moves them in vain. The less urgent a request is, the longer it
waits for a server that is near its inputs.
"""

from __future__ import annotations

from collections.abc import Mapping

# Delay of any transfer between zones.
_FIXED_S = 0.02
# Delay added for each byte of a request that is due, and of one that has much time.
_URGENT_S_PER_BYTE = 20e-9
_PATIENT_S_PER_BYTE = 200e-9
# Share of the time left that a request may wait to save a transfer.
_SLACK_SHARE = 0.3


def estimate_transfer_penalty(size: float, slack_s: float) -> float:
    """Return the delay in seconds that counts for moving results between zones.

    Args:
        size: Size of the results in bytes.
        slack_s: Time in seconds that the request can lose without being late.
    """
    urgent_s = _FIXED_S + size * _URGENT_S_PER_BYTE
    patient_s = _FIXED_S + size * _PATIENT_S_PER_BYTE
    return min(patient_s, max(urgent_s, slack_s * _SLACK_SHARE))


def count_moved_bytes(bytes_by_zone: Mapping[str, float], zone: str) -> float:
    """Return the size in bytes of the results that a use in a zone would move."""
    return sum(size for held_in, size in bytes_by_zone.items() if held_in != zone)
