#pragma once

#include "ownership/log_service.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cornelswitch {

/// In-memory log that calls the handlers immediately. It can simulate lost responses, lost appends,
/// failed reads and retention.
class memory_log final : public log_service {
public:
    auto append(log_stream, std::string data, append_handler handler) -> void override
    {
        if (before_append) {
            std::exchange(before_append, {})();
        }
        if (lost_appends > 0) {
            --lost_appends;
            handler(error{error_code::timeout, "log-append", "", ""});
            return;
        }
        records.push_back(std::move(data));
        if (lost_responses > 0) {
            --lost_responses;
            handler(error{error_code::timeout, "log-append", "", ""});
            return;
        }
        handler(log_offset{records.size() - 1});
    }

    auto read(log_stream, log_offset from, std::size_t limit, duration, read_handler handler)
        -> void override
    {
        if (failed_reads > 0) {
            --failed_reads;
            handler(error{error_code::unavailable, "log-read", "", ""});
            return;
        }
        log_page out{log_offset{first}, log_offset{records.size()}, {}};
        for (auto n = std::max(from.value(), first); n < records.size(); ++n) {
            if (out.records.size() < limit) {
                out.records.push_back({log_offset{n}, records[n]});
            }
        }
        handler(std::move(out));
    }

    std::vector<std::string> records;
    /// Oldest retained offset.
    std::uint64_t first{0};
    /// Appends that take effect but end with a timeout.
    int lost_responses{0};
    /// Appends that end with a timeout and have no effect.
    int lost_appends{0};
    /// Reads that fail as unavailable.
    int failed_reads{0};
    /// Called once before the next append takes effect; simulates a concurrent operator.
    std::function<void()> before_append;
};

} // namespace cornelswitch
