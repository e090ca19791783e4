#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "routing/request_info.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelswitch {

/// Bounded queue of one backend server. Requests of a tenant are ordered by deadline, and the
/// tenants of a class are served round-robin. `interactive` requests go before `bulk` requests,
/// which still get one of every `bulk_interval` sends.
class request_queue {
public:
    /// While both classes wait, `bulk` gets one of this many consecutive sends.
    static constexpr std::uint32_t bulk_interval = 8;

    explicit request_queue(std::size_t limit) : limit_{limit} {}

    auto set_limit(std::size_t limit) -> void { limit_ = limit; }

    struct push_result {
        bool queued{false};
        /// Request of a tenant above its fair share that was removed to make room for the new one.
        std::optional<request_info> displaced;
    };

    /// Adds a request. If the queue is full and the tenant of the new request has fewer requests
    /// than the tenant with the most, it displaces that tenant's request with the latest deadline.
    auto push(const request_info& request) -> push_result;
    /// Removes and returns the request to send next.
    auto pop() -> std::optional<request_info>;
    /// Removes a request. Returns false if it is not queued.
    auto remove(request_id id) -> bool;
    /// Number of requests that would be sent before `request` if it were added now.
    auto ahead_of(const request_info& request) const -> std::size_t;
    /// Removes and returns the requests for which `matches(request, ahead)` is true.
    auto remove_if(const std::function<bool(const request_info&, std::size_t)>& matches)
        -> std::vector<request_info>;

    auto earliest_deadline() const -> std::optional<time_point>;
    auto size() const -> std::size_t { return positions_.size(); }
    auto empty() const -> bool { return positions_.empty(); }
    auto limit() const -> std::size_t { return limit_; }

private:
    struct entry {
        time_point deadline;
        std::uint64_t sequence{0};
        request_info request;
    };
    /// Requests of one tenant and class, latest deadline first, so that the next one to send is
    /// last.
    struct tenant_queue {
        std::vector<entry> entries;
        /// Number of the tenant's current turn; the tenant of a class with the lowest one is next.
        std::uint64_t turns{0};
    };
    struct class_queue {
        std::map<tenant_id, tenant_queue> tenants;
        std::size_t size{0};
        /// Initial turn of a tenant that joins, so that it gains no credit for having been absent.
        std::uint64_t current_turn{0};
    };
    struct position {
        request_class priority{request_class::interactive};
        tenant_id tenant;
        time_point deadline;
    };

    static auto count_earlier(const tenant_queue& queue, time_point deadline) -> std::size_t;
    auto position_in_class(const class_queue& queue, const tenant_id& tenant, std::size_t own) const
        -> std::size_t;
    auto add_other_class(request_class priority, std::size_t ahead) const -> std::size_t;
    auto choose_class() const -> std::size_t;
    auto pop_from(class_queue& queue) -> request_info;
    auto displace(const request_info& request) -> std::optional<request_info>;
    auto largest_tenant(std::size_t& class_index) -> std::map<tenant_id, tenant_queue>::iterator;
    auto erase_if_empty(class_queue& queue, const tenant_id& tenant) -> void;

    std::size_t limit_;
    std::uint64_t sequence_{0};
    std::uint32_t consecutive_interactive_{0};
    std::array<class_queue, request_class_count> classes_;
    std::unordered_map<request_id, position> positions_;
};

} // namespace cornelswitch
