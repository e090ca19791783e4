#include "routing/server_rate_limit.h"

#include <algorithm>

namespace cornelswitch {

auto server_rate_limit::on_notice(const std::optional<request_rate>& limit, time_point requested_at,
                                  time_point answered_at) -> bool
{
    if (limit == limit_) {
        requested_at_ = std::max(requested_at_, requested_at);
        answered_at_ = std::max(answered_at_, answered_at);
        return false;
    }
    bool is_newer = requested_at >= answered_at_;
    bool is_older = answered_at < requested_at_;
    bool is_lower = limit && (!limit_ || *limit < *limit_);
    if (is_older || (!is_newer && !is_lower)) {
        return false;
    }
    limit_ = limit;
    requested_at_ = requested_at;
    answered_at_ = answered_at;
    return true;
}

auto server_rate_limit::status() const -> std::optional<rate_limit_status>
{
    if (!limit_) {
        return std::nullopt;
    }
    return rate_limit_status{*limit_, requested_at_, answered_at_};
}

} // namespace cornelswitch
