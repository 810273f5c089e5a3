"""Conversion between replication messages, stored values and protobuf."""

from __future__ import annotations

from galenadrum._internal.control.replication import messages as m
from galenadrum._internal.control.replication.entries import (
    Entry,
    EntryKind,
    Snapshot,
)
from galenadrum._internal.control.replication.membership import Member, Membership
from galenadrum._internal.protocol import replication_pb2 as pb


def encode_entry(entry: Entry) -> pb.LogEntry:
    """Return the protobuf form of an entry."""
    return pb.LogEntry(
        index=entry.index, term=entry.term, kind=int(entry.kind), data=entry.data
    )


def decode_entry(record: pb.LogEntry) -> Entry:
    """Return the entry decoded from its protobuf form."""
    return Entry(record.index, record.term, EntryKind(record.kind), record.data)


def encode_membership(membership: Membership) -> pb.LogMembership:
    """Return the protobuf form of a membership."""
    members = [
        pb.LogMember(
            member_id=member.member_id,
            address=member.address,
            disk_id=member.disk_id,
            voter=member.voter,
            replaces=member.replaces,
        )
        for member in membership.members
    ]
    return pb.LogMembership(
        members=members,
        removed_ids=membership.removed_ids,
        cluster_id=membership.cluster_id,
        outgoing_voter_ids=membership.outgoing_voter_ids,
    )


def decode_membership(record: pb.LogMembership) -> Membership:
    """Return the membership decoded from its protobuf form."""
    members = tuple(
        Member(r.member_id, r.address, r.disk_id, r.voter, r.replaces)
        for r in record.members
    )
    return Membership(
        members,
        tuple(record.removed_ids),
        record.cluster_id,
        tuple(record.outgoing_voter_ids),
    )


def membership_to_bytes(membership: Membership) -> bytes:
    """Serialise a membership as the data of a membership entry."""
    return encode_membership(membership).SerializeToString(deterministic=True)


def membership_from_bytes(data: bytes) -> Membership:
    """Return the membership decoded from the data of a membership entry."""
    return decode_membership(pb.LogMembership.FromString(data))


def snapshot_to_bytes(snapshot: Snapshot) -> bytes:
    """Serialise a snapshot for storage."""
    return pb.LogSnapshot(
        index=snapshot.index,
        term=snapshot.term,
        membership=encode_membership(snapshot.membership),
        data=snapshot.data,
    ).SerializeToString()


def snapshot_from_bytes(data: bytes) -> Snapshot:
    """Return the snapshot decoded from its stored form."""
    record = pb.LogSnapshot.FromString(data)
    membership = decode_membership(record.membership)
    return Snapshot(record.index, record.term, membership, record.data)


def encode_message(message: m.Message) -> pb.PeerMessage:
    """Return the protobuf form of a message."""
    record = pb.PeerMessage(
        sender_id=message.sender_id,
        sender_disk_id=message.sender_disk_id,
        recipient_id=message.recipient_id,
        recipient_disk_id=message.recipient_disk_id,
        term=message.term,
    )
    name, encode, _ = _CODEC_BY_BODY_CLASS[type(message.body)]
    field = getattr(record, name)
    # Sets the oneof also for an empty body, which MergeFrom alone wouldn't.
    field.SetInParent()
    field.MergeFrom(encode(message.body))
    return record


def decode_message(record: pb.PeerMessage) -> m.Message:
    """Return the message decoded from its protobuf form.

    Raises:
        ValueError: If the record has no body of a known type.
    """
    name = record.WhichOneof("body")
    if name is None:
        raise ValueError("peer message has no body of a known type")
    decode = _DECODER_BY_FIELD[name]
    return m.Message(
        record.sender_id,
        record.sender_disk_id,
        record.recipient_id,
        record.recipient_disk_id,
        record.term,
        decode(getattr(record, name)),
    )


def _encode_pre_vote_request(body: m.PreVoteRequest) -> pb.PreVoteRequest:
    return pb.PreVoteRequest(
        next_term=body.next_term, last_index=body.last_index, last_term=body.last_term
    )


def _decode_pre_vote_request(record: pb.PreVoteRequest) -> m.PreVoteRequest:
    return m.PreVoteRequest(record.next_term, record.last_index, record.last_term)


def _encode_pre_vote_response(body: m.PreVoteResponse) -> pb.PreVoteResponse:
    return pb.PreVoteResponse(next_term=body.next_term, granted=body.granted)


def _decode_pre_vote_response(record: pb.PreVoteResponse) -> m.PreVoteResponse:
    return m.PreVoteResponse(record.next_term, record.granted)


