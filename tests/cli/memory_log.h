#pragma once

#include "ownership/log_service.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cornelswitch {

/// Log in memory that answers at once and can lose answers, lose appends and truncate.
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
        if (lost_answers > 0) {
            --lost_answers;
            handler(error{error_code::timeout, "log-append", "", ""});
            return;
        }
        handler(log_offset{records.size() - 1});
    }

    auto read(log_stream, log_offset from, std::size_t limit, duration, read_handler handler)
        -> void override
    {
        if (lost_reads > 0) {
            --lost_reads;
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
    std::uint64_t first{0};
    int lost_answers{0};
    int lost_appends{0};
    int lost_reads{0};
    /// Runs once before the next append takes effect, as another operator would.
    std::function<void()> before_append;
};

} // namespace cornelswitch
