#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "fleet/candidate.h"
#include "ownership/range_authority.h"
#include "routing/admission_scheduler.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace cornelswitch {

/// First message of each side of a connection.
struct peer_hello {
    candidate sender;
    boot_id boot;
    /// The sender bears duties for others, so it gets news at first hand.
    bool is_candidate{false};
};

/// Asks for a server of `service`. Times are relative to now.
struct admission_query {
    service_id service;
    admission_id id;
    std::optional<std::uint16_t> key;
    work_class work;
    std::uint32_t priority{0};
    bool is_bulky{false};
    duration age{0};
    duration objective_left{0};
    duration time_left{0};
    std::vector<server_id> excluded;
};

/// Tells of a request that another scheduler admitted and that is in progress.
struct admission_adopted {
    service_id service;
    admission_id id;
    server_id server;
};

struct admission_withdrawn {
    service_id service;
    admission_id id;
};

struct admission_completed {
    service_id service;
    admission_id id;
    attempt_report report;
};

/// A server does not hold a key that it was expected to hold.
struct key_not_held {
    service_id service;
    server_id server;
    std::uint16_t key{0};
};

/// A server's address belongs to another process, so the server's own has ended.
struct server_ended {
    service_id service;
    server_id server;
    std::int64_t incarnation{0};
};

/// A server announced its end in an answer to the sender.
struct server_leaving {
    service_id service;
    server_id server;
    std::int64_t incarnation{0};
};

struct admission_answer {
    service_id service;
    admission_id id;
    admission_outcome outcome{admission_outcome::refuse};
    server_id server;
    refusal_cause cause{refusal_cause::none};
    duration retry_after{0};
    std::uint32_t queue_length{0};
    duration expected_wait{0};
};

/// The sender does not admit requests of the service.
struct admission_declined {
    service_id service;
    admission_id id;
};

/// The sender ends soon and admits nothing any more.
struct peer_leaving {};

/// A new coordinator asks the old one to stop.
struct role_superseded {
    service_id service;
    lease_term term;
};

/// The old coordinator has stopped acting for `service`.
struct role_stopped {
    service_id service;
    /// Term of the successor that asked.
    lease_term term;
    /// Term in which the sender was the coordinator; 0 when it was not.
    lease_term last_term;
    /// What it knew of the ranges when it stopped; times are relative to now.
    std::vector<transferred_range> ranges;
};

/// Topics whose records one instance reads for others.
enum class shared_topic : std::uint8_t { servers, operators, own, candidates };

/// Compressed records.
struct packed_records {
    /// Empty when the records are sent as they are.
    std::string bytes;
    /// Key whose value in the receiver's copy is needed to read them, and the hash of that value;
    /// empty when none is.
    std::string base_key;
    std::uint64_t base_hash{0};
};

/// Records of a topic that an instance has read, and how old that is.
struct topic_news {
    shared_topic topic{shared_topic::servers};
    /// Offset from which the records follow on.
    log_offset from;
    log_offset end;
    /// Age of the read when the message was sent.
    duration age{0};
    /// The sender read this itself.
    bool is_first_hand{false};
    /// All records, for a receiver that has none.
    bool is_whole{false};
    /// Newest values after deleted records: only a receiver that is exactly at `from` can take
    /// them.
    bool is_reload{false};
    /// Newest value of each key that changed; an empty value removes it.
    std::vector<std::pair<std::string, std::string>> records;
    /// Sent in place of the records when it is not empty.
    packed_records packed;
};

/// Asks for the news of topics from now on.
struct news_subscription {
    /// End of the sender's copy of each topic that it wants; none when it has no copy. No topics:
    /// the sender wants no more news.
    std::vector<std::pair<shared_topic, std::optional<log_offset>>> topics;
};

/// Keeps a subscription alive while there is no news, as when the store is away.
struct news_pause {};

/// What the instance that reads for all knows of the fleet.
struct fleet_status {
    std::uint32_t instances{0};
};

/// Instances that take their news from the sender.
struct audience_report {
    std::uint32_t instances{0};
};

struct peer_ping {};
struct peer_pong {};

/// Asks how far the receiver's copies of the topics reach.
struct progress_query {};

/// The answer: where the sender's copies end; topics that it has no copy of are left out.
struct progress_report {
    std::vector<std::pair<shared_topic, log_offset>> ends;
};

using peer_message =
    std::variant<peer_hello, admission_query, admission_adopted, admission_withdrawn,
                 admission_completed, key_not_held, server_ended, server_leaving, admission_answer,
                 admission_declined, peer_leaving, role_superseded, role_stopped, topic_news,
                 news_subscription, news_pause, fleet_status, audience_report, peer_ping, peer_pong,
                 progress_query, progress_report>;

/// Appends the message with its length to `out`.
auto encode_peer_message(std::string& out, const peer_message& message) -> void;

/// Takes whole messages from the front of `buffer`. Errors: `invalid_message`.
auto decode_peer_messages(std::string& buffer) -> result<std::vector<peer_message>>;

} // namespace cornelswitch
