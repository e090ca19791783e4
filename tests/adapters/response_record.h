#pragma once

#include "adapters/http_message.h"

#include <memory>
#include <optional>
#include <string>

namespace cornelswitch::test {

/// The response that a client received for one call.
struct response_record {
    std::optional<response_head> head;
    std::string body;
    std::optional<call_result> end;

    auto is_complete() const -> bool { return end && end->has_value(); }
    auto has_failed() const -> bool { return end && end->has_error(); }
};

/// Handlers that fill `record`; `consumed` is called with the size of each part of the body.
inline auto record_to(const std::shared_ptr<response_record>& record,
                      std::function<void(std::size_t)> consumed = {}) -> response_handlers
{
    response_handlers it;
    it.on_head = [record](response_head head) { record->head = std::move(head); };
    it.on_data = [record, consumed](std::string_view data) {
        record->body.append(data);
        if (consumed) {
            consumed(data.size());
        }
    };
    it.on_end = [record](call_result outcome) { record->end = std::move(outcome); };
    return it;
}

} // namespace cornelswitch::test
