#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/platform/http_log_service.h"
#include "cli/blocking_log.h"
#include "cli/config_client.h"

namespace cornelswitch {

/// Connection of the tool to the platform for the duration of one command.
class platform_session {
public:
    explicit platform_session(const endpoint& platform);

    auto log() -> blocking_log& { return log_; }
    auto config() -> config_client& { return config_; }

private:
    event_loop loop_;
    http_log_service service_;
    blocking_log log_;
    config_client config_;
};

} // namespace cornelswitch
