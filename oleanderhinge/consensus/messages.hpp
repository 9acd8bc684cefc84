// Messages between the members, and their encoding in
// wire::consensus_message.
//
// Every message names the disks of sender and receiver. A member ignores what
// is addressed to another disk and answers with an `introduction`, so neither
// votes nor acknowledgments of a lost disk are ever counted.
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

// Asks for a vote in `for_term`. With `pre_vote` the answer binds nobody.
struct vote_request {
    term for_term;
    log_index last_index;
    term last_term;
    bool pre_vote = false;
    // The leader of the term before gave up its lease for this candidate.
    bool transfer = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->for_term, this->last_index, this->last_term);
        archive(this->pre_vote, this->transfer);
    }
};

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

// Entries behind `previous`; without entries a heartbeat.
struct append_request {
    log_index previous;
    term previous_term;
    std::vector<entry> entries;
    log_index committed;
    // Clock of the leader when it sent this, in microseconds. The reply
    // returns it, so that evidence for the lease dates from the sending.
    std::int64_t sent_us = 0;
    // Time since the leader's quorum last proved itself.
    std::uint32_t lease_age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->previous, this->previous_term, this->entries);
        archive(this->committed, this->sent_us, this->lease_age_ms);
    }
};

struct append_reply {
    bool accepted = false;
    // Accepted: everything up to here is durable and equals the leader's log.
    // Refused: the leader should continue behind this index.
    log_index match;
    // `previous` of the refused request.
    log_index refused;
    std::int64_t sent_us = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->accepted, this->match, this->refused, this->sent_us);
    }
};

// One chunk of the snapshot that replaces the log up to `last`.
struct snapshot_chunk {
    log_index last;
    term last_term;
    membership members;
    std::uint64_t size = 0;
    std::uint64_t offset = 0;
    std::string data;
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
    log_index last;
    // Bytes received without a gap.
    std::uint64_t received = 0;
    std::int64_t sent_us = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->last, this->received, this->sent_us);
    }
};

// The leader gave up its lease; the receiver shall campaign at once.
struct timeout_now {
    template <class Archive>
    void serialize(Archive&)
    {
    }
};

// From a member that belongs to no cluster yet, or that got a message for
// another disk.
struct introduction {
    // Disks of the initial members that the sender has heard of.
    std::map<vm_id, incarnation> known;
    // The sender has a membership; it does not take part in forming a cluster.
    bool formed = false;
    // Term and `sent_us` of the leader's message that this answers, or zero.
    term echo_term;
    std::int64_t echo_sent_us = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->known, this->formed);
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
    introduction>;

struct message {
    term sender_term;
    incarnation sender;
    // Zero: addressed to whatever disk the receiver has.
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

// Fails with `malformed` on any other input.
base::result<message> decode(const wire::consensus_message& packed);

// Membership entries.
std::string encode_membership(const membership& members);
base::result<membership> decode_membership(const std::string& payload);

} // namespace oleanderhinge::consensus
