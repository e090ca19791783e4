#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/ids.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace cornelswitch {

/// Streams of the platform's log.
enum class log_stream : std::uint8_t { config, ownership };

auto to_string(log_stream stream) -> std::string_view;

/// One record as the log returned it.
struct log_record {
    log_offset offset;
    std::string data;
    friend auto operator==(const log_record&, const log_record&) -> bool = default;
};

/// Result of a read. `first` is the oldest retained offset, `end` the next offset to be assigned.
struct log_page {
    log_offset first;
    log_offset end;
    std::vector<log_record> records;
};

/// Interface to the platform's append-only log. Calls return immediately; handlers run later on the
/// task that made the call. Errors: `unavailable`, `timeout`. After an error an append may still
/// have taken effect.
class log_service {
public:
    using append_handler = std::function<void(result<log_offset>)>;
    using read_handler = std::function<void(result<log_page>)>;

    log_service() = default;
    log_service(const log_service&) = delete;
    auto operator=(const log_service&) -> log_service& = delete;
    virtual ~log_service() = default;

    virtual auto append(log_stream stream, std::string data, append_handler handler) -> void = 0;

    /// Reads up to `limit` records from `from`. If there are none, the log waits for new records
    /// for up to `wait`.
    virtual auto read(log_stream stream, log_offset from, std::size_t limit, duration wait,
                      read_handler handler) -> void = 0;
};

} // namespace cornelswitch
