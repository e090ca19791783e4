#pragma once

#include <boost/outcome/result.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace cornelswitch {

/// A problem in a settings or configuration file.
struct config_problem {
    std::string file;
    /// Line number, counted from 1; 0 if the problem concerns the whole file.
    int line{0};
    /// Path of the field, for example `services[0].servers[2].address`; empty if the problem
    /// concerns no particular field.
    std::string field;
    /// Value that was found, in quotes and shortened to 80 bytes, or a description of it.
    std::string found;
    /// Description of the valid values.
    std::string allowed;

    /// One line without a line break: `FILE:LINE: FIELD: found "VALUE", allowed: TEXT`. A missing
    /// line number or field is left out.
    auto to_text() const -> std::string;
    friend auto operator==(const config_problem&, const config_problem&) -> bool = default;
};

auto operator<<(std::ostream& os, const config_problem& it) -> std::ostream&;

/// A value that passed every check, or the list of problems, which is then not empty.
template<typename type>
using checked = boost::outcome_v2::result<type, std::vector<config_problem>,
                                          boost::outcome_v2::policy::terminate>;

/// All problems, one per line, each with a line break.
auto to_text(const std::vector<config_problem>& problems) -> std::string;

} // namespace cornelswitch
