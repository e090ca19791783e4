#include "tests/ownership/golden_file.h"

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <vector>

namespace cornelswitch::test {

namespace {

auto lines_of(const std::string& text) -> std::vector<std::string>
{
    std::vector<std::string> out;
    std::istringstream in{text};
    for (std::string line; std::getline(in, line);) {
        out.push_back(line);
    }
    return out;
}

auto append_lines(std::string& out, const std::string& sign, const std::vector<std::string>& lines,
                  std::size_t first, std::size_t last) -> void
{
    for (auto n = first; n < last; ++n) {
        out += sign + lines[n] + "\n";
    }
}

// Returns the lines between the common first lines and the common last lines.
auto difference(const std::vector<std::string>& old, const std::vector<std::string>& now)
    -> std::string
{
    std::size_t first = 0;
    while (first < old.size() && first < now.size() && old[first] == now[first]) {
        ++first;
    }
    auto old_last = old.size();
    auto now_last = now.size();
    while (old_last > first && now_last > first && old[old_last - 1] == now[now_last - 1]) {
        --old_last;
        --now_last;
    }
    std::string out;
    append_lines(out, "-", old, first, old_last);
    append_lines(out, "+", now, first, now_last);
    return out;
}

} // namespace

auto golden_difference(const std::string& name, const std::string& text) -> std::string
{
    auto path = std::string{CORNELSWITCH_SOURCE_DIR} + "/tests/golden/" + name + ".txt";
    if (std::getenv("CORNELSWITCH_UPDATE_GOLDEN") != nullptr) {
        std::ofstream{path} << text;
        return "";
    }
    std::ifstream in{path};
    std::ostringstream old;
    old << in.rdbuf();
    return difference(lines_of(old.str()), lines_of(text));
}

} // namespace cornelswitch::test
