#include "gateway/eviction_order.h"

#include <tuple>

namespace cornelswitch {

auto choose_connection_to_close(const std::vector<eviction_candidate>& candidates, time_point now,
                                duration stall_time) -> std::optional<std::size_t>
{
    std::optional<std::size_t> out;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const auto& it = candidates[n];
        bool is_without_request =
            it.state == connection_state::idle || it.state == connection_state::receiving_head;
        bool is_stalled =
            it.state == connection_state::receiving_body && now - it.last_progress >= stall_time;
        if ((!is_without_request && !is_stalled) || it.has_earlier_requests) {
            continue;
        }
        if (!out || std::tuple{it.state, it.last_progress} <
                        std::tuple{candidates[*out].state, candidates[*out].last_progress}) {
            out = n;
        }
    }
    return out;
}

auto choose_memory_to_free(const std::vector<eviction_candidate>& candidates, time_point now,
                           duration stall_time) -> std::optional<std::size_t>
{
    std::optional<std::size_t> out;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const auto& it = candidates[n];
        bool is_stalled = now - it.last_progress >= stall_time;
        if (it.held_bytes == 0 || !is_stalled || it.state == connection_state::busy) {
            continue;
        }
        if (!out || it.last_progress < candidates[*out].last_progress ||
            (it.last_progress == candidates[*out].last_progress &&
             it.held_bytes > candidates[*out].held_bytes)) {
            out = n;
        }
    }
    return out;
}

} // namespace cornelswitch