def _encode_vote_request(body: m.VoteRequest) -> pb.VoteRequest:
    return pb.VoteRequest(
        last_index=body.last_index,
        last_term=body.last_term,
        leader_stepped_down=body.leader_stepped_down,
    )


def _decode_vote_request(record: pb.VoteRequest) -> m.VoteRequest:
    return m.VoteRequest(
        record.last_index, record.last_term, record.leader_stepped_down
    )


def _encode_vote_response(body: m.VoteResponse) -> pb.VoteResponse:
    return pb.VoteResponse(granted=body.granted)


def _decode_vote_response(record: pb.VoteResponse) -> m.VoteResponse:
    return m.VoteResponse(record.granted)


def _encode_append_request(body: m.AppendRequest) -> pb.AppendRequest:
    return pb.AppendRequest(
        previous_index=body.previous_index,
        previous_term=body.previous_term,
        entries=[encode_entry(entry) for entry in body.entries],
        commit_index=body.commit_index,
        round=body.round,
    )


def _decode_append_request(record: pb.AppendRequest) -> m.AppendRequest:
    return m.AppendRequest(
        record.previous_index,
        record.previous_term,
        tuple(decode_entry(entry) for entry in record.entries),
        record.commit_index,
        record.round,
    )


def _encode_append_response(body: m.AppendResponse) -> pb.AppendResponse:
    return pb.AppendResponse(
        accepted=body.accepted,
        match_index=body.match_index,
        round=body.round,
        rejected_index=body.rejected_index,
        hint_index=body.hint_index,
    )


def _decode_append_response(record: pb.AppendResponse) -> m.AppendResponse:
    return m.AppendResponse(
        record.accepted,
        record.match_index,
        record.round,
        record.rejected_index,
        record.hint_index,
    )


def _encode_snapshot_chunk(body: m.SnapshotChunk) -> pb.SnapshotChunk:
    return pb.SnapshotChunk(
        index=body.index,
        snapshot_term=body.snapshot_term,
        membership=encode_membership(body.membership),
        offset=body.offset,
        total_bytes=body.total_bytes,
        data=body.data,
        round=body.round,
    )


def _decode_snapshot_chunk(record: pb.SnapshotChunk) -> m.SnapshotChunk:
    return m.SnapshotChunk(
        record.index,
        record.snapshot_term,
        decode_membership(record.membership),
        record.offset,
        record.total_bytes,
        record.data,
        record.round,
    )


def _encode_snapshot_response(body: m.SnapshotResponse) -> pb.SnapshotResponse:
    return pb.SnapshotResponse(
        index=body.index, received_bytes=body.received_bytes, round=body.round
    )


def _decode_snapshot_response(record: pb.SnapshotResponse) -> m.SnapshotResponse:
    return m.SnapshotResponse(record.index, record.received_bytes, record.round)


def _encode_timeout_now(body: m.TimeoutNow) -> pb.TimeoutNow:
    return pb.TimeoutNow()


def _decode_timeout_now(record: pb.TimeoutNow) -> m.TimeoutNow:
    return m.TimeoutNow()


def _encode_refusal(body: m.MemberRefusal) -> pb.MemberRefusal:
    return pb.MemberRefusal(reason=body.reason)


def _decode_refusal(record: pb.MemberRefusal) -> m.MemberRefusal:
    return m.MemberRefusal(record.reason)


_CODEC_BY_BODY_CLASS = {
    m.PreVoteRequest: (
        "pre_vote_request",
        _encode_pre_vote_request,
        _decode_pre_vote_request,
    ),
    m.PreVoteResponse: (
        "pre_vote_response",
        _encode_pre_vote_response,
        _decode_pre_vote_response,
    ),
    m.VoteRequest: ("vote_request", _encode_vote_request, _decode_vote_request),
    m.VoteResponse: ("vote_response", _encode_vote_response, _decode_vote_response),
    m.AppendRequest: (
        "append_request",
        _encode_append_request,
        _decode_append_request,
    ),
    m.AppendResponse: (
        "append_response",
        _encode_append_response,
        _decode_append_response,
    ),
    m.SnapshotChunk: (
        "snapshot_chunk",
        _encode_snapshot_chunk,
        _decode_snapshot_chunk,
    ),
    m.SnapshotResponse: (
        "snapshot_response",
        _encode_snapshot_response,
        _decode_snapshot_response,
    ),
    m.TimeoutNow: ("timeout_now", _encode_timeout_now, _decode_timeout_now),
    m.MemberRefusal: ("refusal", _encode_refusal, _decode_refusal),
}

_DECODER_BY_FIELD = {name: decode for name, _, decode in _CODEC_BY_BODY_CLASS.values()}
