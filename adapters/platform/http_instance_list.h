#pragma once

#include "adapters/platform/platform_client.h"
#include "ownership/instance_list.h"

namespace cornelswitch {

/// The platform's instance list over HTTP/1.1 with JSON. Malformed entries are skipped, because the
/// list is only a hint. Errors: those of `platform_client::call`.
class http_instance_list final : public instance_list {
public:
    static constexpr duration default_timeout = std::chrono::seconds{2};

    http_instance_list(event_loop& loop, const endpoint& platform,
                       duration timeout = default_timeout);

    auto list(list_handler handler) -> void override;
    auto publish(const instance_info& self, done_handler handler) -> void override;

private:
    duration timeout_;
    platform_client client_;
};

} // namespace cornelswitch
