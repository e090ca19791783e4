#include "config/config_problem.h"

namespace cornelswitch {

auto config_problem::to_text() const -> std::string
{
    auto out = file;
    if (line > 0) {
        out += ":" + std::to_string(line);
    }
    out += ": ";
    if (!field.empty()) {
        out += field + ": ";
    }
    return out + "found " + found + ", allowed: " + allowed;
}

auto operator<<(std::ostream& os, const config_problem& it) -> std::ostream&
{
    return os << it.to_text();
}

auto to_text(const std::vector<config_problem>& problems) -> std::string
{
    std::string out;
    for (const auto& it : problems) {
        out += it.to_text() + "\n";
    }
    return out;
}

} // namespace cornelswitch
