#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "fleet/candidate.h"
#include "ownership/coordinator_succession.h"
#include "routing/admission_scheduler.h"
#include "routing/quota/quota_message.h"

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
    /// The sender takes roles for the fleet, so the reader sends it updates directly.
    bool is_candidate{false};
};

/// Requests a server of `service`. Times are relative to the time of sending.
struct admission_query {
    service_id service;
    admission_id id;
    std::optional<std::uint16_t> key;
    work_class work;
    std::uint32_t priority{0};
    bool has_large_response{false};
    duration age{0};
    duration objective_left{0};
    duration time_left{0};
    std::vector<server_id> excluded;
};

/// Reports a request in progress that another scheduler had admitted.
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

/// Reports that a server does not hold a key that it was expected to hold.
struct key_not_held {
    service_id service;
    server_id server;
    std::uint16_t key{0};
};

/// Reports that another process answers at a server's address, so the server's process has ended.
struct server_ended {
    service_id service;
    server_id server;
    std::int64_t incarnation{0};
};

/// Reports that a server announced its shutdown in a response to the sender.
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
    /// See `admission_decision`.
    std::optional<applied_rate_limit> rate_limit;
    /// Sent with refusals only.
    admission_valuation valuation;
};

/// The sender does not admit requests of the service.
struct admission_declined {
    service_id service;
    admission_id id;
};

/// The sender is shutting down and admits no more requests.
struct peer_shutting_down {};

/// Reports the rate limit of a server to a coordinator that may not know it.
struct rate_limit_message {
    service_id service;
    server_rate_limit_report report;
};

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
    stopped_coordinator state;
};

/// Topics whose records one instance reads for others.
enum class shared_topic : std::uint8_t { servers, operators, coordination, candidates };

/// Compressed records.
struct compressed_records {
    /// Empty when the records are sent uncompressed.
    std::string bytes;
    /// Key whose value in the receiver's copy serves as dictionary, and the hash of that value;
    /// empty when no dictionary is used.
    std::string base_key;
    std::uint64_t base_hash{0};
};

/// Changes of a topic that an instance has read from the store.
struct topic_update {
    shared_topic topic{shared_topic::servers};
    /// Offsets of the log between which the records were appended.
    log_offset from;
    log_offset end;
    /// Time from the read to the sending of the message.
    duration age{0};
    /// The sender has read the records from the store itself.
    bool is_from_store{false};
    /// The message contains all records of the topic, for a receiver without a copy.
    bool is_snapshot{false};
    /// The topic was loaded anew, so intermediate records may be missing: only a receiver whose
    /// copy ends exactly at `from` can apply them.
    bool is_reload{false};
    /// Newest value of each key that changed; an empty value removes it.
    std::vector<std::pair<std::string, std::string>> records;
    /// Sent in place of the records when it is not empty.
    compressed_records compressed;
    /// Era of the store in which the records were read. 0, for a store without eras and from
    /// instances of earlier versions, is not sent.
    store_era era;
};

/// Subscribes to updates of topics.
struct update_subscription {
    /// Wanted topics with the end of the sender's copy, if it has one. An empty list cancels the
    /// subscription.
    std::vector<std::pair<shared_topic, std::optional<log_offset>>> topics;
};

/// Keepalive of a subscription while there are no updates.
struct subscription_keepalive {
    /// Highest era of the store that the sender has seen; 0 is not sent.
    store_era era;
};

/// Number of instances in the fleet, as counted by the reader.
struct fleet_status {
    std::uint32_t instances{0};
};

/// Number of instances that subscribe to the sender.
struct subscriber_count_report {
    std::uint32_t instances{0};
};

struct peer_ping {};
struct peer_pong {};

/// Requests a `progress_report`.
struct progress_query {};

/// End offsets of the sender's copies of topics; topics without a copy are left out.
struct progress_report {
    std::vector<std::pair<shared_topic, log_offset>> ends;
};

using peer_message =
    std::variant<peer_hello, admission_query, admission_adopted, admission_withdrawn,
                 admission_completed, key_not_held, server_ended, server_leaving, admission_answer,
                 admission_declined, peer_shutting_down, role_superseded, role_stopped,
                 topic_update, update_subscription, subscription_keepalive, fleet_status,
                 subscriber_count_report, peer_ping, peer_pong, progress_query, progress_report,
                 rate_limit_message, quota_report, quota_allocation>;

/// Appends the message with its length to `out`.
auto encode_peer_message(std::string& out, const peer_message& message) -> void;

/// Removes complete messages from the front of `buffer` and decodes them. Errors:
/// `invalid_message`.
auto decode_peer_messages(std::string& buffer) -> result<std::vector<peer_message>>;

} // namespace cornelswitch
