#pragma once

#include "core/clock.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cornelswitch {

/// Instance list of the stand-in platform. An entry expires `lifetime` after its last publication.
/// Fault injection can make the list lag, omit entries and add false ones.
class platform_instances {
public:
    static constexpr std::size_t max_instances = 1024;

    explicit platform_instances(duration lifetime) : lifetime_{lifetime} {}

    /// Adds or replaces an entry; `data` is its JSON text. False when the list is full.
    auto publish(const std::string& id, std::string data, time_point now) -> bool;
    /// JSON texts of the entries as of `now` minus the lag, without hidden and with false entries.
    auto list(time_point now) -> std::vector<std::string>;

    auto set_lag(duration lag) -> void { lag_ = lag; }
    /// Ids of the entries that the list omits.
    auto set_hidden(std::set<std::string> ids) -> void { hidden_ = std::move(ids); }
    /// JSON texts of entries that the list adds although nobody published them.
    auto set_false_entries(std::vector<std::string> entries) -> void
    {
        false_entries_ = std::move(entries);
    }

private:
    struct entry {
        time_point published_at;
        std::string data;
    };

    /// Drops instances that have expired even in the lagging list.
    auto prune(time_point now) -> void;

    duration lifetime_;
    duration lag_{0};
    /// Publications of each instance, oldest first.
    std::map<std::string, std::deque<entry>> history_;
    std::set<std::string> hidden_;
    std::vector<std::string> false_entries_;
};

} // namespace cornelswitch
