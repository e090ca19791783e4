#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/h2o/listener.h"
#include "adapters/h2o/tcp_stream.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cornelswitch {

/// Response to a request for one path; the status is 404 for an unknown path.
struct status_response {
    int status{404};
    std::string body;
};

/// HTTP server for readiness checks and metrics.
class status_server {
public:
    using handler = std::function<status_response(const std::string& path)>;

    /// Errors: those of `listener::open`.
    static auto open(event_loop& loop, const endpoint& address, handler respond)
        -> result<std::unique_ptr<status_server>>;
    status_server(const status_server&) = delete;
    auto operator=(const status_server&) -> status_server& = delete;
    ~status_server();

private:
    struct client;
    status_server(event_loop& loop, handler respond);
    auto accept(st_h2o_socket_t* socket) -> void;

    event_loop& loop_;
    handler handler_;
    std::unique_ptr<listener> listener_;
    std::map<const client*, std::shared_ptr<client>> clients_;
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
