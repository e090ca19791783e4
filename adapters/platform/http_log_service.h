#pragma once

#include "adapters/platform/platform_client.h"
#include "ownership/log_service.h"

namespace cornelswitch {

struct http_log_service_options {
    endpoint platform;
    duration append_timeout{std::chrono::seconds{2}};
    /// Time for a response, in addition to the time that a read waits for records.
    duration read_timeout{std::chrono::seconds{2}};
};

/// The platform's log over HTTP/1.1 with JSON. Errors: those of `platform_client::call`.
class http_log_service final : public log_service {
public:
    http_log_service(event_loop& loop, const http_log_service_options& options);

    auto append(log_stream stream, std::string data, append_handler handler) -> void override;
    auto read(log_stream stream, log_offset from, std::size_t limit, duration wait,
              read_handler handler) -> void override;

private:
    http_log_service_options options_;
    platform_client client_;
};

} // namespace cornelswitch
