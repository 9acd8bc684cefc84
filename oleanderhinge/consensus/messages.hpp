// Raft messages between the members, and their encoding in
// wire::consensus_message.
//
// Every message carries the disk incarnations of sender and receiver. A member
// ignores messages that are addressed to another disk; it answers an
// append_request or snapshot_chunk among them with a `disk_announcement`. Votes
// and acknowledgments of a lost disk are therefore never counted.
//
// Example:
//   wire::consensus_message out = encode(group, m);
//   result<message> in = decode(out);
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/consensus/types.hpp"

#include <map>
#include <variant>

namespace oleanderhinge::consensus
{

// Asks for a vote in `for_term`. A granted pre-vote is not recorded and changes
// no term.
struct vote_request {
    term for_term;
    log_index last_index;
    term last_term;
    bool pre_vote = false;
    // Leadership transfer: the leader of the previous term gave up its lease in
    // favour of this candidate, so voters need not wait for the lease to
    // expire.
    bool transfer = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->for_term, this->last_index, this->last_term);
        archive(this->pre_vote, this->transfer);
    }
};

// `for_term` and `pre_vote` are those of the request.
struct vote_reply {
    term for_term;
    bool pre_vote = false;
    bool granted = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->for_term, this->pre_vote, this->granted);
    }
};

// The entries that follow `previous`. A heartbeat has none.
struct append_request {
    log_index previous;
    term previous_term;
    std::vector<entry> entries;
    log_index committed;
    // The leader's clock at the time of sending, in microseconds. The reply
    // returns it; the lease counts from this time, not from the reply's
    // arrival.
    std::int64_t sent_us = 0;
    // Time since a quorum last confirmed the leader; UINT32_MAX if never.
    std::uint32_t lease_age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->previous, this->previous_term, this->entries);
        archive(this->committed, this->sent_us, this->lease_age_ms);
    }
};

// Answers an append_request, and reports entries once they are durable.
struct append_reply {
    bool accepted = false;
    // If accepted: all entries up to this index are durable and equal the
    // leader's log. If not: the leader should continue after this index.
    log_index match;
    // `previous` of the rejected request, else zero.
    log_index rejected_previous;
    // `sent_us` of the request, or the latest one if this only reports durable
    // entries; zero in the answer to a leader with a lower term.
    std::int64_t sent_us = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->accepted,
            this->match,
            this->rejected_previous,
            this->sent_us);
    }
};

// One chunk of the snapshot that replaces the log up to `last`. A chunk without
// data serves as a heartbeat.
struct snapshot_chunk {
    log_index last;
    term last_term;
    membership members;
    // Size of the whole snapshot and position of `data` in it, in bytes.
    std::uint64_t size = 0;
    std::uint64_t offset = 0;
    std::string data;
    // As in append_request.
    std::int64_t sent_us = 0;
    std::uint32_t lease_age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->last, this->last_term, this->members, this->size);
        archive(this->offset, this->data, this->sent_us, this->lease_age_ms);
    }
};

struct snapshot_reply {
    // `last` of the snapshot.
    log_index last;
    // Contiguous bytes received from the start of the snapshot.
    std::uint64_t received = 0;
    std::int64_t sent_us = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->last, this->received, this->sent_us);
    }
};

// Leadership transfer: the leader has given up its lease, and the receiver
// starts an election at once.
struct timeout_now {
    template <class Archive>
    void serialize(Archive&)
    {
    }
};

// Announces the sender's disk. Sent while no membership is in the sender's log
// or snapshot, and in answer to a leader's message for another disk.
struct disk_announcement {
    // Disks of the initial members that the sender knows, with its own.
    std::map<vm_id, incarnation> known_disks;
    // The sender's log or snapshot holds a membership, so the sender does not
    // take part in forming a cluster.
    bool has_logged_membership = false;
    // Term and `sent_us` of the leader's message that this answers; zero if it
    // answers none.
    term echo_term;
    std::int64_t echo_sent_us = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->known_disks, this->has_logged_membership);
        archive(this->echo_term, this->echo_sent_us);
    }
};

using body = std::variant<
    vote_request,
    vote_reply,
    append_request,
    append_reply,
    snapshot_chunk,
    snapshot_reply,
    timeout_now,
    disk_announcement>;

struct message {
    term sender_term;
    // Disk of the sender.
    incarnation sender;
    // Zero if unknown to the sender. A disk_announcement is processed whatever
    // this holds; other messages only if it is the receiver's own disk.
    incarnation receiver;
    body content;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->sender_term, this->sender, this->receiver);
        archive(this->content);
    }
};

wire::consensus_message encode(std::uint32_t group, const message& m);

// Fails with `malformed` on any input that `encode` does not produce: bytes
// that do not parse, entries with a gap, decreasing terms or an unknown kind,
// and unreadable memberships.
base::result<message> decode(const wire::consensus_message& encoded);

// Payload of an `entry_kind::membership` entry. Decoding fails with
// `malformed`.
std::string encode_membership(const membership& members);
base::result<membership> decode_membership(const std::string& payload);

} // namespace oleanderhinge::consensus
