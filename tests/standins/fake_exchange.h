#pragma once

#include "adapters/exchange.h"
#include "core/manual_clock.h"

#include <nlohmann/json.hpp>

#include <map>

namespace cornelswitch {

/// Records the response of a service.
class fake_exchange final : public exchange {
public:
    fake_exchange(std::string method, std::string path, std::string body = {},
                  header_list headers = {})
    {
        mutable_request() = {std::move(method), std::move(path), std::move(headers),
                             std::move(body)};
    }

    auto start(const response_head& it) -> void override { head = it; }
    auto write(std::string_view data) -> void override { body += data; }
    auto finish() -> void override { finished = true; }
    auto abort() -> void override { aborted = true; }
    auto json() const -> nlohmann::json { return nlohmann::json::parse(body); }
    auto header(std::string_view name) const -> std::string
    {
        const auto* found = find_header(head.headers, name);
        return found == nullptr ? std::string{} : *found;
    }

    response_head head;
    std::string body;
    bool finished{false};
    bool aborted{false};
};

/// Runs scheduled functions on a simulated clock, whose time passes only in `advance`.
class manual_scheduler {
public:
    auto now() const -> time_point { return clock_.now(); }
    auto schedule(duration delay, std::function<void()> work) -> void
    {
        timers_.emplace(clock_.now() + delay, std::move(work));
    }
    auto advance(duration step) -> void
    {
        auto end = clock_.now() + step;
        while (!timers_.empty() && timers_.begin()->first <= end) {
            auto timer = timers_.extract(timers_.begin());
            clock_.advance(timer.key() - clock_.now());
            timer.mapped()();
        }
        clock_.advance(end - clock_.now());
    }

private:
    manual_clock clock_;
    std::multimap<time_point, std::function<void()>> timers_;
};

} // namespace cornelswitch
